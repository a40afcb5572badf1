package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// statusLines returns status lines, and whether each is one of an answer.
func statusLines(t testing.TB) map[string]bool {
	t.Helper()
	data, err := os.ReadFile("testdata/status_lines.txt")
	require.NoError(t, err)
	lines := map[string]bool{}
	for row := range strings.Lines(string(data)) {
		quoted, kind, _ := strings.Cut(strings.TrimSpace(row)[1:], "\" ")
		line, err := strconv.Unquote("\"" + quoted + "\"")
		require.NoError(t, err)
		lines[line] = kind == "answer"
	}
	return lines
}

// TestStatusLines guards against a response that isn't HTTP and counts as an answer, or is noticed only at the timeout.
// Other operators reported a backend in trouble whose answers had the status 000.
func TestStatusLines(t *testing.T) {
	for line, valid := range statusLines(t) {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(c, line+"\r\nId: a\r\nContent-Length: 0\r\n\r\n")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			response, err := newPool().Exchange(ctx, address, newRequest("a"))
			if valid {
				require.NoError(t, err)
				return
			}
			require.Error(t, err, "%+v", response)
			require.ErrorIs(t, err, carrier.ErrMalformedResponse)
			var failed *carrier.ExchangeError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent, "the server may have run the request")
		})
	}
}
