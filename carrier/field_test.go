package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// fieldLineBody looks like chunks, so that a field that changes the framing changes the body as well.
const fieldLineBody = "1\r\nx\r\n0\r\n\r\n"

// fieldLineResponses are responses with a line between the fields of their heads.
var fieldLineResponses = map[string]string{
	"length":    "HTTP/1.1 200 OK\r\nServer: s\r\n%s\r\nId: a\r\nContent-Length: 11\r\n\r\n" + fieldLineBody,
	"no length": "HTTP/1.1 200 OK\r\nServer: s\r\n%s\r\nId: a\r\n\r\n" + fieldLineBody,
}

// TestFieldLines guards against a response that counts as an answer although the name of a field holds a blank or a control
// byte, or a line isn't a field. A line that begins with a blank continues the line before, which no server may send; a field
// with such a name can't be told from it.
func TestFieldLines(t *testing.T) {
	for framing, response := range fieldLineResponses {
		for line, kind := range quotedLines(t, "testdata/field_lines.txt") {
			t.Run(framing+" "+strconv.Quote(line), func(t *testing.T) {
				requireFieldLine(t, fmt.Sprintf(response, line), kind == "answer")
			})
		}
	}
}

func requireFieldLine(t *testing.T, response string, valid bool) {
	t.Helper()
	address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
		defer c.Close()
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, response)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r, err := newPool().Exchange(ctx, address, newRequest("a"))
	if valid {
		require.NoError(t, err)
		require.Equal(t, fieldLineBody, string(r.Body))
		return
	}
	require.Error(t, err, "%+v", r)
	require.NoError(t, ctx.Err(), "noticed at the timeout")
	var failed *carrier.ExchangeError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent, "the server may have run the request")
}

// TestFoldedLines guards against a folded line that is missed, or seen where there is none, because of where the head begins and
// ends in what is read at once.
func TestFoldedLines(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	const other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\n\r\n x"
	const folded = "HTTP/1.1 200 OK\r\nId: a\r\nX: v\r\n v\r\nContent-Length: 2\r\n\r\nok"
	const indented = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n x\r\n\ty\n z"
	for name, tc := range map[string]struct {
		response string
		valid    bool
	}{
		"folded":                 {folded, false},
		"folded after interim":   {interim + folded, false},
		"folded after another":   {other + folded, false},
		"folded interim":         {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n y\r\n\r\n" + wholeResponse, false},
		"line feeds only":        {strings.ReplaceAll(folded, "\r\n", "\n"), false},
		"indented body":          {indented, true},
		"indented after interim": {interim + indented, true},
		"indented after another": {other + indented, true},
		"indented, line feeds":   {"HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n\n x", true},
	} {
		for _, step := range []int{1, len(tc.response)} {
			t.Run(fmt.Sprintf("%s in steps of %d", name, step), func(t *testing.T) {
				address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
					defer c.Close()
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					for part := range slices.Chunk([]byte(tc.response), step) {
						_, _ = c.Write(part) // The client may have closed the connection.
					}
				})
				r, err := newPool().Exchange(t.Context(), address, newRequest("a"))
				if !tc.valid {
					require.ErrorIs(t, err, carrier.ErrMalformedResponse)
					return
				}
				require.NoError(t, err)
				require.True(t, strings.HasSuffix(tc.response, string(r.Body)))
				require.NotEmpty(t, r.Body)
			})
		}
	}
}

// TestRequestFieldNames guards against a request that is passed on although the name of a field holds a blank: the server may
// take the field for one that delimits the body, and the body for another request.
func TestRequestFieldNames(t *testing.T) {
	_, address := startServer(t, carrier.ServerConfig{Handle: echo})
	for _, line := range []string{"X Y: v", "X : v", "Content-Length : 5", "Transfer-Encoding : chunked", "X\x01: v"} {
		c := dial(t, address)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", line)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%q", line)
	}
}
