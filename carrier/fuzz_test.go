package carrier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// FuzzResponse guards against bytes of a backend server that end the process, against an answer whose status or header
// isn't one of HTTP, and against a truncated body that counts as complete: a response with a length must have all of its body.
func FuzzResponse(f *testing.F) {
	for _, text := range responseForms {
		f.Add([]byte(text))
	}
	for line := range statusLines(f) {
		f.Add([]byte(line + "\r\nId: a\r\nContent-Length: 0\r\n\r\n"))
	}
	for line := range quotedLines(f, "testdata/field_lines.txt") {
		f.Add([]byte(fmt.Sprintf(fieldLineResponses["length"], line)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		address, _ := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, _ *atomic.Int32) {
			defer c.Close()
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = c.Write(data) // The client may have closed the connection.
			}
		})
		response, err := newPool().Exchange(t.Context(), address, newRequest("a"))
		if err == nil && (response.Status < 200 || response.Status > 599) {
			t.Fatalf("status %d counts as an answer", response.Status)
		}
		if err == nil {
			requireFields(t, response.Header)
		}
	})
}

// requireFields requires names and values of fields that the next reader of the response doesn't take for something else.
func requireFields(t *testing.T, h http.Header) {
	t.Helper()
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	for name, values := range h {
		require.False(t, strings.ContainsAny(name, " \t"), "name %q", name)
		for _, text := range append(values, name) {
			require.False(t, strings.ContainsFunc(text, isControl), "field %q", text)
		}
	}
}

// FuzzRequest guards against bytes of a caller that end the process, or a connection that is neither answered nor closed.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, address := startServer(t, carrier.ServerConfig{Handle: echo})
		c := dial(t, address)
		if _, err := c.Write(data); err != nil {
			return
		}
		_ = c.(*net.TCPConn).CloseWrite() // The server may have closed the connection.
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Fatal("the connection is neither answered nor closed")
			}
		}
	})
}
