package experimenter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/generator"
	"hibiscusline/validator"
)

// TestAssignedLoad guards against an optimum that ignores that a single key can exceed a member's fair share, and
// against streams that are counted outside of their start and stop times.
func TestAssignedLoad(t *testing.T) {
	s := &applier.State{}
	for id := range applier.MemberID(4) {
		s.Apply(s.Applied+1, applier.Envelope{Record: applier.Join{Member: applier.Member{ID: id + 1, Service: "stock", Slots: 12}}, ID: id.String()})
	}
	s.Apply(s.Applied+1, applier.Envelope{ID: "propose", Record: applier.Propose{Author: "op", Configuration: validator.Configuration{
		Services: map[string]validator.Service{"stock": {Keyed: true, InitialRanges: 4, MaxRequestTime: validator.Duration(time.Second)}},
		Ranks:    map[string]validator.Rank{"stock": {LatencyTarget: validator.Duration(time.Second)}},
		Rules:    []validator.Rule{{Name: "all", Service: "stock", Rank: "stock"}},
		Policy:   validator.Policy{Operators: []string{"op"}},
	}}})
	require.Len(t, s.Assignments["stock"], 4)
	a := newAssignedLoad(&session{
		customer: customer{stock: "stock"}, length: 10 * time.Second, figures: map[string]float64{},
	}, []generator.Stream{
		{Service: "stock", Rate: 100, KeyCount: 100, KeyPrefix: "item-"},
		{Service: "stock", Rate: 100, KeyCount: 1, KeyPrefix: "hot-", Start: validator.Duration(5 * time.Second)},
	})
	before, after := a.sample(0, s), a.sample(5*time.Second, s)
	require.InDelta(t, 1, before.optimum, 1e-9)
	require.Less(t, before.imbalance, 1.6)
	require.InDelta(t, 2, after.optimum, 1e-9, "one key has half of the load of four members")
	require.Greater(t, after.imbalance, after.optimum)
}

// TestTimeToTarget guards against counting a short dip below the target as the time at which it was reached.
func TestTimeToTarget(t *testing.T) {
	a := &assignedLoad{session: &session{length: 4 * time.Second, figures: map[string]float64{}}}
	for i, imbalance := range []float64{1.5, 1.1, 1.3, 1.1, 1.5, 1.1, 1.2, 1.3} {
		a.samples = append(a.samples, loadSample{at: time.Duration(i) * 500 * time.Millisecond, imbalance: imbalance, optimum: 1})
	}
	a.setFigures("first", 0, 0.5)
	a.setFigures("second", 0.5, 1)
	require.InDelta(t, 1.5, a.session.figures["seconds_to_target_first"], 1e-9)
	require.InDelta(t, -1, a.session.figures["seconds_to_target_second"], 1e-9)
	require.InDelta(t, 0.5, a.session.figures["above_share_first"], 1e-9)
	require.InDelta(t, 1.3, a.session.figures["assigned_end_of_second"], 1e-9)
}

// TestExpectedRandomImbalance guards against a wrong estimate of the imbalance that random arrivals cause under an even
// load, by comparing it with a simulation.
func TestExpectedRandomImbalance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const servers, requests, runs = 6, 1200, 400
	sum := 0.0
	for range runs {
		counts := make([]float64, servers)
		for range requests {
			counts[random.IntN(servers)]++
		}
		sum += slices.Max(counts) / requests * servers
	}
	require.InDelta(t, sum/runs, expectedRandomImbalance(servers, requests), 0.01)
	require.InDelta(t, 1, expectedRandomImbalance(1, 100), 1e-9)
}
