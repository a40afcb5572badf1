package carrier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// earlyAnswers is the number of uploads that a test has answered early. In each, either the read of the response or the write
// of the upload may learn first how the connection ended.
const earlyAnswers = 100

// exchangeUploads sends uploads to a server that answers each before it has read it, and then ends the connection. It returns
// the bodies that count as complete. The end of the connection ends them.
func exchangeUploads(t *testing.T, end func(*net.TCPConn)) (bodies []string) {
	t.Helper()
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody")
			end(c.(*net.TCPConn))
		}
		_ = c.Close()
	})
	p := newPool()
	upload := make([]byte, 16<<20)
	for range earlyAnswers {
		q := newRequest("a")
		q.Method, q.Body = http.MethodPost, upload
		r, err := p.Exchange(t.Context(), address, q)
		if err != nil {
			var failed *carrier.ExchangeError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent, "the server may have run the request")
			continue
		}
		bodies = append(bodies, string(r.Body))
	}
	return bodies
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // The test fails without it.
	_ = c.Close()
}

// TestResetDuringUpload guards against a body delimited by the end of its connection that counts as complete although the
// connection was reset, while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bodies := exchangeUploads(t, func(c *net.TCPConn) {
				time.Sleep(pause)
				reset(c)
			})
			require.Empty(t, bodies, "cut responses count as complete")
		})
	}
}

// TestOrderlyEndDuringUpload guards against an early response that is whole and isn't delivered: its server closes its
// direction in order, and then drops the upload or resets the connection.
func TestOrderlyEndDuringUpload(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"upload is read":   func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"upload is unread": func(*net.TCPConn) { time.Sleep(5 * time.Millisecond) },
		"reset after it":   reset,
	} {
		t.Run(name, func(t *testing.T) {
			bodies := exchangeUploads(t, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				end(c)
			})
			require.Len(t, bodies, earlyAnswers)
			for _, body := range bodies {
				require.Equal(t, "body", body)
			}
		})
	}
}

// TestAbortToldToWrite guards against a reset that only a write is told of, and that the next read takes for an orderly end.
func TestAbortToldToWrite(t *testing.T) {
	for name, tc := range map[string]struct {
		end               func(*net.TCPConn)
		writeErr, readErr error
	}{
		"reset": {reset, syscall.ECONNRESET, syscall.ECONNRESET},
		"orderly end before it": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			reset(c)
		}, syscall.EPIPE, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				if _, err := r.ReadByte(); err == nil {
					fmt.Fprint(c, "body")
				}
				tc.end(c.(*net.TCPConn))
			})
			c := carrier.ReportAborts(dial(t, address))
			var err error
			require.Eventually(t, func() bool {
				_, err = c.Write([]byte("x"))
				return err != nil
			}, 5*time.Second, time.Millisecond)
			require.ErrorIs(t, err, tc.writeErr)
			text := make([]byte, 5)
			n, err := c.Read(text)
			require.NoError(t, err)
			require.Equal(t, "body", string(text[:n]))
			_, err = c.Read(text)
			require.ErrorIs(t, err, tc.readErr)
		})
	}
}
