package sidecar_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
	"hibiscusline/registrar"
)

const (
	// goneMembers is the number of members whose instances were replaced.
	goneMembers = 60
	// doubtObservation exceeds the time after which a process that could ask nobody believes the heartbeats of its server.
	doubtObservation = 6 * time.Second
	// entrySenders is the number of callers that send orders to each node at the same time.
	entrySenders = 4
)

// addGoneMembers adds records of members whose instances are gone, as planned or not.
func (s *cluster) addGoneMembers(planned bool) {
	s.t.Helper()
	for i := range goneMembers {
		m := registrar.Member{
			Name: fmt.Sprintf("gone-%d", i), Epoch: 1, Zone: "zone-a", Peer: s.address(), Service: "orders", State: registrar.Ready, Slots: 12,
			Incarnation: assigner.Incarnation{Instance: fmt.Sprintf("i-gone-%d", i), Born: 5},
		}
		if planned {
			m.State, m.Stopping = registrar.Ended, true
		}
		data, err := m.Encode()
		require.NoError(s.t, err)
		s.store.Put(platform.RecordsTopic, registrar.MemberKey(m.Name), data)
	}
}

// leaveInOutage makes the server of a node deregister while the store is down. It goes on to send heartbeats that say ready.
func (s *cluster) leaveInOutage(left *node) {
	s.t.Helper()
	time.Sleep(reportTime)
	s.store.SetDown(true)
	s.deregister(left)
	time.Sleep(left.settings.Bounds.Drain)
}

// TestLeavingOutlivesReplacedMembers guards against requests that reach a server whose leaving was acknowledged while the store
// was down, after a restart of the process beside it, because the members that this one asks for leavings are gone or were
// started again. The server's heartbeats still say ready, and its health checks don't tell which server it is.
func TestLeavingOutlivesReplacedMembers(t *testing.T) {
	for _, c := range []struct {
		name   string
		orders int
		// gone means that the records of many replaced members are in the store, planned that these have stopped as planned.
		gone, planned bool
		// restart starts processes again. The store is down before it, and up after it.
		restart func(s *cluster, left *node)
	}{
		{name: "replaced_as_planned", orders: 3, gone: true, planned: true, restart: (*cluster).restartOnce},
		{name: "lost_for_good", orders: 3, gone: true, restart: (*cluster).restartOnce},
		{name: "two_restarts", orders: 3, gone: true, planned: true, restart: func(s *cluster, left *node) {
			s.restart([]*node{left})
			s.restartOnce(left)
		}},
		{name: "one_after_the_other", orders: 3, restart: func(s *cluster, left *node) {
			for _, n := range s.keepersOf(left) {
				if n != left {
					s.restart([]*node{n})
				}
			}
			s.restartOnce(left)
		}},
		{name: "all_that_were_asked_to_keep_it", orders: leavingReplicas + 2, restart: func(s *cluster, left *node) {
			s.restart(s.keepersOf(left))
			s.store.SetDown(false)
		}},
		{name: "all_started_again", orders: 3, restart: func(s *cluster, left *node) {
			s.restart(s.nodes)
			s.store.SetDown(false)
		}},
		{name: "store_back_before_the_start", orders: 3, gone: true, planned: true, restart: func(s *cluster, left *node) {
			left.stopSidecar()
			s.store.SetDown(false)
			s.startSidecar(left)
		}},
		{name: "store_back_and_all_others_restarted", orders: 3, restart: func(s *cluster, left *node) {
			left.stopSidecar()
			s.store.SetDown(false)
			s.await("the store has the leaving", func() bool { return s.storedState(left) == registrar.Draining })
			s.restart(slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n == left }))
			s.startSidecar(left)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newClusterOf(t, clusterConfig{stock: 1, orders: c.orders, hidesIDs: true})
			if c.gone {
				s.addGoneMembers(c.planned)
			}
			left := s.nodes[1]
			s.leaveInOutage(left)
			c.restart(s, left)
			s.requireNoOrdersUnderLoad(left)
		})
	}
}

// requireNoOrdersUnderLoad sends orders to all nodes at once, so that each entry uses all servers that it may, and requires that
// none runs on the server of a node.
func (s *cluster) requireNoOrdersUnderLoad(left *node) {
	s.t.Helper()
	var reached, served atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(doubtObservation)
	for _, entry := range s.nodes {
		for range entrySenders {
			group.Go(func() {
				for time.Now().Before(end) {
					r := s.send(entry, http.MethodPost, "/orders/1", simulator.NoKey)
					if slices.Contains(s.judge.Runs(r.ID), left.config.ID) {
						reached.Add(1)
					}
					if r.Status == http.StatusOK {
						served.Add(1)
					}
				}
			})
		}
	}
	group.Wait()
	require.Zero(s.t, reached.Load(), "orders that ran on a server whose leaving was acknowledged")
	require.NotZero(s.t, served.Load(), "orders that the other servers ran")
}

// restartOnce restarts the process of a node, and then makes the store available.
func (s *cluster) restartOnce(left *node) {
	s.restart([]*node{left})
	s.store.SetDown(false)
}

// storedState returns the state of the server of a node by its record in the store.
func (s *cluster) storedState(n *node) registrar.ServerState {
	entries, _, err := platform.NewStore(s.storeAddress).Newest(s.t.Context(), platform.RecordsTopic)
	require.NoError(s.t, err)
	for _, e := range entries {
		if e.Key == registrar.MemberKey(n.settings.Name) {
			m, err := registrar.DecodeMember(e.Value)
			require.NoError(s.t, err)
			return m.State
		}
	}
	return registrar.Absent
}

// TestKeyedLeavingOutlivesReplacedMembers guards against requests for keys that reach a server whose leaving was acknowledged
// while the store was down, because the members that the restarted process beside it asks are gone.
func TestKeyedLeavingOutlivesReplacedMembers(t *testing.T) {
	forEachGrantForm(t, testKeyedLeavingOutlivesReplacedMembers)
}

func testKeyedLeavingOutlivesReplacedMembers(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterOf(t, clusterConfig{form: form, stock: 2, orders: 1, hidesIDs: true})
	s.addGoneMembers(true)
	left := s.nodes[0]
	s.leaveInOutage(left)
	s.restartOnce(left)
	s.requireKeysMove(left)
}

// runsUnderLoad sends orders to a node, several at once, until its own server has run one, and reports whether that was so in time.
func (s *cluster) runsUnderLoad(n *node, within time.Duration) bool {
	var reached atomic.Bool
	var group sync.WaitGroup
	end := time.Now().Add(within)
	for range entrySenders {
		group.Go(func() {
			for time.Now().Before(end) && !reached.Load() {
				r := s.send(n, http.MethodPost, "/orders/1", simulator.NoKey)
				if slices.Contains(s.judge.Runs(r.ID), n.config.ID) {
					reached.Store(true)
				}
			}
		})
	}
	group.Wait()
	return reached.Load()
}

// TestLiveServerServesDespiteGoneMembers guards against a live server that stays unused long after a restart of the process
// beside it in an outage of the store, because nobody can tell whether it has left.
func TestLiveServerServesDespiteGoneMembers(t *testing.T) {
	const (
		// answered bounds the wait if the server answers health checks, and silent if it doesn't.
		answered = 3 * time.Second
		silent   = 5 * time.Second
	)
	for _, c := range []struct {
		name          string
		orders        int
		hidesIDs      bool
		planned, lost bool
		within        time.Duration
	}{
		{name: "two", orders: 1, within: answered},
		{name: "two_silent", orders: 1, hidesIDs: true, within: silent},
		{name: "two_replaced", orders: 1, planned: true, within: answered},
		{name: "two_lost", orders: 1, lost: true, within: answered},
		{name: "two_lost_silent", orders: 1, lost: true, hidesIDs: true, within: silent},
		{name: "five", orders: 4, within: answered},
		{name: "five_replaced", orders: 4, planned: true, within: answered},
		{name: "five_lost", orders: 4, lost: true, within: answered},
		{name: "five_lost_silent", orders: 4, lost: true, hidesIDs: true, within: silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newClusterOf(t, clusterConfig{stock: 1, orders: c.orders, hidesIDs: c.hidesIDs})
			if c.planned || c.lost {
				s.addGoneMembers(c.planned)
			}
			n := s.nodes[1]
			time.Sleep(reportTime)
			s.store.SetDown(true)
			s.restart([]*node{n})
			started := time.Now()
			require.True(t, s.runsUnderLoad(n, c.within), "the server gets requests again")
			t.Logf("served again after %s", time.Since(started).Round(time.Millisecond))
			s.store.SetDown(false)
		})
	}
}
