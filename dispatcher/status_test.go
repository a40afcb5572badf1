package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

// TestStatusLines guards against a response that isn't HTTP and counts as an answer, or is noticed only at the timeout. The
// status lines are those of the test of the sidecar's path.
func TestStatusLines(t *testing.T) {
	data, err := os.ReadFile("../carrier/testdata/status_lines.txt")
	require.NoError(t, err)
	for row := range strings.Lines(string(data)) {
		quoted, kind, _ := strings.Cut(strings.TrimSpace(row)[1:], "\" ")
		line, err := strconv.Unquote("\"" + quoted + "\"")
		require.NoError(t, err)
		t.Run(strconv.Quote(line), func(t *testing.T) { requireStatusLine(t, line, kind == "answer") })
	}
}

func requireStatusLine(t *testing.T, line string, valid bool) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			fmt.Fprint(c, line+"\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	b := newBackend(4)
	defer func() { b.currentClient().CloseIdleConnections() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	x := b.call(ctx, netip.MustParseAddrPort(l.Addr().String()),
		encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, "", strings.NewReader(""))
	if x.err == nil {
		x.response.Body.Close()
	}
	if valid {
		require.NoError(t, x.err)
		return
	}
	require.Error(t, x.err, "%+v", x.response)
	require.NoError(t, ctx.Err(), "noticed at the timeout")
	require.True(t, x.connected, "the server may have run the request")
	require.False(t, x.malformed, "it is the response that is malformed")
}
