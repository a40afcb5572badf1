package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// endlessResponses are responses that a faulty server begins and then continues without end.
var endlessResponses = map[string]struct{ head, repeated string }{
	"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 4<<10)},
	"no response":       {"", strings.Repeat("\x00\xff", 4<<10)},
	"field":             {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4<<10)},
	"fields":            {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("x", 1<<10) + "\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"other responses":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	"body":              {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", strings.Repeat("x", 4<<10)},
	"body of another":   {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("x", 4<<10)},
	"chunks":            {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4<<10)},
	"trailer":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", strings.Repeat("x", 4<<10)},
	"long body":         {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 4<<10)},
}

// writeEndlessly responds to one request and returns when the other end has closed the connection. It adds the bytes
// written to a counter.
func writeEndlessly(c net.Conn, r *bufio.Reader, head, repeated string, written *atomic.Int64) {
	defer c.Close()
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	// The bytes are made once, since some tests measure the heap.
	next := []byte(repeated)
	for text := []byte(head); ; text = next {
		n, err := c.Write(text)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessResponse guards against a response without end that is read until the deadline of its request, or until the
// process is out of memory.
func TestEndlessResponse(t *testing.T) {
	for name, tc := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				writeEndlessly(c, r, tc.head, tc.repeated, &written)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := newPool().Exchange(ctx, address, newRequest("a"))
			var failed *carrier.ExchangeError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			require.NoError(t, ctx.Err(), "the connection is closed before the deadline")
			// The limit on bodies is 1 MiB. Socket buffers take some more.
			require.Less(t, written.Load(), int64(16<<20))
		})
	}
}

// TestEndlessResponsesAtOnce guards against endless bodies that each stay below their limit and together take the memory
// of the process, and against small responses that fail because of them.
func TestEndlessResponsesAtOnce(t *testing.T) {
	const budget = 4 << 20
	var written atomic.Int64
	endless := endlessResponses["body"]
	faulty, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		writeEndlessly(c, r, endless.head, endless.repeated, &written)
	})
	sound, _ := startEchoServer(t)
	pool := carrier.NewPool(carrier.PoolConfig{
		ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxBody: 64 << 20,
		Budget: carrier.NewBudget(budget),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			_, err := pool.Exchange(ctx, faulty, newRequest("a"))
			require.ErrorIs(t, err, carrier.ErrMalformedResponse)
		})
		group.Go(func() {
			_, err := pool.Exchange(ctx, sound, newRequest("a"))
			require.NoError(t, err)
		})
	}
	group.Wait()
	// Each body may take 1 MiB beside the budget. Socket buffers take some more.
	require.Less(t, written.Load(), int64(16*8<<20))
}

// Memory of the smallest machine, and what package sidecar makes of it.
const (
	machineBytes = 184 << 20
	budgetBytes  = machineBytes / 8
	softLimit    = machineBytes * 7 / 10
)

// heapPeak returns a function that ends the observation of the heap and returns its largest size.
func heapPeak() func() uint64 {
	var peak atomic.Uint64
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-ended
		return peak.Load()
	}
}

// TestEndlessResponsesTakeHalfTheMachine guards against a hundred responses without end that fill the memory of a small
// machine, also while they stay below the size from which a response counts, and against sound responses that fail beside
// them.
func TestEndlessResponsesTakeHalfTheMachine(t *testing.T) {
	sound, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		defer c.Close()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", 90_000, strings.Repeat("x", 90_000))
	})
	for _, form := range []string{"body", "chunks", "long body", "field"} {
		t.Run(form, func(t *testing.T) {
			endless := endlessResponses[form]
			var written atomic.Int64
			faulty, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				writeEndlessly(c, r, endless.head, endless.repeated, &written)
			})
			pool := carrier.NewPool(carrier.PoolConfig{
				ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxBody: 64 << 20,
				Budget: carrier.NewBudget(budgetBytes),
			})
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			runtime.GC()
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimit))
			peak := heapPeak()
			var group sync.WaitGroup
			for range 100 {
				group.Go(func() {
					_, err := pool.Exchange(ctx, faulty, newRequest("a"))
					require.Error(t, err)
				})
			}
			for range 20 {
				group.Go(func() {
					r, err := pool.Exchange(ctx, sound, newRequest("a"))
					require.NoError(t, err)
					require.Len(t, r.Body, 90_000)
				})
			}
			group.Wait()
			require.NoError(t, ctx.Err())
			size := peak()
			t.Logf("%d MB of heap at most", size>>20)
			require.Less(t, size>>20, uint64(machineBytes/2>>20), "MB of heap")
		})
	}
}
