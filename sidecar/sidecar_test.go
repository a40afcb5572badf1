package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/platform/simulator"
	"hibiscusline/sidecar"
)

// testHeartbeat is the heartbeat interval in tests.
const testHeartbeat = 150 * time.Millisecond

// cluster is a small system in one process: a store, backend servers and their sidecars.
type cluster struct {
	t            *testing.T
	store        *simulator.Store
	storeAddress netip.AddrPort
	judge        *simulator.Checker
	nodes        []*node
	caller       simulator.Caller
	logs         syncBuffer
	// proxyStore, if it isn't nil, returns the address at which a node reaches the store.
	proxyStore func(*node) netip.AddrPort
}

// node is one instance: a backend server and its sidecar.
type node struct {
	settings    loader.SidecarSettings
	server      *simulator.Server
	config      simulator.ServerConfig
	stopServer  context.CancelFunc
	stopSidecar context.CancelFunc
	ended       chan struct{}
}

type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// forEachGrantForm runs a test with each form in which keys are granted.
func forEachGrantForm(t *testing.T, test func(*testing.T, loader.GrantForm)) {
	for _, form := range []loader.GrantForm{loader.GrantsByHeartbeat, loader.GrantsByRequest} {
		t.Run(string(form), func(t *testing.T) { test(t, form) })
	}
}

// newCluster starts stock servers, whose service is keyed, and order servers, whose service isn't.
func newCluster(t *testing.T, stock, orders int) *cluster {
	t.Helper()
	return newClusterWith(t, loader.GrantsByHeartbeat, 0, stock, orders)
}

// newClusterWith starts servers to which keys are granted in a form. lateShare is the share of the grants by request that
// get no answer and are applied later.
func newClusterWith(t *testing.T, form loader.GrantForm, lateShare float64, stock, orders int) *cluster {
	t.Helper()
	return newClusterOf(t, clusterConfig{form: form, lateShare: lateShare, stock: stock, orders: orders})
}

// clusterConfig configures a cluster.
type clusterConfig struct {
	form loader.GrantForm
	// lateShare is the share of the grants by request that get no answer and are applied later.
	lateShare     float64
	stock, orders int
	// zones is the number of availability zones, to which the nodes belong in turn. Zero means one.
	zones int
	// hidesIDs means that the servers' responses to health checks don't state their ids.
	hidesIDs bool
	// adjust, if it isn't nil, changes the cluster before its sidecars get their settings.
	adjust func(*cluster)
}

func newClusterOf(t *testing.T, c clusterConfig) *cluster {
	t.Helper()
	s := &cluster{
		t: t, store: &simulator.Store{}, judge: simulator.NewChecker(),
		caller: simulator.Caller{Host: "h", Timeout: time.Second},
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	if c.adjust != nil {
		c.adjust(s)
	}
	s.publish(1, "")
	for i := range c.stock + c.orders {
		service := "stock"
		if i >= c.stock {
			service = "orders"
		}
		n := s.newNode(i, service)
		n.settings.Grants = c.form
		n.settings.Zone = fmt.Sprintf("zone-%c", 'a'+i%max(c.zones, 1))
		n.config.Zone = n.settings.Zone
		n.config.HidesID = c.hidesIDs
		if s.proxyStore != nil {
			n.settings.Store = s.proxyStore(n)
		}
		n.config.GrantsByRequest, n.config.LateGrantShare = c.form == loader.GrantsByRequest, c.lateShare
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.startServer(n)
		s.startSidecar(n)
	}
	t.Cleanup(s.stop)
	s.await("all keys are served", func() bool { return s.allKeysServed(0) })
	return s
}

// publish writes a configuration to the store. An extra path prefix, if any, routes to the orders service.
func (s *cluster) publish(version int, extra string) {
	routes := []simulator.Route{
		{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"},
		{Name: "orders", Prefix: "/orders/", Kind: "non_idempotent", Service: "orders"},
	}
	if extra != "" {
		routes = append(routes, simulator.Route{Name: "extra", Prefix: extra, Kind: "idempotent", Service: "orders"})
	}
	require.NoError(s.t, s.store.Publish(version, "h", routes, map[string]bool{"stock": true, "orders": false}))
}

// address returns a free loopback address.
func (s *cluster) address() netip.AddrPort {
	a, err := launcher.FreeAddress()
	require.NoError(s.t, err)
	return a
}

func (s *cluster) newNode(i int, service string) *node {
	settings := loader.DefaultSidecarSettings()
	settings.Name, settings.Zone, settings.Service = fmt.Sprintf("node-%d", i), "zone-a", service
	settings.Backend, settings.Listen, settings.Peer = s.address(), s.address(), s.address()
	settings.Ready, settings.Local, settings.Metrics = s.address(), s.address(), s.address()
	settings.Store, settings.Heartbeat = s.storeAddress, testHeartbeat
	settings.Bounds.MaxHold = 5 * time.Second
	return &node{settings: settings, config: simulator.ServerConfig{
		ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "zone-a", Address: settings.Backend, Local: settings.Local,
		HeartbeatInterval: testHeartbeat, ServiceTime: 5 * time.Millisecond, Keyed: service == "stock", Checker: s.judge,
	}}
}

func (s *cluster) startServer(n *node) {
	n.config.BornMillis = time.Now().UnixMilli()
	n.server = simulator.NewServer(n.config)
	ctx, cancel := context.WithCancel(context.Background())
	server := n.server
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx) // Run returns when ctx ends.
	}()
	n.stopServer = func() { cancel(); <-ended }
}

func (s *cluster) startSidecar(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.ended = make(chan struct{})
	ended := n.ended
	go func() {
		defer close(ended)
		if err := sidecar.New(sidecar.Config{Settings: n.settings, Output: &s.logs}).Run(ctx); err != nil {
			fmt.Fprintln(&s.logs, "sidecar exited:", err)
		}
	}()
	n.stopSidecar = func() { cancel(); <-ended }
}

func (s *cluster) stop() {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.stopSidecar)
	}
	group.Wait()
	for _, n := range s.nodes {
		n.stopServer()
	}
	problems := s.judge.Problems()
	if s.t.Failed() || len(problems) > 0 {
		s.t.Log(s.logs.String())
	}
	require.Empty(s.t, problems)
}

// await waits until a condition holds and fails the test after 30 seconds.
func (s *cluster) await(what string, holds func() bool) {
	s.t.Helper()
	require.Eventually(s.t, holds, 30*time.Second, 20*time.Millisecond, what)
}

// send sends a request to the caller port of a node.
func (s *cluster) send(entry *node, method, path string, key int) simulator.Response {
	return s.caller.Send(entry.settings.Listen, method, path, key)
}

// keyStep is the step between the keys that allKeysServed probes. It is small enough that every owner is probed.
const keyStep = 1500

// allKeysServed reports whether requests for the probed keys succeed when sent to a node.
func (s *cluster) allKeysServed(entry int) bool {
	for key := 0; key < 1<<16; key += keyStep {
		if s.send(s.nodes[entry], http.MethodGet, "/stock/x", key).Status != http.StatusOK {
			return false
		}
	}
	return true
}

// TestServes guards against responses that belong to another request or server, wrong statuses, and sidecars that don't
// discover one another.
func TestServes(t *testing.T) { forEachGrantForm(t, testServes) }

func testServes(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 2)
	for i := range s.nodes {
		s.await("every sidecar serves all keys", func() bool { return s.allKeysServed(i) })
		a := s.send(s.nodes[i], http.MethodPost, "/orders/1", simulator.NoKey)
		require.Equal(t, http.StatusOK, a.Status)
		require.Contains(t, a.Body, a.ID)
		require.Len(t, s.judge.Runs(a.ID), 1)
		require.Equal(t, http.StatusNotFound, s.send(s.nodes[i], http.MethodGet, "/none/", simulator.NoKey).Status)
		require.True(t, s.caller.Ready(s.nodes[i].settings.Ready))
	}
}

// TestConfigurationReachesAll guards against sidecars that miss a new configuration or go back to an older one.
func TestConfigurationReachesAll(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 1)
	s.publish(7, "/new/")
	for _, n := range s.nodes {
		s.await("the new route is served", func() bool { return s.send(n, http.MethodGet, "/new/x", simulator.NoKey).Status == http.StatusOK })
	}
	s.publish(5, "")
	time.Sleep(4 * testHeartbeat)
	require.Equal(t, http.StatusOK, s.send(s.nodes[0], http.MethodGet, "/new/x", simulator.NoKey).Status,
		"a sidecar never goes back to an older configuration")
}

// TestServerEnds guards against keys that stay assigned to a crashed server, and against two holders of a key.
func TestServerEnds(t *testing.T) { forEachGrantForm(t, testServerEnds) }

func testServerEnds(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 3, 0)
	s.nodes[1].stopServer()
	s.await("the keys have moved", func() bool { return s.allKeysServed(0) })
	s.startServer(s.nodes[1])
	s.await("the restarted server gets keys again", func() bool { return s.allKeysServed(1) })
}

// TestSidecarRestarts guards against a sidecar restart that takes the keys from its server.
func TestSidecarRestarts(t *testing.T) { forEachGrantForm(t, testSidecarRestarts) }

func testSidecarRestarts(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 0)
	s.nodes[0].stopSidecar()
	s.startSidecar(s.nodes[0])
	s.await("the restarted sidecar serves all keys", func() bool { return s.allKeysServed(0) })
	require.Contains(t, s.logs.String(), "event=server_resumed")
	require.NotContains(t, s.logs.String(), "event=server_ended")
}

// TestStoreOutage guards against owners that stop serving during a store outage shorter than a lease, and against a
// sidecar that restarts during the outage and doesn't discover the others.
func TestStoreOutage(t *testing.T) { forEachGrantForm(t, testStoreOutage) }

func testStoreOutage(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 1)
	s.store.SetDown(true)
	time.Sleep(time.Second)
	require.True(t, s.allKeysServed(0), "live owners keep serving")
	s.nodes[2].stopSidecar()
	s.startSidecar(s.nodes[2])
	s.await("the restarted sidecar learns from the others", func() bool {
		return s.send(s.nodes[2], http.MethodPost, "/orders/1", simulator.NoKey).Status == http.StatusOK
	})
	s.store.SetDown(false)
	s.await("all keys are served", func() bool { return s.allKeysServed(2) })
}

// TestStoreLosesResponses guards against records that are written twice or not at all when the response to a successful
// append is lost.
func TestStoreLosesResponses(t *testing.T) { forEachGrantForm(t, testStoreLosesResponses) }

func testStoreLosesResponses(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 3, 0)
	s.store.SetDropResponses(true)
	s.nodes[2].stopServer()
	time.Sleep(time.Second)
	s.store.SetDropResponses(false)
	s.await("the keys have moved", func() bool { return s.allKeysServed(0) })
}

// TestHistoryDropped guards against a sidecar that stops following the records when the store deletes older ones.
func TestHistoryDropped(t *testing.T) { forEachGrantForm(t, testHistoryDropped) }

func testHistoryDropped(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 0)
	s.store.Compact()
	s.nodes[1].stopServer()
	s.await("the keys have moved", func() bool { return s.allKeysServed(0) })
}

// TestDrain guards against requests that reach a server after its drain was acknowledged and the drain time has passed,
// and against keys that aren't served while they move.
func TestDrain(t *testing.T) { forEachGrantForm(t, testDrain) }

func testDrain(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 3, 2)
	s.nodes[0].server.Drain()
	s.nodes[3].server.Drain()
	s.await("both drains are acknowledged", func() bool {
		return strings.Count(s.logs.String(), "state=draining") == 2
	})
	time.Sleep(s.nodes[0].settings.Bounds.Drain)
	for range 40 {
		a := s.send(s.nodes[3], http.MethodPost, "/orders/1", simulator.NoKey)
		require.Equal(t, []string{"i-4"}, s.judge.Runs(a.ID))
	}
	s.await("all keys have moved", func() bool { return s.allKeysServed(1) })
	for key := 0; key < 1<<16; key += keyStep {
		a := s.send(s.nodes[1], http.MethodGet, "/stock/x", key)
		require.NotContains(t, s.judge.Runs(a.ID), "i-0")
	}
}

// TestNotRun guards against a request that ran and is reported as not run, and against a request that ran twice, while
// servers and sidecars restart.
func TestNotRun(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 3)
	done := make(chan struct{})
	var replies []simulator.Response
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				replies = append(replies, s.send(s.nodes[0], http.MethodPost, "/orders/1", simulator.NoKey))
			}
		}
	})
	for range 3 {
		s.nodes[1].stopServer()
		time.Sleep(300 * time.Millisecond)
		s.startServer(s.nodes[1])
		s.nodes[2].stopSidecar()
		s.startSidecar(s.nodes[2])
	}
	close(done)
	group.Wait()
	served := 0
	for _, a := range replies {
		runs := len(s.judge.Runs(a.ID))
		require.LessOrEqual(t, runs, 1)
		if a.Status == http.StatusServiceUnavailable {
			require.Zero(t, runs, "a refused request ran")
		}
		if a.Status == http.StatusOK {
			require.Equal(t, 1, runs)
			require.Contains(t, a.Body, a.ID)
			served++
		}
	}
	require.Positive(t, served)
}

// TestDump guards against a state dump that operators can't read.
func TestDump(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 0)
	r, err := http.Get(fmt.Sprintf("http://%s/dump", s.nodes[0].settings.Metrics))
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	var dump map[string]any
	require.NoError(t, json.NewDecoder(r.Body).Decode(&dump))
	require.Equal(t, "node-0", dump["name"])
	require.Equal(t, "ready", dump["server_state"])
	m, err := http.Get(fmt.Sprintf("http://%s/metrics", s.nodes[0].settings.Metrics))
	require.NoError(t, err)
	defer func() { _ = m.Body.Close() }()
	text, err := io.ReadAll(m.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), "hibiscus_requests_total")
}

// TestSettingsChange guards against a settings change that interrupts requests, and against invalid settings that are
// applied.
func TestSettingsChange(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 0)
	n := s.nodes[0]
	n.stopSidecar()
	signals := make(chan os.Signal)
	var mu sync.Mutex
	next, failure := n.settings, error(nil)
	ctx, cancel := context.WithCancel(context.Background())
	n.ended = make(chan struct{})
	go func() {
		defer close(n.ended)
		_ = sidecar.New(sidecar.Config{Settings: n.settings, Output: &s.logs, Signals: signals, Reload: func() (loader.SidecarSettings, error) {
			mu.Lock()
			defer mu.Unlock()
			return next, failure
		}}).Run(ctx)
	}()
	n.stopSidecar = func() { cancel(); <-n.ended }
	s.await("all keys are served", func() bool { return s.allKeysServed(0) })
	mu.Lock()
	failure = errors.New("line 3: broken")
	mu.Unlock()
	signals <- syscall.SIGHUP
	s.await("the error of the invalid settings is logged", func() bool { return strings.Contains(s.logs.String(), "line 3: broken") })
	mu.Lock()
	next.Bounds.Drain, failure = time.Second, nil
	mu.Unlock()
	signals <- syscall.SIGHUP
	s.await("the changed settings are applied", func() bool { return strings.Contains(s.logs.String(), "event=settings heartbeat=150ms drain=1s") })
	require.True(t, s.allKeysServed(0))
	mu.Lock()
	next.Bounds.Configuration = 5 * time.Second
	mu.Unlock()
	signals <- syscall.SIGHUP
	s.await("a change that needs a restart is logged as such", func() bool { return strings.Contains(s.logs.String(), "needs_restart=true") })
}

// TestInstanceLost guards against keys that stay assigned to an instance that was lost permanently, and against a
// sidecar that starts later, never reached that instance, and assigns keys to it again because of its stored record.
func TestInstanceLost(t *testing.T) { forEachGrantForm(t, testInstanceLost) }

func testInstanceLost(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 3, 0)
	lost := s.nodes[2]
	lost.server.StopHeartbeats()
	s.store.SetDown(true) // The sidecar can't publish that it stops.
	lost.stopSidecar()
	s.store.SetDown(false)
	lost.stopServer()
	s.await("the others serve all keys", func() bool { return s.allKeysServed(0) })
	s.nodes[0].stopSidecar()
	s.startSidecar(s.nodes[0])
	s.await("the restarted sidecar serves all keys", func() bool { return s.allKeysServed(0) })
	time.Sleep(10 * testHeartbeat)
	require.True(t, s.allKeysServed(0), "no keys return to the lost instance")
}
