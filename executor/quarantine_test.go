package executor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/executor"
	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// crashingServer is a server that crashes when it runs a request, with the executor of its instance.
type crashingServer struct {
	executor *executor.Executor
	server   *httptest.Server
	crashes  int
}

func newCrashingServer(t *testing.T, quarantine *quarantiner.Tracker) *crashingServer {
	t.Helper()
	s := &crashingServer{}
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		_ = s.server.Config.Close() // All connections are closed, whatever it returns.
	}))
	s.server.Start()
	t.Cleanup(s.server.Close)
	s.executor = executor.New(executor.Config{
		Backend: netip.MustParseAddrPort(strings.TrimPrefix(s.server.URL, "http://")), Logger: log.NewNopLogger(),
		Permits: func(time.Duration, uint16) bool { return true }, OnConnectionRefused: func(string) {},
		Quarantine: quarantine, OnCrash: func(applier.Suspect) { s.crashes++ },
	})
	s.executor.SetServer(executor.Server{Instance: "i-1", Service: "stock", Slots: 4})
	return s
}

// TestPoisonRequestIsRefused guards against a request that crashes one server after another, with another id each time.
func TestPoisonRequestIsRefused(t *testing.T) {
	quarantine := quarantiner.NewTracker(quarantiner.Config{CrashesBeforeAlone: 2})
	for _, id := range []string{"a", "b", "c"} {
		s := newCrashingServer(t, quarantine)
		r := s.executor.Run(context.Background(), newJob(id, time.Second))
		require.Equal(t, executor.Unknown, r.Outcome)
		require.NotEmpty(t, r.Crashes)
		require.Equal(t, 1, s.crashes)
	}
	s := newCrashingServer(t, quarantine)
	r := s.executor.Run(context.Background(), newJob("d", time.Second))
	require.Equal(t, executor.Poison, r.Reason)
	require.Equal(t, executor.NotRun, r.Outcome)
	require.Positive(t, r.RetryAfter)
	require.Zero(t, s.crashes)
	other := newJob("e", time.Second)
	other.Request.Target = "/other"
	require.Equal(t, executor.Unknown, s.executor.Run(context.Background(), other).Outcome, "other requests run")
}

// TestListenerClosesLast guards against a crash that isn't noticed because the server closes its connections before its listener.
func TestListenerClosesLast(t *testing.T) {
	s := newCrashingServer(t, nil)
	s.server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.AfterFunc(10*time.Millisecond, func() { _ = s.server.Config.Close() })
		panic(http.ErrAbortHandler)
	})
	require.NotEmpty(t, s.executor.Run(context.Background(), newJob("a", time.Second)).Crashes)
}

// TestEndsThatAreNoCrashes guards against a suspicion against the requests of a server that resets connections, or that ends
// after it has announced that it leaves.
func TestEndsThatAreNoCrashes(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		g := newExecutor(t, 4, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		for range 3 {
			r := g.Run(context.Background(), newJob("a", time.Second))
			require.Equal(t, executor.ConnectionLost, r.Reason)
			require.Empty(t, r.Crashes)
		}
	})
	t.Run("draining", func(t *testing.T) {
		s := newCrashingServer(t, nil)
		s.executor.SetServer(executor.Server{
			Instance: "i-1", Service: "stock", Slots: 4, RefuseFrom: timer.Now() + time.Minute, RefuseKeyedFrom: timer.Now() + time.Minute,
		})
		r := s.executor.Run(context.Background(), newJob("a", time.Second))
		require.Equal(t, executor.ConnectionLost, r.Reason)
		require.Empty(t, r.Crashes)
		require.Zero(t, s.crashes)
	})
}

// TestCrashesCrossHops guards against crashes that another process isn't told of with a request or its result.
func TestCrashesCrossHops(t *testing.T) {
	crashes := []applier.InFlightCrash{{Crash: 1 << 63}, {Crash: 7, Alone: true}}
	j := newJob("a", time.Second)
	j.Crashes = crashes
	decoded, err := executor.DecodeJob(executor.EncodeJob(j))
	require.NoError(t, err)
	require.Equal(t, crashes, decoded.Crashes)
	require.Equal(t, j.Fingerprint(), decoded.Fingerprint())
	r, err := executor.DecodeResult(executor.EncodeResult(executor.Result{Outcome: executor.Unknown, Crashes: crashes}))
	require.NoError(t, err)
	require.Equal(t, crashes, r.Crashes)
	q := executor.EncodeJob(newJob("b", time.Second))
	q.Header["Hibiscus-Crashes"] = []string{"zz !5 ! " + strings.Repeat("1 ", 100)}
	odd, err := executor.DecodeJob(q)
	require.NoError(t, err)
	require.Len(t, odd.Crashes, 8)
	require.Equal(t, applier.InFlightCrash{Crash: 5, Alone: true}, odd.Crashes[0])
}

// TestFingerprint guards against a request that isn't recognized when it comes again, and against requests that are taken for
// one.
func TestFingerprint(t *testing.T) {
	first := newJob("a", time.Second)
	again := newJob("b", 3*time.Second)
	platform.SetCallerService(again.Request.Header, "other")
	require.Equal(t, first.Fingerprint(), again.Fingerprint())
	body, target, key := newJob("c", time.Second), newJob("d", time.Second), newJob("e", time.Second)
	body.Request.Body = []byte("x")
	target.Request.Target = "/x"
	key.Request.Header = simulator.CallHeader("e", time.Second, 6)
	for _, j := range []*executor.Job{body, target, key} {
		require.NotEqual(t, first.Fingerprint(), j.Fingerprint())
	}
}
