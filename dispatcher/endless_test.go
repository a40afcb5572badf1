package dispatcher

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// TestEndlessHeader guards against a backend server whose response header has no end, and that is read until it takes
// megabytes of memory for each request.
func TestEndlessHeader(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var written atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		field := "X: " + strings.Repeat("x", 1<<10) + "\r\n"
		for text := "HTTP/1.1 200 OK\r\n"; ; text = field {
			n, err := c.Write([]byte(text))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	b := newBackend(4)
	x := b.call(ctx, netip.MustParseAddrPort(l.Addr().String()),
		encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, "", strings.NewReader(""))
	require.Error(t, x.err)
	require.True(t, x.connected)
	require.NoError(t, ctx.Err())
	require.Less(t, written.Load(), int64(6<<20), "socket buffers included")
}
