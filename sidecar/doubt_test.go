package sidecar

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/executor"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// TestLeavingsInOneHeader guards against leavings that are never told because others fill the header, and against a header that
// grows with the id of a server of another writer.
func TestLeavingsInOneHeader(t *testing.T) {
	long := registrar.Leaving{Member: "x", Incarnation: assigner.Incarnation{Instance: strings.Repeat("i", maxToldBytes), Born: 1}}
	list := []registrar.Leaving{long}
	for i := range 200 {
		list = append(list, registrar.Leaving{Member: "x", Incarnation: assigner.Incarnation{Instance: fmt.Sprint("instance-", i), Born: 1}})
	}
	told := map[registrar.Leaving]bool{}
	for range 200 {
		some := someLeavings(slices.Clone(list))
		data, err := registrar.EncodeLeavings(some)
		require.NoError(t, err)
		require.Less(t, len(data), 2*maxToldBytes)
		for _, l := range some {
			told[l] = true
		}
	}
	require.Len(t, told, 200)
	require.NotContains(t, told, long)
}

// TestUnconfirmedServer guards against a server that a process uses after its start because a heartbeat says that it is ready,
// although those that may know of its leaving haven't answered or it says itself that it leaves.
func TestUnconfirmedServer(t *testing.T) {
	left := assigner.Incarnation{Instance: "i-1", Born: 1}
	started := func() *Sidecar {
		a := newColdSidecar(0)
		a.predecessor = registrar.Member{Name: "x", Service: "stock", Slots: 9, State: registrar.Ready, Incarnation: left}
		a.doubtUntil = timer.Now() + doubtTime
		return a
	}
	used := func(a *Sidecar) bool { return a.executor.Load().Slots > 0 }
	beat := func(a *Sidecar, sequence uint64) { a.handleHeartbeat(timer.Now(), coldHeartbeat(1, sequence, 0)) }
	answer := func(a *Sidecar, instance string, h platform.Health) {
		a.observeHealth(left, executor.Identity{Instance: instance, Health: h})
	}

	a := started()
	beat(a, 1)
	require.False(t, used(a), "nobody has told that it hasn't left")
	answer(a, "i-2", platform.Serving)
	answer(a, "i-1", platform.UnknownHealth)
	require.False(t, used(a), "the answer of another server, and one that says nothing")
	answer(a, "i-1", platform.Serving)
	require.True(t, used(a))

	a = started()
	a.doubtUntil = timer.Now()
	beat(a, 1)
	require.True(t, used(a), "its heartbeats go on for long")

	a = started()
	a.doubtUntil = timer.Now()
	answer(a, "i-1", platform.LeavingOrFailing)
	beat(a, 1)
	require.False(t, used(a), "it has just said that it leaves or fails")

	a = started()
	a.leavingSources, a.reporters = 4, map[assigner.Incarnation]int{left: 3}
	beat(a, 1)
	require.True(t, used(a), "one of those that kept a leaving would know of it")

	a = started()
	a.predecessor = registrar.Member{}
	beat(a, 1)
	require.True(t, used(a), "there was no earlier process")

	a = started()
	answer(a, "i-1", platform.Serving)
	beat(a, 1)
	a.handleHeartbeat(timer.Now(), coldHeartbeat(2, 1, 0))
	require.True(t, used(a), "the successor of a server that the process has used")
}
