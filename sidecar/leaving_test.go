package sidecar_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/loader"
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

// TestLeavingOutlivesAllProcesses guards against requests that reach a server whose leaving was acknowledged while the store
// was down, after every process that kept the leaving was started again before the store was back.
func TestLeavingOutlivesAllProcesses(t *testing.T) {
	for _, c := range []struct {
		name   string
		orders int
		leave  func(*cluster, *node)
		// heartbeats means that the server goes on to send heartbeats.
		heartbeats bool
	}{
		{name: "silence", orders: 3, leave: (*cluster).deregister},
		{name: "draining", orders: 3, leave: (*cluster).drain, heartbeats: true},
		{name: "draining_then_silence", orders: 3, leave: (*cluster).drain},
		{name: "heartbeats_that_say_ready", orders: 3, leave: (*cluster).deregister, heartbeats: true},
		// Two processes that don't keep the leaving run on and know nothing of it.
		{name: "silence_with_others", orders: leavingReplicas + 2, leave: (*cluster).deregister},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 1, c.orders)
			left := s.nodes[1]
			time.Sleep(reportTime)
			s.store.SetDown(true)
			c.leave(s, left)
			if !c.heartbeats {
				left.server.StopHeartbeats()
			}
			time.Sleep(left.settings.Bounds.Drain)
			s.restart(s.keepersOf(left))
			s.store.SetDown(false)
			s.requireNoOrders(left)
		})
	}
}

// leavingReplicas is the number of other processes that keep a leaving, if there are as many.
const leavingReplicas = 5

// keepersOf returns a node and those whose processes it has asked to keep the leaving of its server.
func (s *cluster) keepersOf(left *node) []*node {
	var list []*node
	for _, n := range s.nodes {
		event := "event=leavings_kept"
		if n == left {
			event = "event=leaving_known"
		}
		if s.logged("process="+n.settings.Name+" ", event+" member="+left.settings.Name+" ") {
			list = append(list, n)
		}
	}
	require.Len(s.t, list, 1+min(len(s.nodes)-1, leavingReplicas), "processes that keep the leaving")
	return list
}

// logged reports whether a line of the log has all of the given parts.
func (s *cluster) logged(parts ...string) bool {
	for line := range strings.Lines(s.logs.String()) {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			return true
		}
	}
	return false
}

// restart stops the processes of nodes at the same time, and starts them once all have ended.
func (s *cluster) restart(nodes []*node) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(n.stopSidecar)
	}
	group.Wait()
	for _, n := range nodes {
		s.startSidecar(n)
	}
}

// drain makes the server of a node announce in its heartbeats that it leaves, and waits for the acknowledgement.
func (s *cluster) drain(n *node) {
	n.server.Drain()
	time.Sleep(4 * testHeartbeat)
}

// reportTime is how long the processes of a small cluster take to report their servers to each other.
const reportTime = 4 * time.Second

// requireKeysMove waits until other servers have all keys, and requires that the server of a node runs no request meanwhile.
func (s *cluster) requireKeysMove(left *node) {
	s.t.Helper()
	s.await("other servers have all keys", func() bool {
		served := true
		for key := 0; key < 1<<16; key += keyStep {
			r := s.send(left, http.MethodGet, "/stock/x", key)
			require.NotContains(s.t, s.judge.Runs(r.ID), left.config.ID)
			served = served && r.Status == http.StatusOK
		}
		return served
	})
}

// TestDrainTimeOutlivesAllProcesses guards against requests for keys that reach a draining server because every process that
// knew when its drain began was started again.
func TestDrainTimeOutlivesAllProcesses(t *testing.T) {
	forEachGrantForm(t, testDrainTimeOutlivesAllProcesses)
}

func testDrainTimeOutlivesAllProcesses(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 1)
	left := s.nodes[0]
	s.store.SetDown(true)
	s.drain(left)
	time.Sleep(left.settings.Bounds.Drain)
	s.restart(s.keepersOf(left))
	s.store.SetDown(false)
	s.requireKeysMove(left)
}

// TestServedAfterRestart guards against a restart after which the server gets no requests until its next heartbeat, although
// the other processes can tell that it hasn't left.
func TestServedAfterRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		storeDown bool
	}{{name: "planned"}, {name: "store_down", storeDown: true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 1, 3)
			n := s.nodes[1]
			time.Sleep(reportTime)
			s.store.SetDown(c.storeDown)
			n.stopSidecar()
			n.server.StopHeartbeats()
			s.startSidecar(n)
			started := time.Now()
			s.await("the server gets requests again", func() bool {
				r := s.send(n, http.MethodPost, "/orders/1", simulator.NoKey)
				return slices.Contains(s.judge.Runs(r.ID), n.config.ID)
			})
			t.Logf("served again after %s", time.Since(started).Round(time.Millisecond))
			require.False(t, s.logged("event=server_ended"))
		})
	}
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
	s.requireKeysMove(left)
}
