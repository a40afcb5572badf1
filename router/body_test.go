package router

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBodyEndsWithItsRequest guards against an attempt's reader that outlives the handler: it takes bytes of the next
// request on the connection, or makes net/http panic and close the connection.
func TestBodyEndsWithItsRequest(t *testing.T) {
	rt := New(Config{ReplayLimit: 1 << 10})
	var logged bytes.Buffer
	read := make(chan error, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := rt.newCallerBody(w, r)
		defer body.finish()
		reader, _ := body.reader()
		go func() {
			_, err := io.Copy(io.Discard, reader)
			read <- err
		}()
		body.closeConnectionUnless(body.finish())
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	server.Config.ErrorLog = log.New(&logged, "", 0)
	server.Start()
	defer server.Close()
	exchange := func(length, sent int, next string) string {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s%s", length, strings.Repeat("x", sent), next)
		require.NoError(t, err)
		response, err := io.ReadAll(c)
		require.NoError(t, err)
		return string(response)
	}
	for range 50 {
		// The rest of a body is never parsed as a request: there is one response, and the connection closes.
		response := exchange(1000, 10, "")
		require.Equal(t, 1, strings.Count(response, "HTTP/1.1 429"), response)
		require.Contains(t, response, "Connection: close")
		require.Error(t, <-read)
		// A fully sent body leaves the connection usable.
		response = exchange(10, 10, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc")
		require.Equal(t, 2, strings.Count(response, "HTTP/1.1 429"), response)
		<-read
		<-read
	}
	server.Close()
	require.Empty(t, logged.String())
}
