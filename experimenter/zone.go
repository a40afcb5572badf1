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
	Name: "zone", Short: "loss of a zone and a new member: time without owner and ranges moved", Duration: 30 * time.Second,
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
		script: loseZone,
		finish: func(context.Context, *stage, generator.Report) error { return nil },
		missed: func(r scenarioRun) (missed []string) {
			f := r.Figures
			if f["without_owner_seconds"] > 2 {
				missed = append(missed, fmt.Sprintf("ranges were without owner for %.2f s, the target is 2 s", f["without_owner_seconds"]))
			}
			if f["moved_by_loss"] > f["lost"] {
				missed = append(missed, fmt.Sprintf("%v ranges moved, %v were lost", f["moved_by_loss"], f["lost"]))
			}
			if f["moved_by_join"] > f["fair_share"] {
				missed = append(missed, fmt.Sprintf("%v ranges moved to a new member, the fair share is %v", f["moved_by_join"], f["fair_share"]))
			}
			return missed
		},
	}.run,
})

// loseZone kills the processes of a zone, waits until each range has a live owner, and adds a member later.
func loseZone(ctx context.Context, s *stage) error {
	if !s.until(ctx, 0.3) {
		return nil
	}
	before, err := s.owners(ctx)
	if err != nil {
		return err
	}
	dead := map[string]bool{}
	for _, n := range s.nodes(s.customer.stock) {
		if n.Settings.Zone == s.customer.zones[0] {
			dead[n.Name] = true
			if err := n.Kill(); err != nil {
				return err
			}
		}
	}
	killed := time.Now()
	lost := 0
	for _, owner := range before {
		if dead[owner] {
			lost++
		}
	}
	s.set("lost", float64(lost))
	after, err := s.awaitOwners(ctx, func(owners map[hasher.Range]string) bool {
		for _, owner := range owners {
			if dead[owner] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	s.set("without_owner_seconds", time.Since(killed).Seconds())
	s.set("moved_by_loss", float64(changed(before, after)))
	if !s.until(ctx, 0.6) {
		return nil
	}
	if before, err = s.owners(ctx); err != nil {
		return err
	}
	if _, err := s.fleet.Add(s.customer.service(s.customer.stock, backend(churnServiceTime)), s.customer.zones[1]); err != nil {
		return err
	}
	if !s.until(ctx, 1) {
		return nil
	}
	if after, err = s.owners(ctx); err != nil {
		return err
	}
	s.set("moved_by_join", float64(changed(before, after)))
	s.set("fair_share", float64(len(after)/(len(s.nodes(s.customer.stock))-len(dead))))
	return nil
}

// owners returns the names of the owners of the ranges of the stock service.
func (s *stage) owners(ctx context.Context) (map[hasher.Range]string, error) {
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

func (s *stage) awaitOwners(ctx context.Context, fits func(map[hasher.Range]string) bool) (map[hasher.Range]string, error) {
	for {
		owners, err := s.owners(ctx)
		if err != nil || fits(owners) {
			return owners, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// changed counts the ranges whose owner differs.
func changed(before, after map[hasher.Range]string) (count int) {
	for r, owner := range after {
		if old, present := before[r]; present && old != owner {
			count++
		}
	}
	return count
}
