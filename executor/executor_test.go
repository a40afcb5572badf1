package executor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
	"hibiscusline/executor"
	"hibiscusline/limiter"
	"hibiscusline/platform/simulator"
	"hibiscusline/timer"
)

func newExecutor(t *testing.T, slots int, handler http.HandlerFunc) *executor.Executor {
	t.Helper()
	return newExecutorWithLink(t, slots, nil, handler)
}

func newExecutorWithLink(
	t *testing.T, slots int, link *executor.Link, handler http.HandlerFunc,
) *executor.Executor {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	g := executor.New(executor.Config{
		Backend: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Logger: log.NewNopLogger(),
		Permits: func(time.Duration, uint16) bool { return true }, OnConnectionRefused: func(string) {}, Link: link,
		Pace: limiter.Config{Share: 1.5, Slack: 8},
	})
	g.SetServer(executor.Server{Instance: "i-1", Service: "stock", Slots: slots})
	return g
}

func newJob(id string, timeout time.Duration) *executor.Job {
	return &executor.Job{
		ID: id, Rank: "r", LatencyTarget: time.Second, Deadline: timer.Now() + timeout, Service: "stock",
		Request: &carrier.Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: simulator.CallHeader(id, timeout, 5),
		},
	}
}

func respond(w http.ResponseWriter, r *http.Request) {
	simulator.EchoRequestID(w, r)
	simulator.Sign(w)
}

// TestSlots guards against more concurrent requests on a server than it has slots.
func TestSlots(t *testing.T) {
	var running, maxRunning atomic.Int32
	g := newExecutor(t, 3, func(w http.ResponseWriter, r *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(10 * time.Millisecond)
		running.Add(-1)
		respond(w, r)
	})
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			require.Equal(t, executor.Answered, g.Run(context.Background(), newJob("a", 20*time.Second)).Outcome)
		})
	}
	group.Wait()
	require.LessOrEqual(t, maxRunning.Load(), int32(3))
}

// TestRefusals guards against requests that reach a server which must not run them.
func TestRefusals(t *testing.T) {
	var reached atomic.Int32
	g := newExecutor(t, 1, func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		respond(w, r)
	})
	other := newJob("a", time.Second)
	other.Service = "orders"
	require.Equal(t, executor.NoServer, g.Run(context.Background(), other).Reason)
	require.Equal(t, executor.DeadlineTooClose, g.Run(context.Background(), newJob("a", -time.Millisecond)).Reason)
	g.SetServer(executor.Server{
		Instance: "i-1", Service: "stock", Slots: 1, RefuseFrom: 1, RefuseKeyedFrom: timer.Now() + time.Hour,
	})
	require.Equal(t, executor.Draining, g.Run(context.Background(), newJob("a", time.Second)).Reason)
	keyed := newJob("a", time.Second)
	keyed.Keyed = true
	require.Equal(t, executor.Answered, g.Run(context.Background(), keyed).Outcome, "keys are served until they have moved")
	g.SetServer(executor.Server{})
	r := g.Run(context.Background(), newJob("a", time.Second))
	require.Equal(t, executor.NotRun, r.Outcome)
	require.EqualValues(t, 1, reached.Load())
}

// TestSilentServer guards against requests that all wait until their deadlines for an unresponsive server.
func TestSilentServer(t *testing.T) {
	g := newExecutor(t, 4, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan executor.Result)
	go func() { first <- g.Run(ctx, newJob("a", time.Minute)) }()
	require.Eventually(t, func() bool {
		return g.Run(context.Background(), newJob("b", 200*time.Millisecond)).Reason == executor.ServerStalled
	}, 20*time.Second, time.Millisecond)
	select {
	case r := <-first:
		require.Fail(t, "the first request ended early", r.Reason)
	default:
	}
	cancel()
	require.Equal(t, executor.CallerDisconnected, (<-first).Reason)
	r := g.Run(context.Background(), newJob("c", 500*time.Millisecond))
	require.Equal(t, executor.DeadlinePassed, r.Reason, "a stalled server is sent one request at a time")
}

// TestSlowWhileCold guards against a cold server whose requests are refused as if it were stalled, because its first answers
// take longer than those of a warm one and no service time is known yet.
func TestSlowWhileCold(t *testing.T) {
	answer := make(chan struct{})
	release := sync.OnceFunc(func() { close(answer) })
	g := newExecutor(t, 4, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-answer:
			respond(w, r)
		case <-r.Context().Done():
		}
	})
	t.Cleanup(release)
	now := timer.Now()
	g.SetServer(executor.Server{
		Instance: "i-1", Service: "stock", Slots: 4, ColdUntil: now + 1200*time.Millisecond, ColdRate: 100,
	})
	first := make(chan executor.Result, 1)
	go func() { first <- g.Run(context.Background(), newJob("a", time.Minute)) }()
	stalledAfter := func(ctx context.Context) time.Duration {
		for ctx.Err() == nil {
			if g.Run(ctx, newJob("b", 200*time.Millisecond)).Reason == executor.ServerStalled {
				return timer.Now() - now
			}
		}
		return 0
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(900*time.Millisecond))
	defer cancel()
	require.Zero(t, stalledAfter(ctx), "a cold server isn't stalled yet")
	g.SetServer(executor.Server{Instance: "i-1", Service: "stock", Slots: 4})
	ctx, cancel = context.WithDeadline(context.Background(), time.Now().Add(900*time.Millisecond))
	defer cancel()
	require.Zero(t, stalledAfter(ctx), "what was sent while the server was cold still takes longer")
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.Greater(t, stalledAfter(ctx), 2*time.Second, "a server that stays silent is stalled in the end")
	release()
	require.Equal(t, executor.Answered, (<-first).Outcome)
}

// TestLinkBusy guards against downloads that run although the link is saturated until long after their latency target,
// and against small responses that are refused because of them.
func TestLinkBusy(t *testing.T) {
	const size = 90_000
	link := executor.NewLink(12e6 / 8)
	g := newExecutorWithLink(t, 4, link, func(w http.ResponseWriter, r *http.Request) {
		respond(w, r)
		if r.URL.Path == "/download" {
			_, _ = w.Write(make([]byte, size))
		}
	})
	download := func() executor.Result {
		j := newJob("a", time.Minute)
		j.Rank, j.Request.Target = "download", "/download"
		return g.Run(context.Background(), j)
	}
	require.Equal(t, executor.Answered, download().Outcome)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := make(chan bool)
	const messages = 400
	for range messages {
		go func() { sent <- link.Acquire(ctx, size) }()
	}
	require.Eventually(t, func() bool { return link.Delay(size) > 10*time.Second }, 10*time.Second, time.Millisecond)
	r := download()
	require.Equal(t, executor.LinkBusy, r.Reason)
	require.Equal(t, executor.NotRun, r.Outcome)
	require.Greater(t, r.RetryAfter, time.Second)
	require.Equal(t, executor.Answered, g.Run(context.Background(), newJob("b", time.Minute)).Outcome)
	cancel()
	for range messages {
		<-sent
	}
	require.Eventually(t, func() bool { return download().Outcome == executor.Answered }, 10*time.Second, time.Millisecond)
}

// TestLoad guards against a load that has the wrong number of slots or still counts requests that have finished.
func TestLoad(t *testing.T) {
	g := newExecutor(t, 2, func(w http.ResponseWriter, r *http.Request) { respond(w, r) })
	for range 30 {
		require.Equal(t, executor.Answered, g.Run(context.Background(), newJob("a", time.Second)).Outcome)
	}
	require.Equal(t, 2, g.Load().Slots)
	require.Zero(t, g.Load().Running)
}

// TestWire guards against jobs and results that change in transit between sidecars, and against internal header fields
// that reach the server.
func TestWire(t *testing.T) {
	j := newJob("a", time.Second)
	j.Keyed, j.Key, j.Priority, j.Detached, j.Resent = true, 77, 2, true, true
	q := executor.EncodeJob(j)
	q.Received = timer.Now()
	decodedJob, err := executor.DecodeJob(q)
	require.NoError(t, err)
	require.InDelta(t, float64(j.Deadline), float64(decodedJob.Deadline), float64(time.Second))
	decodedJob.Deadline, decodedJob.Request = j.Deadline, j.Request
	require.Equal(t, j, decodedJob)
	for name := range q.Header {
		require.False(t, strings.HasPrefix(name, executor.FieldPrefix), name)
	}
	r := executor.Result{
		Outcome: executor.NotRun, Reason: executor.Overloaded, RetryAfter: 250 * time.Millisecond, Reached: true,
		Load: executor.Load{Running: 3, Waiting: 4, Slots: 12, ServiceTime: 90 * time.Millisecond, Offered: 1.25},
	}
	decodedResult, err := executor.DecodeResult(executor.EncodeResult(r))
	require.NoError(t, err)
	require.Equal(t, r, decodedResult)
	_, err = executor.DecodeResult(carrier.NewResponse(http.StatusOK, "another server's answer"))
	require.Error(t, err)
}

// TestSentAfterSenderLeft guards against jobs that are sent to the server although their sender has left, among them those
// that may run only once and therefore outlive their sender once they are sent (GONE).
func TestSentAfterSenderLeft(t *testing.T) {
	var reached atomic.Int32
	g := newExecutor(t, 1, func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		respond(w, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	const jobs = 20
	for range jobs {
		for _, detached := range []bool{false, true} {
			stays := g.Run(context.Background(), newJob("stays", 20*time.Second))
			require.Equal(t, executor.Answered, stays.Outcome, "leaves an idle connection")
			j := newJob("left", 20*time.Second)
			j.Detached = detached
			r := g.Run(ctx, j)
			require.Equal(t, executor.NotRun, r.Outcome)
			require.Equal(t, executor.CallerDisconnected, r.Reason)
		}
	}
	require.EqualValues(t, 2*jobs, reached.Load())
	require.Zero(t, g.Load().Running, "the slots are free again")
}
