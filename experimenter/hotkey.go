package experimenter

import (
	"context"
	"fmt"
	"time"

	"hibiscusline/applier"
	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/timer"
	"hibiscusline/validator"
)

const (
	keyServiceTime  = 40 * time.Millisecond
	imbalanceTarget = 1.15
)

var _ = register(Experiment{
	Name: "hotkey", Short: "imbalance and moves while hot keys change", Duration: 2 * time.Minute,
	Run: scenario{
		name: "hotkey", serviceTime: keyServiceTime, comparable: true, baseline: loader.BaselineSettings{Static: true},
		services: func(c customer) []string { return []string{c.stock} },
		streams:  hotStreams,
		script: func(ctx context.Context, s *stage) error {
			if err := s.remember(); err != nil {
				return err
			}
			load := newAssignedLoad(s, hotStreams(s.customer, s.length))
			if err := load.watch(ctx); err != nil {
				return err
			}
			load.figures("first", 0, 0.5)
			load.figures("second", 0.5, 1)
			return nil
		},
		finish: func(ctx context.Context, s *stage, _ generator.Report) error {
			s.imbalance()
			return s.countMoves(ctx)
		},
		missed: func(r scenarioRun) (missed []string) {
			if r.Failed > 0 {
				missed = append(missed, fmt.Sprintf("%d requests failed, the target is 0", r.Failed))
			}
			for _, name := range []string{"imbalance_end_of_first", "imbalance_end_of_second"} {
				if v := r.Figures[name]; v > imbalanceTarget {
					missed = append(missed, fmt.Sprintf("%s is %.2f, the target is %.2f", name, v, imbalanceTarget))
				}
			}
			return missed
		},
	}.run,
})

// hotStreams has an even load and two keys with half of a server's fair share each, which change in the middle.
func hotStreams(c customer, length time.Duration) []generator.Stream {
	capacity := c.capacity(c.stock, keyServiceTime)
	base := generator.Stream{
		Rank: "stock", Service: c.stock, Path: "/stock/1", Timeout: validator.Duration(time.Second), LatencyTarget: c.target("stock"),
	}
	even := base
	even.Name, even.Rate, even.KeyCount, even.KeyPrefix = "even", 0.45*capacity, 5000, "item-"
	streams := []generator.Stream{even}
	for i := range 4 {
		hot := base
		hot.Name, hot.KeyCount, hot.KeyPrefix = fmt.Sprintf("hot-%d", i), 1, fmt.Sprintf("hot-%d-", i)
		hot.Rate = 0.25 * capacity / float64(c.servers[c.stock])
		hot.Start = validator.Duration(time.Duration(i/2) * length / 2)
		hot.Stop = hot.Start + validator.Duration(length/2)
		streams = append(streams, hot)
	}
	return streams
}

// remember notes the offset at the start of the load.
func (s *stage) remember() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	state, err := s.fleet.State(ctx)
	if err != nil {
		return err
	}
	state.View(func(st *applier.State) {
		s.set("offset_at_start", float64(st.Applied))
		s.set("ranges_at_start", float64(len(st.Assignments[s.customer.stock])))
	})
	return nil
}

// countMoves counts the ranges whose owner changed since the start.
func (s *stage) countMoves(ctx context.Context) error {
	state, err := s.fleet.State(ctx)
	if err != nil {
		return err
	}
	state.View(func(st *applier.State) {
		moved, highest := 0, 0
		ranges := st.Assignments[s.customer.stock]
		for _, a := range ranges {
			if float64(a.Epoch) > s.figures["offset_at_start"] {
				moved++
			}
		}
		members := st.MembersOf(s.customer.stock)
		for _, m := range members {
			highest = max(highest, len(st.Owned(m.ID)))
		}
		s.set("ranges_moved", float64(moved))
		s.set("ranges_at_end", float64(len(ranges)))
		s.set("imbalance_of_ranges", float64(highest)/float64(len(ranges))*float64(len(members)))
	})
	return nil
}

// imbalance computes the highest load of a server over the mean load in each tenth of the run, and in the last fifth of
// each half.
func (s *stage) imbalance() {
	const parts = 10
	counts := make([]map[string]float64, parts)
	// The executions' times are since boot; the load started this long before now.
	start := timer.Now() - time.Since(s.started)
	for i := range counts {
		counts[i] = map[string]float64{}
	}
	for _, e := range s.fleet.Ledger.Report().Executions {
		if part := int(float64(e.Start-start) / float64(s.length) * parts); part >= 0 && part < parts {
			counts[part][e.Server]++
		}
	}
	nodes := s.nodes(s.customer.stock)
	for i, part := range counts {
		s.set(fmt.Sprintf("imbalance_%02d", i), maxOverMean(part, nodes))
	}
	// A server's count in a tenth of a short run differs by several percent from its load.
	s.set("chance_end_of_first", chanceImbalance(len(nodes), total(counts[4])))
	s.set("chance_end_of_second", chanceImbalance(len(nodes), total(counts[9])))
	s.set("imbalance_end_of_first", maxOverMean(counts[4], nodes))
	s.set("imbalance_end_of_second", maxOverMean(counts[9], nodes))
}

func total(counts map[string]float64) (sum float64) {
	for _, count := range counts {
		sum += count
	}
	return sum
}

func maxOverMean(counts map[string]float64, nodes []*launcher.Node) float64 {
	highest, sum := 0.0, 0.0
	for _, n := range nodes {
		highest, sum = max(highest, counts[n.Name]), sum+counts[n.Name]
	}
	return ratio(highest*float64(len(nodes)), sum)
}
