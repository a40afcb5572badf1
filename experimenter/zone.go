package experimenter

import (
	"context"
	"fmt"
	"time"

	"hibiscusline/applier"
	"hibiscusline/generator"
	"hibiscusline/hasher"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "zone", Short: "loss of a zone and a new member: time without an owner and ranges moved",
	Duration: 30 * time.Second,
	Run: scenario{
		name: "zone", serviceTime: churnServiceTime,
		services: func(c customer) []string { return []string{c.stock} },
		streams: func(c customer, _ time.Duration) []generator.Stream {
			return []generator.Stream{{
				Name: "stock", Rank: "stock", Rate: 0.3 * c.capacity(c.stock, churnServiceTime), Service: c.stock, Path: "/stock/1",
				KeyCount: 5000, KeyPrefix: "item-", Timeout: validator.Duration(2 * time.Second), LatencyTarget: c.target("stock"),
			}}
		},
		entries: func(f *launcher.Fleet, c customer) (nodes []*launcher.Node) {
			for _, n := range f.Nodes {
				if n.Settings.Zone != c.zones[0] {
					nodes = append(nodes, n)
				}
			}
			return nodes
		},
		script: killZone,
		finish: func(context.Context, *session, generator.Report) error { return nil },
		missedTargets: func(r scenarioRun) (missed []string) {
			f := r.Figures
			if f["without_owner_seconds"] > 2 {
				missed = append(missed, fmt.Sprintf("ranges had no live owner for %.2f s, the target is 2 s",
					f["without_owner_seconds"]))
			}
			if f["moved_by_loss"] > f["lost"] {
				missed = append(missed, fmt.Sprintf("%v ranges moved after the loss of a zone that owned %v",
					f["moved_by_loss"], f["lost"]))
			}
			if f["moved_by_join"] > f["fair_share"] {
				missed = append(missed, fmt.Sprintf("%v ranges moved after a member joined, whose fair share is %v",
					f["moved_by_join"], f["fair_share"]))
			}
			return missed
		},
	}.run,
})

// killZone kills the processes of a zone, waits until each range has a live owner, and later adds a member to another
// zone.
func killZone(ctx context.Context, s *session) error {
	if !s.waitFor(ctx, 0.3) {
		return nil
	}
	before, err := s.rangeOwners(ctx)
	if err != nil {
		return err
	}
	killedNodes := map[string]bool{}
	for _, n := range s.nodes(s.customer.stock) {
		if n.Settings.Zone == s.customer.zones[0] {
			killedNodes[n.Name] = true
			if err := n.Kill(); err != nil {
				return err
			}
		}
	}
	killed := time.Now()
	lost := 0
	for _, owner := range before {
		if killedNodes[owner] {
			lost++
		}
	}
	s.setFigure("lost", float64(lost))
	after, err := s.awaitOwners(ctx, func(owners map[hasher.Range]string) bool {
		for _, owner := range owners {
			if killedNodes[owner] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	s.setFigure("without_owner_seconds", time.Since(killed).Seconds())
	s.setFigure("moved_by_loss", float64(countOwnerChanges(before, after)))
	if !s.waitFor(ctx, 0.6) {
		return nil
	}
	if before, err = s.rangeOwners(ctx); err != nil {
		return err
	}
	if _, err := s.fleet.Add(
		s.customer.service(s.customer.stock, backendSettings(churnServiceTime)), s.customer.zones[1],
	); err != nil {
		return err
	}
	if !s.waitFor(ctx, 1) {
		return nil
	}
	if after, err = s.rangeOwners(ctx); err != nil {
		return err
	}
	s.setFigure("moved_by_join", float64(countOwnerChanges(before, after)))
	s.setFigure("fair_share", float64(len(after)/(len(s.nodes(s.customer.stock))-len(killedNodes))))
	return nil
}

// rangeOwners returns the names of the owners of the stock service's ranges. A name is empty if the range has no owner.
func (s *session) rangeOwners(ctx context.Context) (map[hasher.Range]string, error) {
	state, err := s.fleet.State(ctx)
	if err != nil {
		return nil, err
	}
	owners := map[hasher.Range]string{}
	state.View(func(st *applier.State) {
		for _, a := range st.Assignments[s.customer.stock] {
			name := ""
			if m := st.Members[a.Owner]; m != nil {
				name = m.Name
			}
			owners[a.Range] = name
		}
	})
	return owners, nil
}

// awaitOwners waits until accept returns true for the owners of the ranges.
func (s *session) awaitOwners(
	ctx context.Context, accept func(map[hasher.Range]string) bool,
) (map[hasher.Range]string, error) {
	for {
		owners, err := s.rangeOwners(ctx)
		if err != nil || accept(owners) {
			return owners, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// countOwnerChanges counts the ranges that are in both maps with different owners.
func countOwnerChanges(before, after map[hasher.Range]string) (count int) {
	for r, owner := range after {
		if old, present := before[r]; present && old != owner {
			count++
		}
	}
	return count
}
