package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// newColdSidecar returns a sidecar of a service whose servers are cold for 3 s and tolerate 16 requests a second meanwhile.
func newColdSidecar(coldRate float64) *Sidecar {
	a := newIdleSidecar()
	a.leavingsKnown = true
	a.evacuations.List(timer.Now(), registrar.Position{}, nil)
	a.forwarder.SetRoutes(matcher.New(matcher.Configuration{Services: map[string]matcher.Service{
		"stock": {Name: "stock", ColdTime: 3 * time.Second, ColdRate: coldRate},
	}}, 1))
	return a
}

func coldHeartbeat(born int64, sequence uint64, left time.Duration) platform.BackendHeartbeat {
	h := platform.BackendHeartbeat{Service: "stock", Slots: 9, ColdFor: left}
	h.Incarnation, h.Sequence = assigner.Incarnation{Instance: "i-1", Born: born}, sequence
	return h
}

// TestColdServerIsPaced guards against a server that is overwhelmed because what its heartbeats say of its cold time, or its
// silence, doesn't reach the executor, and against one that is paced when it is warm or never cold.
func TestColdServerIsPaced(t *testing.T) {
	a := newColdSidecar(16)
	coldFor := func() time.Duration { return a.executor.Load().ColdFor }
	a.handleHeartbeat(timer.Now(), coldHeartbeat(1, 1, 0))
	require.Zero(t, coldFor(), "warm from the start")
	a.handleHeartbeat(timer.Now(), coldHeartbeat(1, 2, 2*time.Second))
	require.InDelta(t, 2, coldFor().Seconds(), 0.5, "cold again")
	a.handleHeartbeat(timer.Now(), coldHeartbeat(1, 3, 0))
	require.Zero(t, coldFor())
	a.handleHeartbeat(timer.Now(), coldHeartbeat(2, 1, 3*time.Second))
	require.InDelta(t, 3, coldFor().Seconds(), 0.5, "a new server")
	a.handleHeartbeat(timer.Now(), coldHeartbeat(2, 2, 0))
	require.Zero(t, coldFor())
	a.suspectCold(a.server)
	require.InDelta(t, 3, coldFor().Seconds(), 0.5, "neither heartbeats nor answers")
	a.handleHeartbeat(timer.Now(), coldHeartbeat(2, 3, 0))
	require.Zero(t, coldFor())

	for _, left := range []time.Duration{0, 2 * time.Second} {
		early := newColdSidecar(16)
		routes := early.forwarder.Routes()
		early.forwarder.SetRoutes(nil)
		early.handleHeartbeat(timer.Now(), coldHeartbeat(1, 1, left))
		early.forwarder.SetRoutes(routes)
		early.applyColdRate()
		require.InDelta(t, left.Seconds(), early.executor.Load().ColdFor.Seconds(), 0.5, "a heartbeat before the configuration")
	}

	never := newColdSidecar(0)
	never.handleHeartbeat(timer.Now(), coldHeartbeat(1, 1, 2*time.Second))
	require.Zero(t, never.executor.Load().ColdFor, "a service without a cold rate")
}

// TestColdAfterRestart guards against a server that gets what a warm one gets because the process beside it has started again
// and has had no heartbeat yet, with and without a configuration at that time.
func TestColdAfterRestart(t *testing.T) {
	for _, configured := range []bool{true, false} {
		a := newColdSidecar(16)
		routes := a.forwarder.Routes()
		if !configured {
			a.forwarder.SetRoutes(nil)
		}
		a.predecessor = registrar.Member{
			Name: "x", Service: "stock", Slots: 9, State: registrar.Ready,
			Incarnation: assigner.Incarnation{Instance: "i-1", Born: 1},
		}
		a.mu.Lock()
		a.resumeServer()
		a.server.unconfirmed = false
		a.mu.Unlock()
		a.forwarder.SetRoutes(routes)
		a.applyColdRate()
		require.InDelta(t, 3, a.executor.Load().ColdFor.Seconds(), 0.5)
		a.handleHeartbeat(timer.Now(), coldHeartbeat(1, 1, 0))
		require.Zero(t, a.executor.Load().ColdFor)
	}
}
