package assigner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
)

func owner(name string) assigner.Owner {
	return assigner.Owner{Member: name, Incarnation: assigner.Incarnation{Instance: "i-" + name, Born: 1}}
}

// newTable returns an initial table and its owners, named a, b, c and so on.
func newTable(t *testing.T, n int) (*assigner.Table, []assigner.Owner) {
	t.Helper()
	view := assigner.PlanInput{Service: "stock"}
	var owners []assigner.Owner
	for i := range n {
		o := owner(fmt.Sprintf("%c", 'a'+i))
		owners = append(owners, o)
		view.Candidates = append(view.Candidates, assigner.Candidate{Owner: o, Usable: true})
	}
	table := assigner.Plan(nil, view)
	require.NotNil(t, table)
	return table, owners
}

// rebalanceUntilStable lets owners of different speeds rebalance until no slice moves, for at most 20 rounds. It
// returns the largest load, the mean load and the number of moves.
func rebalanceUntilStable(
	t *testing.T, table *assigner.Table, owners []assigner.Owner, speed, rates []float64,
) (largest, mean float64, moved int) {
	t.Helper()
	const serviceTime, slots = 0.09, 12.0
	for range 20 {
		var loads []assigner.Load
		largest, mean = 0, 0
		for i, o := range owners {
			load := 0.0
			for s := range table.Slices {
				if have, _ := table.OwnerOf(s); have == o {
					load += rates[s] * serviceTime / speed[i] / slots
				}
			}
			loads = append(loads, assigner.Load{Owner: o, Offered: load})
			largest, mean = max(largest, load), mean+load/float64(len(owners))
		}
		stable := true
		for _, o := range owners {
			own := make([]float64, len(rates))
			for s := range table.Slices {
				if have, _ := table.OwnerOf(s); have == o {
					own[s] = rates[s]
				}
			}
			moves := assigner.Rebalance(table, o, own, loads)
			if len(moves) == 0 {
				continue
			}
			stable = false
			moved += len(moves)
			var released []assigner.Released
			table = assigner.SetTargets(table, o, moves)
			for _, m := range moves {
				released = append(released, assigner.Released{Slice: m.Slice, Token: table.Slices[m.Slice].Token})
			}
			table = assigner.Release(table, o, released)
		}
		if stable {
			break
		}
	}
	return largest, mean, moved
}

// TestRebalanceSlowOwner guards against a slow server that keeps an equal share of the keys and refuses a third of its
// requests while fast servers are idle.
func TestRebalanceSlowOwner(t *testing.T) {
	table, owners := newTable(t, 5)
	rates := make([]float64, len(table.Slices))
	for i := range rates {
		rates[i] = 580.0 / float64(len(rates))
	}
	largest, mean, _ := rebalanceUntilStable(t, table, owners, []float64{0.5, 1, 1, 1, 1.5}, rates)
	require.LessOrEqual(t, largest, mean*1.15, "the target of max/mean is 1.15")
}

// TestRebalanceHotKeys guards against an owner that stays overloaded because a few of its slices receive much of the
// traffic.
func TestRebalanceHotKeys(t *testing.T) {
	table, owners := newTable(t, 6)
	rates := make([]float64, len(table.Slices))
	for i := range rates {
		rates[i] = 400.0 / float64(len(rates))
	}
	for i := 40; i < 44; i++ {
		rates[i] += 40
	}
	largest, mean, moved := rebalanceUntilStable(t, table, owners, []float64{1, 1, 1, 1, 1, 1}, rates)
	require.LessOrEqual(t, largest, mean*1.15, "the target of max/mean is 1.15")
	require.Less(t, moved, len(rates)/2, "few slices move")
}

// TestRebalanceEven guards against slices that move under an even load.
func TestRebalanceEven(t *testing.T) {
	table, owners := newTable(t, 6)
	rates := make([]float64, len(table.Slices))
	for i := range rates {
		rates[i] = 0.5
	}
	_, _, moved := rebalanceUntilStable(t, table, owners, []float64{1, 1, 1, 1, 1, 1}, rates)
	require.Zero(t, moved)
}
