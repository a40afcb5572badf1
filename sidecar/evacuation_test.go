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

// evacuationBound is the default bound of evacuations.
const evacuationBound = 5 * time.Second

// newZones starts one stock server and one order server in each of three zones.
func newZones(t *testing.T, form loader.GrantForm) *cluster {
	t.Helper()
	s := newClusterOf(t, clusterConfig{form: form, stock: 3, orders: 3, zones: 3})
	for i := range s.nodes {
		s.await("every sidecar serves all keys", func() bool { return s.allKeysServed(i) && s.order(i).Status == http.StatusOK })
	}
	return s
}

func (s *cluster) order(entry int) simulator.Response {
	return s.send(s.nodes[entry], http.MethodPost, "/orders/1", simulator.NoKey)
}

// zoneOf returns the zone of the server that ran a request last, or an empty string.
func (s *cluster) zoneOf(a simulator.Response) string {
	runs := s.judge.Runs(a.ID)
	for _, n := range s.nodes {
		if len(runs) > 0 && n.config.ID == runs[len(runs)-1] {
			return n.settings.Zone
		}
	}
	return ""
}

// traffic sends requests to all nodes until stop is called, which returns the responses in the order of their requests.
func (s *cluster) traffic() (stop func() []timedResponse) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var list []timedResponse
	end := make(chan struct{})
	for i := range s.nodes {
		group.Go(func() {
			for key := i; ; key = (key + 7919) % (1 << 16) {
				select {
				case <-end:
					return
				case <-time.After(4 * time.Millisecond):
				}
				r := timedResponse{at: time.Now(), keyed: key%2 == 1}
				if r.Response = s.order(i); r.keyed {
					r.Response = s.send(s.nodes[i], http.MethodGet, "/stock/x", key)
				}
				mu.Lock()
				list = append(list, r)
				mu.Unlock()
			}
		})
	}
	return func() []timedResponse {
		close(end)
		group.Wait()
		return list
	}
}

type timedResponse struct {
	simulator.Response
	at    time.Time
	keyed bool
}

// maxMovingShare is the share of the requests that may be refused because their keys move, which callers repeat: by an entry that
// finds no owner, or by the next server, if they arrive before its grants.
const maxMovingShare = 0.05

// requireOutside fails the test if a request that was sent after a time ran in one of the zones.
func (s *cluster) requireOutside(list []timedResponse, after time.Time, zones ...string) {
	s.t.Helper()
	inForce := 0
	for _, r := range list {
		if r.at.After(after) {
			inForce++
			require.NotContains(s.t, zones, s.zoneOf(r.Response), "a request reached an evacuated zone")
		}
	}
	require.NotZero(s.t, inForce)
}

// requireServed fails the test if a request failed, apart from some whose keys moved.
func (s *cluster) requireServed(list []timedResponse) {
	s.t.Helper()
	moving := 0
	for _, r := range list {
		refusedKey := strings.Contains(r.Body, "not_owner") || r.keyed && strings.Contains(r.Body, "server_refused")
		if r.Status == http.StatusServiceUnavailable && refusedKey {
			moving++
			continue
		}
		require.Equal(s.t, http.StatusOK, r.Status, r.Body)
	}
	require.Less(s.t, float64(moving), maxMovingShare*float64(len(list)))
}

// requireReturned waits until servers of a zone run requests with and without a key again.
func (s *cluster) requireReturned(zone string) {
	s.t.Helper()
	entry := slices.IndexFunc(s.nodes, func(n *node) bool { return n.settings.Zone == zone })
	s.await("orders are run in the zone", func() bool { return s.zoneOf(s.order(entry)) == zone })
	key := 0
	s.await("keys are served in the zone", func() bool {
		key = (key + keyStep) % (1 << 16)
		return s.zoneOf(s.send(s.nodes[entry], http.MethodGet, "/stock/x", key)) == zone
	})
}

// TestEvacuation guards against requests that reach an evacuated zone, callers there that aren't served, keys that are refused
// instead of moved, and servers that get nothing after an evacuation was taken back. Two zones are evacuated one after the other.
func TestEvacuation(t *testing.T) { forEachGrantForm(t, testEvacuation) }

func testEvacuation(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newZones(t, form)
	stop := s.traffic()
	s.store.Evacuate("zone-a")
	time.Sleep(time.Second)
	s.store.Evacuate("zone-b")
	inForce := time.Now().Add(evacuationBound)
	time.Sleep(evacuationBound + time.Second)
	list := stop()
	s.requireOutside(list, inForce, "zone-a", "zone-b")
	s.requireServed(list)
	for _, n := range s.nodes {
		require.True(t, s.caller.Ready(n.settings.Ready))
	}
	s.store.Restore("zone-a")
	s.requireReturned("zone-a")
	stop = s.traffic()
	time.Sleep(time.Second)
	list = stop()
	s.requireOutside(list, inForce, "zone-b")
	s.requireServed(list)
	require.Contains(t, s.logs.String(), "event=evacuation_in_force")
}

// TestEvacuationIsLearned guards against processes that don't learn of an evacuation, because they rely on others for the store,
// the store refuses them or they were started later, and against one that forgets it in an outage of the store.
func TestEvacuationIsLearned(t *testing.T) {
	t.Parallel()
	s := newClusterOf(t, clusterConfig{form: loader.GrantsByHeartbeat, stock: 3, orders: 6, zones: 3})
	refused, restarted := s.nodes[3], s.nodes[6]
	refused.stopSidecar()
	refused.settings.Store = s.address()
	s.startSidecar(refused)
	s.await("the refused sidecar serves", func() bool { return s.order(3).Status == http.StatusOK })
	s.store.Evacuate("zone-a")
	inForce := time.Now().Add(evacuationBound)
	s.await("all sidecars know", func() bool { return strings.Count(s.logs.String(), "event=evacuation_known") == len(s.nodes) })
	require.Less(t, time.Until(inForce), evacuationBound)
	require.Greater(t, time.Until(inForce), evacuationBound-2*time.Second, "it is known too late")
	time.Sleep(time.Until(inForce))
	s.store.SetDown(true)
	restarted.stopSidecar()
	s.startSidecar(restarted)
	stop := s.traffic()
	time.Sleep(time.Second)
	s.store.SetDown(false)
	time.Sleep(3 * time.Second)
	s.requireOutside(stop(), inForce, "zone-a")
	s.await("the restarted sidecar serves", func() bool { return s.order(6).Status == http.StatusOK })
	s.store.Restore("zone-a")
	s.requireReturned("zone-a")
}

// TestEvacuationAmidChanges guards against an evacuation that isn't kept, and keys that are lost, while the servers of the zone are
// replaced, a process of another zone stops as planned and many requests come.
func TestEvacuationAmidChanges(t *testing.T) {
	t.Parallel()
	s := newZones(t, loader.GrantsByHeartbeat)
	stop, burst := s.traffic(), s.traffic()
	s.store.Evacuate("zone-a")
	inForce := time.Now().Add(evacuationBound)
	for _, n := range []*node{s.nodes[0], s.nodes[3]} {
		n.server.Drain()
		time.Sleep(time.Second)
		n.stopServer()
		n.config.ID += "-next"
		s.startServer(n)
	}
	s.nodes[5].stopSidecar()
	time.Sleep(time.Until(inForce) + time.Second)
	s.startSidecar(s.nodes[5])
	for _, list := range [][]timedResponse{stop(), burst()} {
		s.requireOutside(list, inForce, "zone-a")
	}
	s.await("all keys are served", func() bool { return s.allKeysServed(0) })
	s.store.Restore("zone-a")
	s.requireReturned("zone-a")
}

// TestQuickEvacuations guards against a zone that stays evacuated, or isn't, after evacuations that were taken back at once.
func TestQuickEvacuations(t *testing.T) {
	t.Parallel()
	s := newZones(t, loader.GrantsByHeartbeat)
	for range 5 {
		s.store.Evacuate("zone-a")
		s.store.Restore("zone-a")
		s.store.Evacuate("zone-b")
		time.Sleep(20 * time.Millisecond)
		s.store.Restore("zone-b")
	}
	s.store.Evacuate("zone-b")
	inForce := time.Now().Add(evacuationBound)
	s.requireReturned("zone-a")
	time.Sleep(time.Until(inForce))
	stop := s.traffic()
	time.Sleep(time.Second)
	list := stop()
	s.requireOutside(list, inForce, "zone-b")
	s.requireServed(list)
	s.requireReturned("zone-a")
}

// TestAllZonesEvacuated guards against requests that wait or fail in another way when no server may get them, and against a zone
// that isn't evacuated because it is the last.
func TestAllZonesEvacuated(t *testing.T) {
	t.Parallel()
	s := newZones(t, loader.GrantsByHeartbeat)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s.store.Evacuate(zone)
	}
	time.Sleep(evacuationBound)
	for i, n := range s.nodes {
		for _, send := range []func() simulator.Response{
			func() simulator.Response { return s.order(i) },
			func() simulator.Response { return s.send(n, http.MethodGet, "/stock/x", 1) },
		} {
			start := time.Now()
			a := send()
			require.Equal(t, http.StatusServiceUnavailable, a.Status)
			require.NotEmpty(t, a.RetryAfter)
			require.Contains(t, a.Body, "evacuated")
			require.Empty(t, s.judge.Runs(a.ID))
			require.Less(t, time.Since(start), 250*time.Millisecond)
		}
		require.True(t, s.caller.Ready(n.settings.Ready))
	}
	s.store.Restore("zone-c")
	s.await("all keys are served", func() bool { return s.allKeysServed(0) })
	s.requireReturned("zone-c")
}
