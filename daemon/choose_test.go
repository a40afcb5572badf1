package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/encoder"
)

func noReports(applier.MemberID) (memberLoad, bool) { return memberLoad{}, false }

func membersOf(service string, first, count int) (members []applier.Member) {
	for i := range count {
		members = append(members, applier.Member{ID: applier.MemberID(first + i), Service: service, Zone: "a", Slots: 12})
	}
	return members
}

// TestFirstMembersAreWarm guards against an entry that treats all members but one as cold after its start. It then sent
// nearly all requests to that member for ten seconds.
func TestFirstMembersAreWarm(t *testing.T) {
	c := newChooser("a", balancer.TwoChoices, noReports)
	members := membersOf("archive", 1, 4)
	picked := map[applier.MemberID]int{}
	for range 400 {
		id, found := c.Pick("archive", members, nil)
		require.True(t, found)
		c.Started("archive", id)
		picked[id]++
	}
	for _, m := range members {
		require.InDelta(t, 100, picked[m.ID], 20)
	}
	late := append(members, membersOf("archive", 9, 1)...)
	for range 100 {
		id, _ := c.Pick("archive", late, nil)
		c.Started("archive", id)
		picked[id]++
	}
	require.Less(t, picked[9], 50, "a member that joins later starts gradually")
}

// TestRestoredMembersStartGradually guards against servers of an evacuated zone that get their whole share at once after
// the restoration, when they may be cold.
func TestRestoredMembersStartGradually(t *testing.T) {
	c := newChooser("a", balancer.TwoChoices, noReports)
	all := membersOf("archive", 1, 4)
	pick := func(members []applier.Member) (last int) {
		for range 100 {
			id, found := c.Pick("archive", members, nil)
			require.True(t, found)
			c.Started("archive", id)
			c.Finished("archive", id, encoder.Response{Outcome: encoder.Answered, Status: http.StatusOK}, time.Millisecond)
			if id == 4 {
				last++
			}
		}
		return last
	}
	require.Greater(t, pick(all), 15)
	require.Zero(t, pick(all[:3]))
	require.Less(t, pick(all), 15)
}

// TestServicesAreIndependent guards against the ejection of members of one service because another service responds
// faster.
func TestServicesAreIndependent(t *testing.T) {
	c := newChooser("a", balancer.TwoChoices, noReports)
	response := encoder.Response{Outcome: encoder.Answered, Status: http.StatusOK}
	fast, slow := membersOf("archive", 1, 3), membersOf("reports", 4, 3)
	for i := range 600 {
		service, members, latency := "archive", fast, 10*time.Millisecond
		if i%2 == 0 {
			service, members, latency = "reports", slow, time.Second
		}
		id, _ := c.Pick(service, members, nil)
		c.Started(service, id)
		c.Finished(service, id, response, latency)
		// The chooser evaluates new latencies every 100 ms.
		if i%60 == 0 {
			time.Sleep(120 * time.Millisecond)
		}
	}
	require.Zero(t, c.sum(func(c *balancer.Chooser) float64 { return float64(c.EjectedCount()) }))
}
