package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// TestResponseCutAtEveryByte guards against a response whose server stopped at any byte of its head or body, and closed
// the connection, that counts as complete: on a new connection and on one that has carried a response.
func TestResponseCutAtEveryByte(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		// Only the end of the connection ends the body, so a cut within the body can't be told from its end.
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%t", name, kept), func(t *testing.T) {
				for cut := range len(text) {
					requireCutFails(t, text[:cut], kept)
				}
			})
		}
	}
}

func requireCutFails(t *testing.T, part string, kept bool) {
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
			r := bufio.NewReader(c)
			if kept {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}
			if _, err := http.ReadRequest(r); err == nil {
				fmt.Fprint(c, part)
			}
			_ = c.Close()
		}
	}()
	b := newBackend(4)
	call := func() (body []byte, reused bool, err error) {
		x := b.call(t.Context(), netip.MustParseAddrPort(l.Addr().String()),
			encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, "", strings.NewReader(""))
		if x.err != nil {
			return nil, x.reused, x.err
		}
		defer x.response.Body.Close()
		body, err = io.ReadAll(x.response.Body)
		return body, x.reused, err
	}
	body, reused, err := call()
	for kept && !reused {
		// On a busy machine the client may not keep the connection of the response before.
		require.NoError(t, err)
		body, reused, err = call()
	}
	require.Error(t, err, "response cut after %q, body %q", part, body)
}
