package sidecar_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform/simulator"
)

// leavingObservation is how long orders are sent after an acknowledged leaving.
const leavingObservation = 2 * time.Second

// requireNoOrders sends orders to all nodes for a while and requires that none runs on the server of a node.
func (s *cluster) requireNoOrders(left *node) {
	s.t.Helper()
	reached, served := 0, 0
	for end := time.Now().Add(leavingObservation); time.Now().Before(end); {
		for _, n := range s.nodes {
			r := s.send(n, http.MethodPost, "/orders/1", simulator.NoKey)
			for _, server := range s.judge.Runs(r.ID) {
				if server == left.config.ID {
					reached++
				}
			}
			if r.Status == http.StatusOK {
				served++
			}
		}
	}
	require.Zero(s.t, reached, "orders that ran on a server whose leaving was acknowledged")
	require.NotZero(s.t, served, "orders that the other servers ran")
}

// TestLeavingOutlivesProcess guards against requests that reach a server whose leaving was acknowledged while the store
// was down, after the process that acknowledged it was started again.
func TestLeavingOutlivesProcess(t *testing.T) {
	for _, c := range []struct {
		name string
		// leave makes the server leave, and returns after the acknowledgement.
		leave func(*cluster, *node)
		// heartbeats means that the server goes on to send heartbeats.
		heartbeats bool
	}{
		{name: "deregistration", leave: (*cluster).deregister},
		{name: "deregistration_with_heartbeats", leave: (*cluster).deregister, heartbeats: true},
		{name: "draining", leave: func(s *cluster, n *node) {
			n.server.Drain()
			time.Sleep(4 * testHeartbeat)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 1, 3)
			left := s.nodes[1]
			s.store.SetDown(true)
			c.leave(s, left)
			if !c.heartbeats {
				left.server.StopHeartbeats()
			}
			time.Sleep(left.settings.Bounds.Drain)
			left.stopSidecar()
			s.startSidecar(left)
			s.store.SetDown(false)
			s.requireNoOrders(left)
		})
	}
}

func (s *cluster) deregister(n *node) {
	s.t.Helper()
	require.Equal(s.t, http.StatusOK, n.server.Deregister())
}

// TestLeavingBeforeHeartbeat guards against a deregistration that is acknowledged and forgotten because the process has
// just started and doesn't know its server yet.
func TestLeavingBeforeHeartbeat(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 3)
	left := s.nodes[1]
	left.server.StopHeartbeats()
	s.store.SetDown(true)
	left.stopSidecar()
	s.startSidecar(left)
	acknowledged := func() bool { return left.server.Deregister() == http.StatusOK }
	s.await("the restarted process acknowledges the leaving", acknowledged)
	time.Sleep(left.settings.Bounds.Drain)
	s.store.SetDown(false)
	s.requireNoOrders(left)
}

// TestLeavingIsNotAcknowledgedInVain guards against the acknowledgement of a leaving that neither the store nor another
// process knows of, so that a restart of this one would forget it.
func TestLeavingIsNotAcknowledgedInVain(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 1)
	s.store.SetDown(true)
	s.nodes[0].stopSidecar()
	require.Equal(t, http.StatusServiceUnavailable, s.nodes[1].server.Deregister())
	s.startSidecar(s.nodes[0])
	s.store.SetDown(false)
	s.await("the leaving is acknowledged once it is stored", func() bool { return s.nodes[1].server.Deregister() == http.StatusOK })
}

// TestDrainTimeOutlivesProcess guards against requests for keys that reach a draining server because the drain time begins
// anew with each start of the process beside it.
func TestDrainTimeOutlivesProcess(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 2, 0)
	left := s.nodes[0]
	s.store.SetDown(true)
	left.server.Drain()
	s.await("the drain is acknowledged", func() bool { return strings.Contains(s.logs.String(), "state=draining") })
	time.Sleep(left.settings.Bounds.Drain)
	left.stopSidecar()
	s.startSidecar(left)
	s.store.SetDown(false)
	s.await("the other server has all keys", func() bool {
		served := true
		for key := 0; key < 1<<16; key += keyStep {
			r := s.send(left, http.MethodGet, "/stock/x", key)
			require.NotContains(t, s.judge.Runs(r.ID), left.config.ID)
			served = served && r.Status == http.StatusOK
		}
		return served
	})
}
