package carrier_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// TestDialBeforeLossIsRead guards against a connection to a server that was started again at once, which is opened because
// the exchange on the only connection to its predecessor hasn't read yet that it is closed.
func TestDialBeforeLossIsRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var lost atomic.Bool
	p := carrier.NewPool(carrier.PoolConfig{
		ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 32, MaxBody: 1 << 20,
		MayDial: func(bool) error {
			if lost.Load() {
				return errors.New("no sign of life since the loss")
			}
			return nil
		},
		OnAllClosed: func() { lost.Store(true) },
	})
	progress, resume, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	q := newRequest("a")
	q.OnProgress = func() { close(progress); <-resume }
	address := netip.MustParseAddrPort(l.Addr().String())
	go func() {
		defer close(ended)
		_, _ = p.Exchange(t.Context(), address, q) // Its response is cut short.
	}()
	c, err := l.Accept()
	require.NoError(t, err)
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na")
	<-progress
	require.NoError(t, l.Close())
	require.NoError(t, c.Close())
	l, err = net.Listen("tcp4", address.String())
	require.NoError(t, err)
	var received atomic.Int32
	successor := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) })}
	go func() { _ = successor.Serve(l) }() // Serve returns when the server is closed.
	t.Cleanup(func() { _ = successor.Close() })
	_, err = p.Exchange(t.Context(), address, newRequest("a"))
	close(resume)
	<-ended
	require.Error(t, err)
	require.Zero(t, received.Load())
	require.True(t, lost.Load())
}
