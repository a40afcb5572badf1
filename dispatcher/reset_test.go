package dispatcher

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// earlyAnswers is the number of uploads that a test has answered early. In each, either the read of the response or the write
// of the upload may learn first how the connection ended.
const earlyAnswers = 100

// callUploads sends uploads to a server that answers each before it has read it, and then ends the connection. It returns the
// bodies that count as complete. The end of the connection ends them.
func callUploads(t *testing.T, end func(*net.TCPConn)) (bodies []string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nbody")
					end(c.(*net.TCPConn))
				}
				_ = c.Close()
			}()
		}
	}()
	b := newBackend(4)
	defer func() { b.currentClient().CloseIdleConnections() }()
	upload := make([]byte, 16<<20)
	head := encoder.Request{Method: http.MethodPost, Path: "/", Length: int64(len(upload))}
	for range earlyAnswers {
		x := b.call(t.Context(), netip.MustParseAddrPort(l.Addr().String()), head, applier.Assignment{}, "", bytes.NewReader(upload))
		if x.err != nil {
			require.True(t, x.connected, "the server may have run the request")
			continue
		}
		body, err := io.ReadAll(x.response.Body)
		x.response.Body.Close()
		if err == nil {
			bodies = append(bodies, string(body))
		}
	}
	return bodies
}

// TestResetDuringUpload guards against a body delimited by the end of its connection that counts as complete although the
// connection was reset, while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bodies := callUploads(t, func(c *net.TCPConn) {
				time.Sleep(pause)
				_ = c.SetLinger(0) // The test fails without it.
			})
			require.Empty(t, bodies, "cut responses count as complete")
		})
	}
}

// TestOrderlyEndDuringUpload guards against an early response that is whole and isn't delivered: its server closes its
// direction in order and reads the upload.
func TestOrderlyEndDuringUpload(t *testing.T) {
	bodies := callUploads(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // It ends when the other end closes the connection.
	})
	require.Len(t, bodies, earlyAnswers)
	for _, body := range bodies {
		require.Equal(t, "body", body)
	}
}
