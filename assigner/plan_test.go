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

// TestFirstTable guards against an initial table that leaves keys without owner, distributes slices unevenly, or does
// not survive encoding.
func TestFirstTable(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 34, 53} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			table, owners := newTable(t, n)
			count := table.SliceCounts()
			for _, o := range owners {
				require.InDelta(t, len(table.Slices)/n, count[o], 1)
				require.LessOrEqual(t, count[o], 320, "a heartbeat response holds 320 grants")
			}
			_, last := table.KeyRange(len(table.Slices) - 1)
			require.EqualValues(t, assigner.KeyCount-1, last)
			require.Equal(t, len(table.Slices)-1, table.SliceOf(assigner.KeyCount-1))
			data, err := table.Encode()
			require.NoError(t, err)
			require.Less(t, len(data), 32<<10, "every process reads the table after every change")
			back, err := assigner.Decode(data)
			require.NoError(t, err)
			require.Equal(t, table.Slices, back.Slices)
		})
	}
}

// TestIncarnationEnded guards against keys that stay assigned to a server that has ended while other servers are
// usable.
func TestIncarnationEnded(t *testing.T) {
	table, owners := newTable(t, 3)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[1].Ended, view.Candidates[1].Usable = true, false
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	require.Zero(t, next.SliceCounts()[owners[1]])
	require.Greater(t, next.LastToken, table.LastToken)
	require.Nil(t, assigner.Plan(next, view), "the plan is complete")
}

// TestNextIncarnation guards against a restarted server that does not get its keys back under a new token.
func TestNextIncarnation(t *testing.T) {
	table, owners := newTable(t, 2)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[0].Owner.Incarnation.Born++
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	restarted := view.Candidates[0].Owner
	require.InDelta(t, len(table.Slices)/2, next.SliceCounts()[restarted], 1)
	for i := range next.Slices {
		if o, _ := next.OwnerOf(i); o == restarted {
			require.Greater(t, next.Slices[i].Token, table.LastToken)
		}
	}
}

// TestSuspectWaits guards against a takeover before the grants of the suspect have expired, and against a takeover that
// never happens.
func TestSuspectWaits(t *testing.T) {
	table, owners := newTable(t, 3)
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
	require.False(t, next.Suspected("b"), "a suspicion of a member without slices is removed")
	require.Equal(t, []string{"b"}, assigner.SuspectsWithoutSlices(table, next),
		"its member record must be removed, or it is assigned slices again")
	require.Empty(t, assigner.SuspectsWithoutSlices(next, next))
	refuted := assigner.Refute(table, "b")
	require.Empty(t, assigner.SuspectsWithoutSlices(table, refuted))
}

// TestLeaving guards against keys that stay with a draining server, and against a new owner that gets none.
func TestLeaving(t *testing.T) {
	table, owners := newTable(t, 3)
	view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
	view.Candidates[2].Leaving, view.Candidates[2].Usable = true, false
	newOwner := owner("z")
	view.Candidates = append(view.Candidates, assigner.Candidate{Owner: newOwner, Usable: true})
	next := assigner.Plan(table, view)
	require.NotNil(t, next)
	count := next.SliceCounts()
	require.Zero(t, count[owners[2]], "all its slices have targets")
	require.GreaterOrEqual(t, count[newOwner], len(table.Slices)/3-1)
	for i := range next.Slices {
		o, _ := next.OwnerOf(i)
		before, _ := table.OwnerOf(i)
		require.Equal(t, before, o, "the owner of a moving slice must not change before it releases the slice")
	}
}

// TestFewOwnersLeft guards against keys that are not served because the remaining owners have more grants than a
// heartbeat response holds.
func TestFewOwnersLeft(t *testing.T) {
	for left := 1; left <= 4; left++ {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			table, owners := newTable(t, 6)
			view := assigner.PlanInput{Service: "stock", Candidates: candidates(owners)}
			for i := left; i < len(owners); i++ {
				view.Candidates[i].Ended, view.Candidates[i].Usable = true, false
			}
			next := assigner.Plan(table, view)
			require.NotNil(t, next)
			for _, o := range owners[:left] {
				grantCount, last := 0, assigner.Slice{}
				for i, s := range next.Slices {
					sliceOwner, _ := next.OwnerOf(i)
					if sliceOwner != o {
						last = assigner.Slice{}
						continue
					}
					if s.Token != last.Token {
						grantCount++
					}
					last = s
				}
				require.LessOrEqual(t, grantCount, 320)
				require.InDelta(t, len(table.Slices)/left, next.SliceCounts()[o], float64(len(table.Slices))/10)
			}
		})
	}
}
