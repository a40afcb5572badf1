package assigner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
)

// TestColdOwner guards against keys that move to an owner whose server is cold while others are warm and have room, and
// against an owner that gets none once it is warm.
func TestColdOwner(t *testing.T) {
	table, owners := newTable(t, 4)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	restarted := owners[1]
	restarted.Incarnation.Born++
	view.Candidates[1].Owner, view.Candidates[1].Cold = restarted, true
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	require.Zero(t, next.SliceCounts()[restarted])
	require.Nil(t, assigner.Plan(next, view), "the plan is complete")
	view.Candidates[1].Cold = false
	warm := assigner.Plan(next, view)
	require.NotNil(t, warm)
	targets := 0
	for i := range warm.Slices {
		if o, found := warm.TargetOf(i); found && o == restarted {
			targets++
		}
	}
	require.Greater(t, targets, len(table.Slices)/5)
}

// TestAllOwnersCold guards against keys without owner because all owners are cold.
func TestAllOwnersCold(t *testing.T) {
	table, owners := newTable(t, 3)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	for i := range view.Candidates {
		view.Candidates[i].Owner.Incarnation.Born++
		view.Candidates[i].Cold = true
	}
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	for i := range next.Slices {
		_, found := next.OwnerOf(i)
		require.True(t, found)
	}
}

// TestNoSlicesToColdOwner guards against slices that an overloaded owner gives to a cold one, which looks idle.
func TestNoSlicesToColdOwner(t *testing.T) {
	table, owners := newTable(t, 3)
	rates := make([]float64, len(table.Slices))
	for i := range rates {
		if o, _ := table.OwnerOf(i); o == owners[0] {
			rates[i] = 1
		}
	}
	loads := []assigner.Load{
		{Owner: owners[0], Offered: 1.2}, {Owner: owners[1], Offered: 0.1, Cold: true}, {Owner: owners[2], Offered: 0.4},
	}
	moves := assigner.Rebalance(table, owners[0], rates, loads)
	require.NotEmpty(t, moves)
	for _, m := range moves {
		require.Equal(t, owners[2], m.Target)
	}
}
