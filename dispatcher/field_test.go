package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// fieldLineBody looks like chunks, so that a field that changes the framing changes the body as well.
const fieldLineBody = "1\r\nx\r\n0\r\n\r\n"

// TestFieldLines guards against a response that counts as an answer although the name of a field holds a blank or a control
// byte, or a line isn't a field. The lines are those of the test of the sidecar's path. A line that continues the one before
// becomes part of its value, as HTTP/1.1 allows.
func TestFieldLines(t *testing.T) {
	data, err := os.ReadFile("../carrier/testdata/field_lines.txt")
	require.NoError(t, err)
	for framing, fields := range map[string]string{"length": "Content-Length: 11\r\n", "no length": ""} {
		for row := range strings.Lines(string(data)) {
			quoted, kind, _ := strings.Cut(strings.TrimSpace(row)[1:], "\" ")
			line, err := strconv.Unquote("\"" + quoted + "\"")
			require.NoError(t, err)
			t.Run(framing+" "+strconv.Quote(line), func(t *testing.T) {
				head := "HTTP/1.1 200 OK\r\nServer: s\r\n" + line + "\r\n" + fields + "\r\n"
				requireFieldLine(t, head+fieldLineBody, line, kind)
			})
		}
	}
}

func requireFieldLine(t *testing.T, response, line, kind string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			fmt.Fprint(c, response)
		}
	}()
	b := newBackend(4)
	defer func() { b.currentClient().CloseIdleConnections() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	x := b.call(ctx, netip.MustParseAddrPort(l.Addr().String()),
		encoder.Request{Method: http.MethodGet, Path: "/"}, applier.Assignment{}, "", strings.NewReader(""))
	if kind == "malformed" {
		require.Error(t, x.err, "%+v", x.response)
		require.NoError(t, ctx.Err(), "noticed at the timeout")
		require.True(t, x.connected, "the server may have run the request")
		return
	}
	require.NoError(t, x.err)
	defer x.response.Body.Close()
	body, err := io.ReadAll(x.response.Body)
	require.NoError(t, err)
	require.Equal(t, fieldLineBody, string(body))
	if kind == "continued" {
		require.Equal(t, "s "+strings.TrimSpace(line), x.response.Header.Get("Server"))
	}
}
