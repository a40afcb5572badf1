package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
	"hibiscusline/disruptor"
)

// startEchoServer starts a server that responds to all requests. It returns its address and the number of requests that
// it has read.
func startEchoServer(t *testing.T) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	return startScriptedServer(t, func(c net.Conn, r *bufio.Reader, n *atomic.Int32) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n.Add(1)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id")); err != nil {
				return
			}
		}
	})
}

// openIdle opens a number of idle connections of a pool.
func openIdle(t *testing.T, p *carrier.Pool, to netip.AddrPort, count int) {
	t.Helper()
	var group sync.WaitGroup
	for p.ConnectionsOpened() < uint64(count) {
		for range count {
			group.Go(func() {
				_, err := p.Exchange(t.Context(), to, newRequest("idle"))
				require.NoError(t, err)
			})
		}
		group.Wait()
	}
}

// TestSentAfterCallerLeft guards against requests that are sent on although their caller closed the connection before
// they were read (GONE).
func TestSentAfterCallerLeft(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	for name, text := range map[string]string{"one request": get, "pipelined": get + get + get, "runs once": post} {
		t.Run(name, func(t *testing.T) {
			backend, requests := startEchoServer(t)
			pool := newPool()
			const callers = 20
			openIdle(t, pool, backend, callers)
			before := requests.Load()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			// The connections wait in the listen queue, as they do while a process is short of processor time.
			for range callers {
				c := dial(t, netip.MustParseAddrPort(l.Addr().String()))
				_, err := c.Write([]byte(text))
				require.NoError(t, err)
				require.NoError(t, c.Close())
			}
			// On a busy machine the last close may take a moment to arrive.
			time.Sleep(100 * time.Millisecond)
			s := carrier.NewServer(carrier.ServerConfig{
				Limits: testLimits, AllowPipelining: func(*carrier.Request) bool { return true },
				Handle: func(ctx context.Context, q *carrier.Request) *carrier.Response {
					q.Header.Set("Id", "late")
					r, _ := pool.Exchange(ctx, backend, q)
					return r
				},
			})
			go func() { _ = s.Serve(l) }() // Serve returns when the listener is closed.
			c := dial(t, netip.MustParseAddrPort(l.Addr().String()))
			_, err = c.Write([]byte(get))
			require.NoError(t, err)
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, "a caller that stays is served")
			require.Eventually(t, func() bool { return s.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.EqualValues(t, before+1, requests.Load(), "only the requests of callers that stay are sent")
		})
	}
}

// TestCallerLeavesWhileNextWaits guards against a caller that leaves unnoticed while its next request waits for the one
// ahead of it, or for one of many to be answered, and against that next request being handled afterwards (GONE).
func TestCallerLeavesWhileNextWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		pipelining bool
		concurrent int
	}{"one at a time": {false, 1}, "too many unanswered": {true, 16}} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan string, 40), make(chan error, 40)
			s, address := startServer(t, carrier.ServerConfig{
				AllowPipelining: func(*carrier.Request) bool { return tc.pipelining },
				Handle: func(ctx context.Context, q *carrier.Request) *carrier.Response {
					started <- q.Target
					select {
					case <-ctx.Done():
					case <-time.After(5 * time.Second):
					}
					ended <- ctx.Err()
					return nil
				},
			})
			c := dial(t, address)
			for i := range tc.concurrent + 1 {
				_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				require.NoError(t, err)
			}
			for range tc.concurrent {
				<-started
			}
			require.NoError(t, c.Close())
			for range tc.concurrent {
				require.ErrorIs(t, <-ended, context.Canceled, "requests are cancelled when their caller leaves")
			}
			require.Eventually(t, func() bool { return s.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, started, "the next request is not handled")
		})
	}
}

// TestDetachedExchange guards against a request that is cancelled with its caller although it may run only once and was
// sent, and against one that is sent although its caller left before (GONE).
func TestDetachedExchange(t *testing.T) {
	received, respond := make(chan struct{}), make(chan struct{})
	address, requests := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, n *atomic.Int32) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			n.Add(1)
			received <- struct{}{}
			<-respond
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		}
	})
	q := newRequest("a")
	q.Detached = true
	pool := newPool()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := pool.Exchange(ctx, address, q)
		result <- err
	}()
	<-received
	cancel()
	time.Sleep(20 * time.Millisecond)
	close(respond)
	require.NoError(t, <-result)
	for range 20 {
		_, err := pool.Exchange(ctx, address, q)
		var failed *carrier.ExchangeError
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
	}
	require.EqualValues(t, 1, requests.Load())
	overdue, cancelOverdue := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancelOverdue()
	<-overdue.Done()
	_, err := pool.Exchange(overdue, address, q)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.EqualValues(t, 1, requests.Load())
}

// TestHeldUpRequest guards against a request that a cut link holds up and delivers after its caller has left (GONE).
func TestHeldUpRequest(t *testing.T) {
	for _, newConn := range []bool{false, true} {
		t.Run(fmt.Sprintf("new connection %t", newConn), func(t *testing.T) {
			backend, requests := startEchoServer(t)
			link, err := disruptor.New(disruptor.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Upstream: backend})
			require.NoError(t, err)
			defer func() { require.NoError(t, link.Close()) }()
			pool := newPool()
			_, err = pool.Exchange(t.Context(), link.Addr(), newRequest("a"))
			require.NoError(t, err)
			link.Blackhole(true)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			q := newRequest("b")
			q.NewConn = newConn
			_, err = pool.Exchange(ctx, link.Addr(), q)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			time.Sleep(100 * time.Millisecond)
			link.Blackhole(false)
			time.Sleep(300 * time.Millisecond)
			require.EqualValues(t, 1, requests.Load())
		})
	}
}
