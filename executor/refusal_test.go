package executor_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/platform/simulator"
)

// writeResponse writes a response with a header and a body.
func writeResponse(c net.Conn, status int, h http.Header, body string) {
	h.Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\n", status)
	_ = h.Write(c) // The executor has closed the connection then.
	fmt.Fprintf(c, "\r\n%s", body)
}

// refuse writes a refusal that echoes ids.
func refuse(c net.Conn, ids ...string) {
	writeResponse(c, http.StatusServiceUnavailable, simulator.RefusalHeader(ids...), "")
}

// newFaultyExecutor returns an executor whose server handles each connection with a script. The script gets the
// connection, the id of a request and the number of requests that it has read on the connection before, and reports
// whether it reads another one. Running counts the requests that it runs.
func newFaultyExecutor(
	t *testing.T, script func(c net.Conn, id string, before int, running *atomic.Int32) bool,
) (*executor.Executor, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var running atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for i := 0; ; i++ {
					q, err := http.ReadRequest(r)
					if err != nil || !script(c, simulator.RequestID(q.Header), i, &running) {
						return
					}
				}
			}()
		}
	}()
	g := executor.New(executor.Config{
		Backend: netip.MustParseAddrPort(l.Addr().String()), Logger: log.NewNopLogger(),
		Permits: func(time.Duration, uint16) bool { return true }, OnConnectionRefused: func(string) {},
	})
	g.SetServer(executor.Server{Instance: "i-1", Service: "stock", Slots: 4})
	return g, &running
}

// TestRepeatedRefusal guards against a refusal that a faulty server wrote for an earlier request, that arrives once more
// on the kept connection, and that is taken for the refusal of a request that the server runs (REFUSED, TWICE).
func TestRepeatedRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		// secondID is the id of the second request, which the server runs.
		secondID string
		repeat   func(c net.Conn, first string)
	}{
		"other id":           {"b", func(c net.Conn, first string) { refuse(c, first) }},
		"no id":              {"b", func(c net.Conn, _ string) { refuse(c) }},
		"two ids":            {"b", func(c net.Conn, first string) { refuse(c, first, "b") }},
		"same request again": {"a", func(c net.Conn, first string) { refuse(c, first) }},
	} {
		t.Run(name, func(t *testing.T) {
			g, running := newFaultyExecutor(t, func(c net.Conn, id string, before int, running *atomic.Int32) bool {
				if before == 0 && running.Load() == 0 && id == "a" {
					running.Add(1)
					refuse(c, id)
					return true
				}
				running.Add(1)
				if before > 0 {
					tc.repeat(c, "a")
					time.Sleep(50 * time.Millisecond)
				}
				writeResponse(c, http.StatusOK, simulator.ResponseHeader(id), "done")
				return true
			})
			require.Equal(t, executor.ServerRefused, g.Run(context.Background(), newJob("a", 20*time.Second)).Reason)
			second := newJob(tc.secondID, 20*time.Second)
			second.Resent = tc.secondID == "a"
			r := g.Run(context.Background(), second)
			require.EqualValues(t, 2, running.Load(), "the server runs the second request")
			require.NotEqual(t, executor.NotRun, r.Outcome)
		})
	}
}

// TestUnprovenRefusal guards against a status that promises callers that a request hasn't run, and that a server sends
// without saying so (REFUSED).
func TestUnprovenRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		g, _ := newFaultyExecutor(t, func(c net.Conn, id string, _ int, _ *atomic.Int32) bool {
			writeResponse(c, status, simulator.ResponseHeader(id), "")
			return true
		})
		r := g.Run(context.Background(), newJob("a", 20*time.Second))
		require.Equal(t, executor.Unknown, r.Outcome, status)
	}
}
