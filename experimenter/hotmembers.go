package experimenter

import (
	"context"
	"fmt"
	"time"

	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/loader"
)

var _ = register(Experiment{
	Name: "hotmembers", Short: "imbalance while keys are hot and members join and leave", Duration: time.Minute,
	Run: scenario{
		name: "hotmembers", serviceTime: hotKeyServiceTime, hasBaseline: true,
		baseline: loader.BaselineSettings{Static: true},
		services: func(c customer) []string { return []string{c.stock} },
		streams:  hotKeyStreams,
		// The load enters through processes that stay.
		entries: func(f *launcher.Fleet, c customer) (nodes []*launcher.Node) { return f.Nodes[leavingMembers:] },
		script: func(ctx context.Context, s *session) error {
			if err := s.recordStart(); err != nil {
				return err
			}
			load := newAssignedLoad(s, hotKeyStreams(s.customer, s.length))
			sampled := make(chan error, 1)
			go func() { sampled <- load.sampleUntilEnd(ctx) }()
			changeErr := s.changeMembers(ctx)
			if err := <-sampled; err != nil {
				return err
			}
			names := []string{"first", "join_1", "leave_1", "second", "join_2", "leave_2"}
			for i, from := range memberChanges[:len(names)] {
				load.setFigures(names[i], from, memberChanges[i+1])
			}
			return changeErr
		},
		finish: func(ctx context.Context, s *session, _ generator.Report) error { return s.countMoves(ctx) },
		missedTargets: func(r scenarioRun) (missed []string) {
			if r.Failed > 0 {
				missed = append(missed, fmt.Sprintf("%d requests failed, the target is 0", r.Failed))
			}
			for _, name := range []string{"first", "join_1", "leave_1", "second", "join_2", "leave_2"} {
				if v, target := r.Figures["assigned_end_of_"+name], max(imbalanceTarget, r.Figures["optimum_"+name]); v > target {
					missed = append(missed, fmt.Sprintf("imbalance after %s is %.2f, the target is %.2f", name, v, target))
				}
			}
			return missed
		},
	}.run,
})

// leavingMembers is the number of members that leave.
const leavingMembers = 2

// memberChanges are the fractions of the load's duration at which its parts begin: the start, a join, a planned stop, a
// change of the hot keys, a join, a planned stop. The last one is the end.
var memberChanges = []float64{0, 0.17, 0.33, 0.5, 0.67, 0.83, 1}

// changeMembers adds a server and stops one, twice.
func (s *session) changeMembers(ctx context.Context) error {
	nodes := s.nodes(s.customer.stock)
	for i, node := range nodes[:leavingMembers] {
		if !s.waitFor(ctx, memberChanges[1+3*i]) {
			return nil
		}
		if _, err := s.fleet.Add(
			s.customer.service(s.customer.stock, backendSettings(hotKeyServiceTime)), node.Settings.Zone,
		); err != nil {
			return err
		}
		if !s.waitFor(ctx, memberChanges[2+3*i]) {
			return nil
		}
		if err := node.Stop(ctx); err != nil {
			return err
		}
		node.StopServer()
	}
	return nil
}
