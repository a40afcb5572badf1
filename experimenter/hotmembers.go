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
		name: "hotmembers", serviceTime: keyServiceTime, comparable: true, baseline: loader.BaselineSettings{Static: true},
		services: func(c customer) []string { return []string{c.stock} },
		streams:  hotStreams,
		// Callers use processes that stay.
		entries: func(f *launcher.Fleet, c customer) (nodes []*launcher.Node) { return f.Nodes[leavingMembers:] },
		script: func(ctx context.Context, s *stage) error {
			if err := s.remember(); err != nil {
				return err
			}
			load := newAssignedLoad(s, hotStreams(s.customer, s.length))
			watched := make(chan error, 1)
			go func() { watched <- load.watch(ctx) }()
			changeErr := s.changeMembers(ctx)
			if err := <-watched; err != nil {
				return err
			}
			names := []string{"first", "join_1", "leave_1", "second", "join_2", "leave_2"}
			for i, from := range memberChanges[:len(names)] {
				load.figures(names[i], from, memberChanges[i+1])
			}
			return changeErr
		},
		finish: func(ctx context.Context, s *stage, _ generator.Report) error { return s.countMoves(ctx) },
		missed: func(r scenarioRun) (missed []string) {
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

// memberChanges are the shares of the load at which its parts begin: the start, a join, a planned stop, other hot keys,
// a join, a planned stop; and the end.
var memberChanges = []float64{0, 0.17, 0.33, 0.5, 0.67, 0.83, 1}

// changeMembers adds a server and stops one, twice.
func (s *stage) changeMembers(ctx context.Context) error {
	nodes := s.nodes(s.customer.stock)
	for i, node := range nodes[:leavingMembers] {
		if !s.until(ctx, memberChanges[1+3*i]) {
			return nil
		}
		if _, err := s.fleet.Add(s.customer.service(s.customer.stock, backend(keyServiceTime)), node.Settings.Zone); err != nil {
			return err
		}
		if !s.until(ctx, memberChanges[2+3*i]) {
			return nil
		}
		if err := node.Stop(ctx); err != nil {
			return err
		}
		node.StopServer()
	}
	return nil
}
