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
	hotKeyServiceTime = 40 * time.Millisecond
	imbalanceTarget   = 1.15
)

var _ = register(Experiment{
	Name: "hotkey", Short: "imbalance and moves while hot keys change", Duration: 2 * time.Minute,
	Run: scenario{
		name: "hotkey", serviceTime: hotKeyServiceTime, hasBaseline: true,
		baseline: loader.BaselineSettings{Static: true},
		services: func(c customer) []string { return []string{c.stock} },
		streams:  hotKeyStreams,
		script: func(ctx context.Context, s *session) error {
			if err := s.recordStart(); err != nil {
				return err
			}
			load := newAssignedLoad(s, hotKeyStreams(s.customer, s.length))
			if err := load.sampleUntilEnd(ctx); err != nil {
				return err
			}
			load.setFigures("first", 0, 0.5)
			load.setFigures("second", 0.5, 1)
			return nil
		},
		finish: func(ctx context.Context, s *session, _ generator.Report) error {
			s.setImbalance()
			return s.countMoves(ctx)
		},
		missedTargets: func(r scenarioRun) (missed []string) {
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

// hotKeyStreams returns an even load and two hot keys at a time, which are replaced by two others in the middle of the
// run. Each hot key has about half of a server's fair share of the load.
func hotKeyStreams(c customer, length time.Duration) []generator.Stream {
	capacity := c.capacity(c.stock, hotKeyServiceTime)
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

// recordStart records the offset of the log and the number of ranges at the start of the load.
func (s *session) recordStart() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	state, err := s.fleet.State(ctx)
	if err != nil {
		return err
	}
	state.View(func(st *applier.State) {
		s.setFigure("offset_at_start", float64(st.Applied))
		s.setFigure("ranges_at_start", float64(len(st.Assignments[s.customer.stock])))
	})
	return nil
}

// countMoves records the number of ranges whose owner changed since recordStart, and how evenly ranges are distributed.
func (s *session) countMoves(ctx context.Context) error {
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
		s.setFigure("ranges_moved", float64(moved))
		s.setFigure("ranges_at_end", float64(len(ranges)))
		s.setFigure("imbalance_of_ranges", float64(highest)/float64(len(ranges))*float64(len(members)))
	})
	return nil
}

// setImbalance records the highest load of a server relative to the mean load, for each tenth of the run and for the
// last fifth of each half.
func (s *session) setImbalance() {
	const parts = 10
	counts := make([]map[string]float64, parts)
	// Executions have times of package timer, which count from boot, so the start of the load is converted to that
	// clock.
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
		s.setFigure(fmt.Sprintf("imbalance_%02d", i), maxOverMean(part, nodes))
	}
	// Arrivals are random, so a server's count in a tenth of a short run differs by several percent from its load.
	s.setFigure("chance_end_of_first", expectedRandomImbalance(len(nodes), sumCounts(counts[4])))
	s.setFigure("chance_end_of_second", expectedRandomImbalance(len(nodes), sumCounts(counts[9])))
	s.setFigure("imbalance_end_of_first", maxOverMean(counts[4], nodes))
	s.setFigure("imbalance_end_of_second", maxOverMean(counts[9], nodes))
}

func sumCounts(counts map[string]float64) (sum float64) {
	for _, count := range counts {
		sum += count
	}
	return sum
}

// maxOverMean returns the highest count of a node relative to the mean.
func maxOverMean(counts map[string]float64, nodes []*launcher.Node) float64 {
	highest, sum := 0.0, 0.0
	for _, n := range nodes {
		highest, sum = max(highest, counts[n.Name]), sum+counts[n.Name]
	}
	return ratio(highest*float64(len(nodes)), sum)
}
