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

// quotedLines returns the lines of a file that holds a quoted line and its kind in each row.
func quotedLines(t testing.TB, path string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	lines := map[string]string{}
	for row := range strings.Lines(string(data)) {
		quoted, kind, _ := strings.Cut(strings.TrimSpace(row)[1:], "\" ")
		line, err := strconv.Unquote("\"" + quoted + "\"")
		require.NoError(t, err)
		lines[line] = kind
	}
	return lines
}

func statusLines(t testing.TB) map[string]string {
	t.Helper()
	return quotedLines(t, "testdata/status_lines.txt")
}

// TestStatusLines guards against a response that isn't HTTP and counts as an answer, or is noticed only at the timeout.
// Other operators reported a backend in trouble whose answers had the status 000.
func TestStatusLines(t *testing.T) {
	for line, kind := range statusLines(t) {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
				if _, err := http.ReadRequest(r); err == nil {
					fmt.Fprint(c, line+"\r\nId: a\r\nContent-Length: 0\r\n\r\n")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			response, err := newPool().Exchange(ctx, address, newRequest("a"))
			if kind == "answer" {
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
