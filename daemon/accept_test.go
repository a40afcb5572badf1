package daemon

import (
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainAcceptsAll guards against connections that are reset because they were still in the backlog when a stop
// began, and against a stop that reports an error because the HTTP server closes the listener again.
func TestDrainAcceptsAll(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newDrainingListener(listener)
	const callers = 5
	var dialled []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		dialled = append(dialled, c)
	}
	accepted := 0
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				accepted++
				_ = c.Close()
			}
		}
	})
	l.Drain()
	accepting.Wait()
	require.Equal(t, callers, accepted)
	require.NoError(t, l.Close())
	for _, c := range dialled {
		require.NoError(t, c.Close())
	}
}
