package assigner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
)

// moving returns the number of slices that have a target.
func moving(t *assigner.Table) int {
	n := 0
	for _, s := range t.Slices {
		if s.Target != 0 {
			n++
		}
	}
	return n
}

// finishMoves gives each moving slice to its target and returns the owners that had some.
func finishMoves(t *assigner.Table) (*assigner.Table, map[assigner.Owner]bool) {
	released := map[assigner.Owner][]assigner.Released{}
	for i := range t.Slices {
		if _, found := t.TargetOf(i); found {
			o, _ := t.OwnerOf(i)
			released[o] = append(released[o], assigner.Released{Slice: i, Token: t.Slices[i].Token})
		}
	}
	from := map[assigner.Owner]bool{}
	for o, list := range released {
		t, from[o] = assigner.Release(t, o, list), true
	}
	return t, from
}

// TestEvacuatedOwners guards against owners in an evacuated zone that keep keys, get new ones or move all at once, against
// returning owners that get their whole share at once, and against plans without end when few owners are left.
func TestEvacuatedOwners(t *testing.T) {
	table, owners := newTable(t, 9)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	for i := range 6 {
		view.Candidates[i].Evacuated, view.Candidates[i].Usable = true, false
	}
	waves := 0
	for next := assigner.Plan(table, view); next != nil; next = assigner.Plan(table, view) {
		require.LessOrEqual(t, moving(next), len(next.Slices)/4+len(next.Slices)/len(owners)+1)
		var from map[assigner.Owner]bool
		table, from = finishMoves(next)
		for o := range from {
			require.NotContains(t, owners[6:], o)
		}
		waves++
		require.LessOrEqual(t, waves, 3, "two for the moves and one for the merge of the grants")
	}
	for _, o := range owners[:6] {
		require.Zero(t, table.SliceCounts()[o])
	}
	view.Candidates = candidates(owners)
	for i := range 6 {
		view.Candidates[i].Returning = true
	}
	next := assigner.Plan(table, view)
	for _, o := range owners[:6] {
		require.Equal(t, len(table.Slices)/9/6, next.SliceCounts()[o])
	}
	table, _ = finishMoves(next)
	require.Nil(t, assigner.Plan(table, view), "the rest follows once the servers are warm")
	for i := range 6 {
		view.Candidates[i].Returning, view.Candidates[i].Restored = false, true
	}
	table, _ = finishMoves(assigner.Plan(table, view))
	for _, o := range owners[:6] {
		require.Equal(t, len(table.Slices)/9, table.SliceCounts()[o])
	}
	require.Nil(t, assigner.Plan(table, view))
	for i := range view.Candidates {
		view.Candidates[i].Evacuated, view.Candidates[i].Usable = true, false
	}
	require.Nil(t, assigner.Plan(table, view), "with all zones evacuated, keys stay where they are")
}
