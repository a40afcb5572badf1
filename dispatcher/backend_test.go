package dispatcher

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// TestConnectionsAnnounced guards against more connections than the server has announced, and against a change of that
// number that takes effect only after the server has left.
func TestConnectionsAnnounced(t *testing.T) {
	var mu sync.Mutex
	open, maxOpen := map[net.Conn]bool{}, 0
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open[c] = true
			maxOpen = max(maxOpen, len(open))
		case http.StateClosed:
			delete(open, c)
		}
	}
	server.Start()
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	b := newBackend(4)
	defer func() { b.currentClient().CloseIdleConnections() }()
	requireMaxOpen := func(expected int) {
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				for range 5 {
					x := b.call(t.Context(), address, encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, "", strings.NewReader(""))
					if x.err != nil {
						t.Error(x.err)
						return
					}
					_, err := io.Copy(io.Discard, x.response.Body)
					require.NoError(t, err)
					x.response.Body.Close()
				}
			})
		}
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, expected, maxOpen)
	}
	requireMaxOpen(3)
	require.Equal(t, 7, b.setLimit(8))
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(open) == 0
	}, 20*time.Second, time.Millisecond)
	requireMaxOpen(7)
	require.Equal(t, 1, b.setLimit(1), "a server that takes one connection still gets calls")
}
