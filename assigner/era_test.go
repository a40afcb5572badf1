package assigner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
)

// TestNothingMovesWhileSettling guards against slices that are assigned, moved or released before the grants of an earlier era
// have expired.
func TestNothingMovesWhileSettling(t *testing.T) {
	owners := []assigner.Owner{
		{Member: "a", Incarnation: assigner.Incarnation{Instance: "i", Born: 1}}, {Member: "b", Incarnation: assigner.Incarnation{Instance: "j", Born: 1}},
	}
	table := &assigner.Table{
		Service: "stock", LastToken: 7, Owners: owners, Slices: make([]assigner.Slice, 64),
		Suspects: []assigner.Suspicion{{Member: "a", Serial: 1}},
	}
	for i := range table.Slices {
		table.Slices[i] = assigner.Slice{Owner: 1, Token: 7, Target: uint16(i%2) * 2}
	}
	opened := assigner.Open(table, 3)
	require.Empty(t, opened.Suspects, "a suspicion may have been refuted")
	require.EqualValues(t, assigner.CounterFloor(3), opened.LastToken)
	in := assigner.PlanInput{Service: "stock", Era: 3, Candidates: []assigner.Candidate{
		{Owner: owners[0], Ended: true}, {Owner: owners[1], Usable: true},
	}}
	require.Nil(t, assigner.Plan(opened, in))
	require.Nil(t, assigner.SetTargets(opened, owners[0], []assigner.Move{{Slice: 0, Target: owners[1]}}))
	moving := opened.Clone()
	moving.Slices[1].Target = 1
	require.Nil(t, assigner.Release(moving, owners[0], []assigner.Released{{Slice: 1, Token: 7}}))
	settled := assigner.Settle(opened)
	require.NotNil(t, assigner.Plan(settled, in))
	require.Nil(t, assigner.Plan(settled, assigner.PlanInput{Service: "stock", Era: 4}), "a table that isn't open in the era")
	data, err := opened.Encode()
	require.NoError(t, err)
	decoded, err := assigner.Decode(data)
	require.NoError(t, err)
	require.Equal(t, opened.Era, decoded.Era)
	require.True(t, decoded.Settling)
}
