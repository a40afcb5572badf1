package forwarder_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/admitter"
	"hibiscusline/assigner"
	"hibiscusline/carrier"
	"hibiscusline/executor"
	"hibiscusline/forwarder"
	"hibiscusline/matcher"
	"hibiscusline/platform/simulator"
	"hibiscusline/registrar"
	"hibiscusline/retrier"
	"hibiscusline/timer"
)

// fixture is a forwarder with the executor and the server of its own instance.
type fixture struct {
	forwarder *forwarder.Forwarder
	executor  *executor.Executor
	permitted atomic.Bool
	requests  atomic.Int32
	// newer is the version of a configuration that others have.
	newer atomic.Uint64
}

// fixtureRetries is the retry budget of a fixture.
var fixtureRetries = retrier.Config{Share: 0.2, Burst: 10}

// newFixture returns a fixture whose server responds with a function.
func newFixture(t *testing.T, kind matcher.Kind, keyed bool, answer func(http.ResponseWriter, *http.Request)) *fixture {
	t.Helper()
	return newFixtureWithLink(t, kind, keyed, nil, log.NewNopLogger(), answer)
}

// newFixtureWithLink returns a fixture whose instance has a link and whose executor logs to a logger.
func newFixtureWithLink(
	t *testing.T, kind matcher.Kind, keyed bool, link *executor.Link, logger log.Logger,
	answer func(http.ResponseWriter, *http.Request),
) *fixture {
	t.Helper()
	f := &fixture{}
	f.permitted.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		simulator.EchoRequestID(w, r)
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	f.executor = executor.New(executor.Config{
		Backend: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Logger: logger, Link: link,
		Permits: func(time.Duration, uint16) bool { return f.permitted.Load() }, OnConnectionRefused: func(string) {},
		Policy: admitter.LeastCost,
	})
	f.executor.SetServer(executor.Server{Instance: "i-1", Service: "stock", Slots: 2})
	member := registrar.Member{
		Name: "one", Service: "stock", State: registrar.Ready, Slots: 2, Peer: netip.MustParseAddrPort("127.0.0.1:1"),
		Incarnation: assigner.Incarnation{Instance: "i-1"},
	}
	table := &assigner.Table{Service: "stock", Owners: []assigner.Owner{member.Owner()}, Slices: []assigner.Slice{{Owner: 1, Token: 1}}}
	view := &registrar.View{
		Members: map[string]registrar.Member{"one": member}, Tables: map[string]*assigner.Table{"stock": table},
		ByService: map[string][]registrar.Member{"stock": {member}},
	}
	f.forwarder = forwarder.New(forwarder.Config{
		Member: "one", Service: "stock", View: func() *registrar.View { return view }, Local: f.executor,
		Logger:             log.NewNopLogger(),
		Peers:              forwarder.NewPeers(forwarder.PeersConfig{OnChange: func(netip.AddrPort, bool, time.Duration) {}}),
		TransparentRetries: retrier.Config{Share: 1, Burst: 10}, Retries: fixtureRetries,
		Freshness: func() forwarder.Freshness {
			return forwarder.Freshness{CompleteAt: timer.Now(), Newer: f.newer.Load()}
		},
	})
	f.forwarder.SetRoutes(matcher.New(matcher.Configuration{
		Services: map[string]matcher.Service{"stock": {Name: "stock", Keyed: keyed}},
		Routes: []matcher.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: time.Second, Target: 100 * time.Millisecond, Attempts: 3,
			Split: []matcher.Share{{Service: "stock", Weight: 1}},
		}, {
			Name: "patient", Host: "h", Prefix: "/patient/", Kind: kind, Target: 100 * time.Millisecond, Attempts: 3,
			Split: []matcher.Share{{Service: "stock", Weight: 1}},
		}},
	}, 0))
	return f
}

func (f *fixture) send(id string) *carrier.Response {
	return f.forwarder.Handle(context.Background(), &carrier.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Received: timer.Now(),
		Header: simulator.CallHeader(id, 800*time.Millisecond, 7),
	})
}

// TestRanIsNotRefused guards against a 503, which promises that a request hasn't run, after a server ran it and failed.
func TestRanIsNotRefused(t *testing.T) {
	var f *fixture
	f = newFixture(t, matcher.Idempotent, true, func(w http.ResponseWriter, _ *http.Request) {
		f.permitted.Store(false)
		simulator.Sign(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	r := f.send("a")
	require.Equal(t, http.StatusInternalServerError, r.Status)
	require.EqualValues(t, 1, f.requests.Load())
}

// TestLostIsNotRefused guards against a 503 after a server received the request and its response was lost.
func TestLostIsNotRefused(t *testing.T) {
	var f *fixture
	f = newFixture(t, matcher.Idempotent, true, func(http.ResponseWriter, *http.Request) {
		f.permitted.Store(false)
		panic(http.ErrAbortHandler)
	})
	require.Equal(t, http.StatusBadGateway, f.send("a").Status)
}

// TestRunsOnce guards against retries of a non-repeatable request after its response was lost, malformed, truncated or
// an error.
func TestRunsOnce(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter, *http.Request){
		"lost":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"spoiled": func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "no signature") },
		"failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			simulator.Sign(w)
			w.Header().Set("Content-Length", "100")
			_, _ = fmt.Fprint(w, "half")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, matcher.NonIdempotent, false, answer)
			r := f.send("a")
			require.GreaterOrEqual(t, r.Status, 500)
			require.NotEqual(t, http.StatusServiceUnavailable, r.Status)
			require.EqualValues(t, 1, f.requests.Load())
		})
	}
}

// TestRefusalIsResent guards against giving up on a request that a server refused without running it.
func TestRefusalIsResent(t *testing.T) {
	var f *fixture
	f = newFixture(t, matcher.NonIdempotent, true, func(w http.ResponseWriter, _ *http.Request) {
		if f.requests.Load() == 1 {
			simulator.RespondNotExecuted(w)
			return
		}
		simulator.Sign(w)
		_, _ = fmt.Fprint(w, "done")
	})
	r := f.send("a")
	require.Equal(t, http.StatusOK, r.Status)
	require.Equal(t, "done", string(r.Body))
	require.Equal(t, "a", simulator.RequestID(r.Header))
}

// TestKeyMoves guards against a request that waits until its deadline for a moving key, and against a refusal without
// Retry-After.
func TestKeyMoves(t *testing.T) {
	f := newFixture(t, matcher.Idempotent, true, func(http.ResponseWriter, *http.Request) {})
	f.permitted.Store(false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := f.forwarder.Handle(ctx, &carrier.Request{
		Method: http.MethodGet, Target: "/patient/", Host: "h", Received: timer.Now(), Header: simulator.CallHeader("a", time.Hour, 7),
	})
	require.Equal(t, http.StatusServiceUnavailable, r.Status, "the caller's timeout is one hour")
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Zero(t, f.requests.Load())
}

// TestNoRoute guards against a request that is forwarded without a route, and against a 404 before a configuration is
// loaded.
func TestNoRoute(t *testing.T) {
	f := newFixture(t, matcher.Idempotent, false, func(http.ResponseWriter, *http.Request) {})
	q := &carrier.Request{Method: http.MethodGet, Target: "/", Host: "other", Header: http.Header{}, Received: timer.Now()}
	require.Equal(t, http.StatusNotFound, f.forwarder.Handle(context.Background(), q).Status)
	unconfigured := forwarder.New(forwarder.Config{Logger: log.NewNopLogger()})
	require.Equal(t, http.StatusServiceUnavailable, unconfigured.Handle(context.Background(), q).Status)
	require.Zero(t, f.requests.Load())
}

// TestRetryBudget guards against retries that multiply the requests to a service that fails.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, matcher.Idempotent, true, func(w http.ResponseWriter, _ *http.Request) {
		simulator.Sign(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	const requests = 200
	for i := range requests {
		require.Equal(t, http.StatusInternalServerError, f.send(strconv.Itoa(i)).Status)
	}
	require.LessOrEqual(t, f.requests.Load(), int32(requests*(1+fixtureRetries.Share)+fixtureRetries.Burst))
	require.Greater(t, f.requests.Load(), int32(requests), "some are sent again")
}

// TestNoRouteYet guards against a 404, after which callers give up, while a newer configuration may have the route, and against
// a request that isn't held for one that is on its way.
func TestNoRouteYet(t *testing.T) {
	const maxAge = 2 * time.Second
	now := timer.Now()
	for name, c := range map[string]struct {
		fresh  forwarder.Freshness
		status int
	}{
		"current":                 {forwarder.Freshness{CompleteAt: now}, http.StatusNotFound},
		"confirmed ago":           {forwarder.Freshness{CompleteAt: now - maxAge/2}, http.StatusNotFound},
		"too long ago":            {forwarder.Freshness{CompleteAt: now - 2*maxAge}, http.StatusServiceUnavailable},
		"unconfirmed":             {forwarder.Freshness{}, http.StatusServiceUnavailable},
		"others have a newer one": {forwarder.Freshness{CompleteAt: now, Newer: 9}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := forwarder.New(forwarder.Config{
				Logger: log.NewNopLogger(), MaxAge: maxAge, Freshness: func() forwarder.Freshness { return c.fresh },
			})
			f.SetRoutes(matcher.New(matcher.Configuration{Version: 7}, 0))
			q := &carrier.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Received: now}
			r := f.Handle(context.Background(), q)
			require.Equal(t, c.status, r.Status)
			require.Equal(t, c.status != http.StatusNotFound, r.Header.Get("Retry-After") != "")
			require.Equal(t, c.status == http.StatusNotFound, f.Current(now))
		})
	}
}

// TestNewRouteIsAwaited guards against a refusal while the configuration with the route arrives.
func TestNewRouteIsAwaited(t *testing.T) {
	f := newFixture(t, matcher.Idempotent, true, func(w http.ResponseWriter, _ *http.Request) { simulator.Sign(w) })
	table := f.forwarder.Routes()
	f.forwarder.SetRoutes(matcher.New(matcher.Configuration{Version: 1}, 0))
	f.newer.Store(2)
	time.AfterFunc(60*time.Millisecond, func() {
		table.Version = 2
		f.forwarder.SetRoutes(table)
	})
	require.Equal(t, http.StatusOK, f.send("a").Status)
}

// TestBusyLinkIsRemembered guards against repeated requests to a member whose link is saturated, since each refusal
// takes more of that link, and against callers that are called back before the link has room.
func TestBusyLinkIsRemembered(t *testing.T) {
	const size = 90_000
	var lines strings.Builder
	link := executor.NewLink(12e6 / 8)
	f := newFixtureWithLink(t, matcher.Download, false, link, log.NewLogfmtLogger(log.NewSyncWriter(&lines)),
		func(w http.ResponseWriter, _ *http.Request) {
			simulator.Sign(w)
			_, _ = w.Write(make([]byte, size))
		})
	require.Equal(t, http.StatusOK, f.send("a").Status)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 400 {
		go link.Acquire(ctx, size)
	}
	require.Eventually(t, func() bool { return link.Backlog() > 10*time.Second }, 10*time.Second, time.Millisecond)
	for range 20 {
		r := f.send("b")
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 1.0, "the link is busy for over ten seconds")
	}
	require.EqualValues(t, 1, f.requests.Load(), "none of them ran")
	require.Less(t, strings.Count(lines.String(), "event=job"), 20, "most requests are refused without a new attempt")
}

// TestSentAfterCallerLeft guards against requests that the entry sends to a member, or sends again, although their caller
// has left, and against a member that is taken for unreachable because of that (GONE).
func TestSentAfterCallerLeft(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		r := executor.EncodeResult(executor.Result{Outcome: executor.NotRun, Reason: executor.Overloaded})
		for name, values := range r.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(r.Status)
	}))
	t.Cleanup(server.Close)
	peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f := newFixture(t, matcher.Idempotent, false, func(http.ResponseWriter, *http.Request) {})
	peers := forwarder.NewPeers(forwarder.PeersConfig{
		Probe:    func(context.Context, netip.AddrPort) error { return nil },
		OnChange: func(netip.AddrPort, bool, time.Duration) { t.Error("the member is reachable") },
	})
	remote := registrar.Member{
		Name: "two", Service: "stock", State: registrar.Ready, Slots: 2, Peer: peer, Incarnation: assigner.Incarnation{Instance: "i-2"},
	}
	view := &registrar.View{
		Members: map[string]registrar.Member{"two": remote}, ByService: map[string][]registrar.Member{"stock": {remote}},
	}
	entry := forwarder.New(forwarder.Config{
		Member: "one", Service: "stock", View: func() *registrar.View { return view }, Local: f.executor, Peers: peers,
		Logger: log.NewNopLogger(), TransparentRetries: retrier.Config{Share: 1, Burst: 10}, Retries: retrier.Config{Share: 1, Burst: 10},
	})
	entry.SetRoutes(f.forwarder.Routes())
	send := func(ctx context.Context) *carrier.Response {
		return entry.Handle(ctx, &carrier.Request{
			Method: http.MethodGet, Target: "/x", Host: "h", Received: timer.Now(),
			Header: simulator.CallHeader("a", 800*time.Millisecond, simulator.NoKey),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	const callers = 20
	for range callers {
		require.Equal(t, http.StatusServiceUnavailable, send(context.Background()).Status, "leaves an idle connection")
		send(ctx)
	}
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, callers, requests.Load())
	require.Zero(t, peers.DownFor(peer))
}

// TestExpected guards against a figure in a server's load that doesn't reach the choice of a member or reaches callers, and
// against an estimate where servers send three figures.
func TestExpected(t *testing.T) {
	const work = 20 * time.Millisecond
	for load, estimated := range map[string]bool{"1, 0, 2, 100": true, "1, 0, 2": false} {
		f := newFixture(t, matcher.Idempotent, false, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			maps.Copy(w.Header(), simulator.LoadHeader(load))
			simulator.Sign(w)
		})
		for range 3 {
			r := f.send("a")
			require.Equal(t, http.StatusOK, r.Status)
			require.False(t, simulator.HasLoad(r.Header))
		}
		expected := f.forwarder.Expected()["stock"]
		if !estimated {
			require.Empty(t, expected)
			continue
		}
		require.GreaterOrEqual(t, expected["one"], work)
	}
}
