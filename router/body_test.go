package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBodyEnd guards against a refusal that comes before the body was read and costs the caller its next request on the
// connection: the server closed it with "invalid concurrent Body.Read call".
func TestBodyEnd(t *testing.T) {
	connections := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		require.NoError(t, http.NewResponseController(w).EnableFullDuplex())
		b := newReplayBody(r.Body, 64)
		reader, _ := b.reader()
		require.True(t, b.end(func() {}))
		_, err := reader.Read(make([]byte, 8))
		require.ErrorIs(t, err, io.ErrClosedPipe)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	for range 20 {
		// The client can't repeat this request by itself.
		response, err := server.Client().Post(server.URL, "text/plain", io.NopCloser(strings.NewReader("bolt")))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.Len(t, connections, 1)
}

// TestBodyEndInterrupts guards against a handler that waits for a caller who doesn't send the rest of its body.
func TestBodyEndInterrupts(t *testing.T) {
	source, writer := io.Pipe()
	b := newReplayBody(source, 64)
	reader, _ := b.reader()
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, reader)
		read <- err
	}()
	_, err := writer.Write([]byte("bolt"))
	require.NoError(t, err)
	require.False(t, b.end(func() { require.NoError(t, source.CloseWithError(io.ErrUnexpectedEOF)) }))
	require.Error(t, <-read)
}
