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
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// TestRepeatedRefusal guards against a refusal of an old epoch that a faulty server wrote for an earlier request, that
// arrives once more on the kept connection, and that is taken for the refusal of a request that the server runs.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 409 Conflict\r\nHibiscus-Fenced: before\r\nContent-Length: 0\r\n"
	// The server names the request that it refuses, or doesn't.
	for name, echo := range map[string]bool{"without the request": false, "of another request": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				first := ""
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if first == "" {
						first = q.Header.Get(HeaderParent)
					}
					fmt.Fprint(c, refusal)
					if echo {
						fmt.Fprintf(c, "%s: %s\r\n", HeaderParent, first)
					}
					fmt.Fprint(c, "\r\n")
				}
			}()
			b := newBackend(4)
			for i, token := range []string{"one", "two"} {
				x := b.call(t.Context(), netip.MustParseAddrPort(l.Addr().String()),
					encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, token, strings.NewReader(""))
				require.NoError(t, x.err)
				_, err := io.Copy(io.Discard, x.response.Body)
				require.NoError(t, err)
				require.NoError(t, x.response.Body.Close())
				require.Equal(t, i == 0, x.provesNotRun(token), token)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
