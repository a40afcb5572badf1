package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

func testLimits() carrier.Limits {
	return carrier.Limits{HeaderBytes: 1 << 10, BodyBytes: 4 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 5 * time.Second}
}

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, c carrier.ServerConfig) (*carrier.Server, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	if c.Limits == nil {
		c.Limits = testLimits
	}
	s := carrier.NewServer(c)
	go func() { _ = s.Serve(l) }() // Serve returns when the listener is closed.
	t.Cleanup(func() { _ = l.Close() })
	return s, netip.MustParseAddrPort(l.Addr().String())
}

func dial(t *testing.T, to netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

func echo(_ context.Context, q *carrier.Request) *carrier.Response {
	return &carrier.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(q.Target + " " + string(q.Body))}
}

// TestOrder guards against pipelined responses that are written in the order of completion and so answer the wrong
// request.
func TestOrder(t *testing.T) {
	release := make(chan struct{})
	_, address := startServer(t, carrier.ServerConfig{
		AllowPipelining: func(*carrier.Request) bool { return true },
		Handle: func(ctx context.Context, q *carrier.Request) *carrier.Response {
			if q.Target == "/0" {
				<-release
			}
			if q.Target == "/2" {
				close(release)
			}
			return echo(ctx, q)
		},
	})
	c := dial(t, address)
	for i := range 3 {
		_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		require.NoError(t, err)
	}
	r := bufio.NewReader(c)
	for i := range 3 {
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("/%d ", i), string(body))
	}
}

// TestNoOverlap guards against a non-repeatable request that starts while an earlier response may still close its
// connection.
func TestNoOverlap(t *testing.T) {
	var running, maxRunning atomic.Int32
	_, address := startServer(t, carrier.ServerConfig{Handle: func(
		ctx context.Context, q *carrier.Request,
	) *carrier.Response {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(20 * time.Millisecond)
		running.Add(-1)
		return echo(ctx, q)
	}})
	c := dial(t, address)
	_, err := c.Write([]byte(strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 3)))
	require.NoError(t, err)
	r := bufio.NewReader(c)
	for range 3 {
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, maxRunning.Load())
}

// TestRejects guards against invalid requests that are handled, that hang, or that get an unexpected status.
func TestRejects(t *testing.T) {
	_, address := startServer(t, carrier.ServerConfig{Handle: echo})
	for name, tc := range map[string]struct {
		send   string
		status int
	}{
		"garbage":          {"\x16\x03\x01\x02\r\n\r\n", http.StatusBadRequest},
		"no host":          {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"absolute target":  {"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"two lengths":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", http.StatusBadRequest},
		"bad length":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", http.StatusBadRequest},
		"large header":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"header over":      {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1100) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"large body":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"large chunks":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1400\r\n" + strings.Repeat("x", 0x1400) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"slow header":      {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
		"slow body":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", http.StatusRequestTimeout},
		"malformed chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			_, err := c.Write([]byte(tc.send))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, tc.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// TestCallerLeaves guards against requests that continue after the caller closed its connection, also if further
// requests were pipelined on it.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{}, 2)
	started := make(chan struct{}, 2)
	_, address := startServer(t, carrier.ServerConfig{
		AllowPipelining: func(*carrier.Request) bool { return true },
		Handle: func(ctx context.Context, _ *carrier.Request) *carrier.Response {
			started <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return nil
		},
	})
	c := dial(t, address)
	_, err := c.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2)))
	require.NoError(t, err)
	<-started
	<-started
	require.NoError(t, c.Close())
	<-ended
	<-ended
}

// TestStop guards against a graceful stop that aborts requests that were read, or that leaves connections open after
// their last response.
func TestStop(t *testing.T) {
	running := make(chan struct{})
	finish := make(chan struct{})
	s, address := startServer(t, carrier.ServerConfig{Handle: func(
		ctx context.Context, q *carrier.Request,
	) *carrier.Response {
		close(running)
		<-finish
		return echo(ctx, q)
	}})
	c := dial(t, address)
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	<-running
	s.DisableKeepAlives()
	s.CloseIdle()
	require.Equal(t, 1, s.InFlight())
	close(finish)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

// startScriptedServer starts a server that handles each connection with a script. It returns its address and a counter
// for the requests that the script reads.
func startScriptedServer(
	t *testing.T, script func(net.Conn, *bufio.Reader, *atomic.Int32),
) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go script(c, bufio.NewReader(c), &requests)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &requests
}

func newPool() *carrier.Pool {
	return carrier.NewPool(carrier.PoolConfig{
		ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 32, MaxBody: 1 << 20,
		Matches: func(q *carrier.Request, h http.Header, _ bool) bool { return h.Get("Id") == q.Header.Get("Id") },
	})
}

func newRequest(id string) *carrier.Request {
	return &carrier.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
}

// TestNeverSentTwice guards against a request that is sent again on a new connection after an idle one was reset,
// although it may run only once.
func TestNeverSentTwice(t *testing.T) {
	address, requests := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, n *atomic.Int32) {
		for i := 0; ; i++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			n.Add(1)
			if i > 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool()
	_, err := p.Exchange(t.Context(), address, newRequest("a"))
	require.NoError(t, err)
	_, err = p.Exchange(t.Context(), address, newRequest("a"))
	var failed *carrier.ExchangeError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.EqualValues(t, 2, requests.Load())
}

// TestExtraResponse guards against a second, late response to one request that is taken for the response to the next.
func TestExtraResponse(t *testing.T) {
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		last := ""
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if last != "" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nextra", last)
			}
			last = q.Header.Get("Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\n%s", last, "own"+last)
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		r, err := p.Exchange(t.Context(), address, newRequest(id))
		require.NoError(t, err)
		require.Equal(t, "own"+id, string(r.Body))
	}
	require.EqualValues(t, 1, p.ConnectionsOpened())
}

// TestUnaskedBytes guards against the reuse of an idle connection with unread bytes that belong to no request.
func TestUnaskedBytes(t *testing.T) {
	answered, extra := make(chan struct{}), make(chan struct{})
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx")
			<-answered
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwrong")
			extra <- struct{}{}
		}
	})
	p := newPool()
	for range 2 {
		r, err := p.Exchange(t.Context(), address, newRequest("a"))
		require.NoError(t, err)
		require.Equal(t, "x", string(r.Body))
		answered <- struct{}{}
		<-extra
	}
	require.EqualValues(t, 2, p.ConnectionsOpened())
}

// TestCutResponses guards against a truncated response that is returned as if it were complete.
func TestCutResponses(t *testing.T) {
	for name, send := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":    "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header":    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Le",
		"no status": "nonsense\r\n\r\n",
		"nothing":   "",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(c, send)
				}
				_ = c.Close()
			})
			_, err := newPool().Exchange(t.Context(), address, newRequest("a"))
			var failed *carrier.ExchangeError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
		})
	}
}

// TestResetWithoutLength guards against a body delimited by the end of its connection that counts as complete although
// the connection was reset.
func TestResetWithoutLength(t *testing.T) {
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := newPool().Exchange(t.Context(), address, newRequest("a"))
	require.Error(t, err)
}

// TestEarlyResponse guards against the reuse of a connection whose server responded before it read the whole body: it
// would take the rest for the next request.
func TestEarlyResponse(t *testing.T) {
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, n *atomic.Int32) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasSuffix(line, "HTTP/1.1\r\n") {
				n.Add(1)
				fmt.Fprint(c, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
	p := newPool()
	for range 2 {
		q := newRequest("a")
		q.Method, q.Body = http.MethodPost, make([]byte, 8<<20)
		r, err := p.Exchange(t.Context(), address, q)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.Status)
	}
	require.EqualValues(t, 2, p.ConnectionsOpened())
}

// TestUnsent guards against a request that was certainly not sent and is reported as possibly executed.
func TestUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	_, err = newPool().Exchange(t.Context(), address, newRequest("a"))
	var failed *carrier.ExchangeError
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// TestCancelCloses guards against a server that continues after the sender gave up: closing the connection must tell
// it.
func TestCancelCloses(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startScriptedServer(t, func(_ net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newPool().Exchange(ctx, address, newRequest("a"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	<-closed
}

// TestKeepAliveTimeout guards against a request that is sent on a connection that the other end is about to close after
// the idle timeout it announced.
func TestKeepAliveTimeout(t *testing.T) {
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool()
	_, err := p.Exchange(t.Context(), address, newRequest("a"))
	require.NoError(t, err)
	time.Sleep(700 * time.Millisecond)
	_, err = p.Exchange(t.Context(), address, newRequest("a"))
	require.NoError(t, err)
	require.EqualValues(t, 2, p.ConnectionsOpened())
}
