package carrier_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
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
// byte, or a line isn't a field.
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
