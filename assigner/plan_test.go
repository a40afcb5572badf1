package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
)

func candidates(owners []assigner.Owner) []assigner.Candidate {
	var list []assigner.Candidate
	for _, o := range owners {
		list = append(list, assigner.Candidate{Owner: o, Usable: true})
	}
	return list
}

// TestFirstTable guards against keys without owner, against an uneven start, and against neighbouring slices of one owner.
func TestFirstTable(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 34, 53} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			table, owners := fleet(t, n)
			count := table.SliceCounts()
			for _, o := range owners {
				require.InDelta(t, len(table.Slices)/n, count[o], 1)
				require.LessOrEqual(t, count[o], 320, "an answer to a heartbeat holds 320 grants")
			}
			_, last := table.KeyRange(len(table.Slices) - 1)
			require.EqualValues(t, assigner.KeyCount-1, last)
			require.Equal(t, len(table.Slices)-1, table.SliceOf(assigner.KeyCount-1))
			data, err := table.Encode()
			require.NoError(t, err)
			require.Less(t, len(data), 32<<10, "a table is read by every process at every change")
			back, err := assigner.Decode(data)
			require.NoError(t, err)
			require.Equal(t, table.Slices, back.Slices)
		})
	}
}

// TestLifeEnded guards against keys that stay with a server that has ended while others could serve them.
func TestLifeEnded(t *testing.T) {
	table, owners := fleet(t, 3)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[1].Ended, view.Candidates[1].Usable = true, false
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	require.Zero(t, next.SliceCounts()[owners[1]])
	require.Greater(t, next.LastToken, table.LastToken)
	require.Nil(t, assigner.Plan(next, view), "nothing is left to do")
}

// TestNextLife guards against a later incarnation of a server that is not given its keys back under a new token.
func TestNextLife(t *testing.T) {
	table, owners := fleet(t, 2)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[0].Owner.Incarnation.Born++
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	again := view.Candidates[0].Owner
	require.InDelta(t, len(table.Slices)/2, next.SliceCounts()[again], 1)
	for i := range next.Slices {
		if o, _ := next.OwnerOf(i); o == again {
			require.Greater(t, next.Slices[i].Token, table.LastToken)
		}
	}
}

// TestSuspectWaits guards against a takeover before the suspect's grants have lapsed, and against one that never comes.
func TestSuspectWaits(t *testing.T) {
	table, owners := fleet(t, 3)
	table = assigner.Suspect(table, "b")
	since := time.Duration(0)
	view := assigner.PlanInput{
		Service: "stock", Candidates: candidates(owners), LeaseTerm: 12 * time.Second,
		SuspectedFor: func(assigner.Suspicion) time.Duration { return since },
	}
	view.Candidates[1].Unreachable = true
	require.Nil(t, assigner.Plan(table, view))
	since = 12 * time.Second
	require.Nil(t, assigner.Plan(table, view))
	since++
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	require.Zero(t, next.SliceCounts()[owners[1]])
	require.False(t, next.Suspected("b"), "a suspicion without keys is over")
	require.Equal(t, []string{"b"}, assigner.SuspectsWithoutSlices(table, next), "its record must go, or it is given keys again")
	require.Empty(t, assigner.SuspectsWithoutSlices(next, next))
	answered := assigner.Refute(table, "b")
	require.Empty(t, assigner.SuspectsWithoutSlices(table, answered))
}

// TestLeaving guards against keys that stay with a server that drains, and against a newcomer that gets none.
func TestLeaving(t *testing.T) {
	table, owners := fleet(t, 3)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[2].Leaving, view.Candidates[2].Usable = true, false
	newcomer := owner("z")
	view.Candidates = append(view.Candidates, assigner.Candidate{Owner: newcomer, Usable: true})
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	count := next.SliceCounts()
	require.Zero(t, count[owners[2]], "all its slices have targets")
	require.GreaterOrEqual(t, count[newcomer], len(table.Slices)/3-1)
	for i := range next.Slices {
		o, _ := next.OwnerOf(i)
		before, _ := table.OwnerOf(i)
		require.Equal(t, before, o, "a planned move leaves the owner in place until it has released the slice")
	}
}

// TestFewOwnersLeft guards against keys that nobody serves because the owners that are left have more slices than an answer to
// a heartbeat holds.
func TestFewOwnersLeft(t *testing.T) {
	for left := 1; left <= 4; left++ {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			table, owners := fleet(t, 6)
			view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
			for i := left; i < len(owners); i++ {
				view.Candidates[i].Ended, view.Candidates[i].Usable = true, false
			}
			next := assigner.Plan(table, view)
			require.NotNil(t, next)
			for _, o := range owners[:left] {
				runs, last := 0, assigner.Slice{}
				for i, s := range next.Slices {
					have, _ := next.OwnerOf(i)
					if have != o {
						last = assigner.Slice{}
						continue
					}
					if s.Token != last.Token {
						runs++
					}
					last = s
				}
				require.LessOrEqual(t, runs, 320)
				require.InDelta(t, len(table.Slices)/left, next.SliceCounts()[o], float64(len(table.Slices))/10)
			}
		})
	}
}
