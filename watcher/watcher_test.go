package watcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/watcher"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = l.Close()
		_ = c.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), c.(*net.TCPConn)
}

// TestClosed guards against a close that isn't noticed because it is unread, because bytes before it are unread, or
// because another goroutine reads at the same time.
func TestClosed(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, *net.TCPConn){
		"close": func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) },
		"close behind bytes": func(t *testing.T, c *net.TCPConn) {
			_, err := c.Write([]byte("unread"))
			require.NoError(t, err)
			require.NoError(t, c.Close())
		},
		"reset": func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			require.False(t, watcher.Closed(near))
			leave(t, far)
			require.Eventually(t, func() bool { return watcher.Closed(near) }, 10*time.Second, time.Millisecond)
		})
	}
	near, far := connect(t)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = near.Read(make([]byte, 1))
	}()
	require.False(t, watcher.Closed(near), "an open connection while another goroutine reads it")
	require.NoError(t, far.Close())
	<-read
	require.True(t, watcher.Closed(near))
}

// TestSenderLeft guards against a passed deadline that is taken for a departure, and against departures that only the
// connection shows.
func TestSenderLeft(t *testing.T) {
	near, far := connect(t)
	ctx := watcher.WithConn(context.Background(), near)
	require.Equal(t, watcher.NotNoticed, watcher.SenderLeft(ctx))
	expired, cancel := context.WithTimeout(ctx, -time.Second)
	defer cancel()
	require.Equal(t, watcher.NotNoticed, watcher.SenderLeft(expired))
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	require.Equal(t, watcher.ContextCancelled, watcher.SenderLeft(cancelled))
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool {
		return watcher.SenderLeft(ctx) == watcher.ConnectionClosed
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, watcher.NotNoticed, watcher.SenderLeft(context.Background()))
}

// TestWatch guards against a request that goes on after its connection was closed behind unread bytes, and against a
// watch that goes on after the end of its request.
func TestWatch(t *testing.T) {
	near, far := connect(t)
	ctx, stop := watcher.Watch(watcher.WithConn(context.Background(), near))
	defer stop()
	_, err := far.Write([]byte("the next request"))
	require.NoError(t, err)
	time.Sleep(250 * time.Millisecond)
	require.NoError(t, ctx.Err())
	require.NoError(t, far.Close())
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the close wasn't noticed")
	}
	ctx, stop = watcher.Watch(context.Background())
	stop()
	require.NoError(t, ctx.Err(), "a context without a connection stays as it is")
}
