package daemon

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// drainingListener accepts all connections that the kernel has established before it closes. Closing a listener resets
// the connections in its backlog, and the requests that clients have already sent on them are lost.
type drainingListener struct {
	*net.TCPListener
	draining atomic.Bool
	closed   chan struct{}
	backlog  []net.Conn
}

func newDrainingListener(l net.Listener) *drainingListener {
	return &drainingListener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{})}
}

// Drain closes the listener. It returns when Accept has returned all pending connections, or after one second.
func (l *drainingListener) Drain() {
	if l.draining.Swap(true) {
		return
	}
	// The deadline unblocks Accept. If it can't be set, the next connection does.
	_ = l.SetDeadline(time.Now())
	// Accept isn't called while the connection limit is reached, so the wait is bounded.
	const maxWait = time.Second
	select {
	case <-l.closed:
	case <-time.After(maxWait):
	}
}

// Close closes the listener. After Drain it does nothing, because the HTTP server closes its listeners again.
func (l *drainingListener) Close() error {
	if l.draining.Load() {
		return nil
	}
	return l.TCPListener.Close()
}

// Accept returns the next connection, or net.ErrClosed after Drain when no connection is left.
func (l *drainingListener) Accept() (net.Conn, error) {
	if !l.draining.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.draining.Load() {
			return c, err
		}
	}
	if l.backlog == nil {
		l.backlog = append(l.drainBacklog(), nil)
	}
	if c := l.backlog[0]; c != nil {
		l.backlog = l.backlog[1:]
		return c, nil
	}
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil, net.ErrClosed
}

// drainBacklog accepts the pending connections and closes the listener.
//
// A connection established between the last accept and the close would be reset. To prevent that, the backlog is
// reduced to one place, which a connection to itself fills before the close. The kernel then ignores further connection
// attempts; their clients retry and are refused.
func (l *drainingListener) drainBacklog() (waiting []net.Conn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var sockets []int
	var placeholder net.Conn
	// The callback returns no error: it ends when no connection is pending.
	_ = raw.Control(func(fd uintptr) {
		// If the backlog can't be reduced, the listener is closed as soon as no connection is pending.
		shortened := unix.Listen(int(fd), 0) == nil
		for range fillAttempts {
			sockets = append(sockets, acceptPending(int(fd))...)
			if !shortened {
				return
			}
			if placeholder, err = net.DialTimeout("tcp", l.Addr().String(), fillTimeout); err == nil {
				return
			}
		}
	})
	// There is no recovery from a failed close.
	_ = l.TCPListener.Close()
	if placeholder != nil {
		// No data was sent on the connection.
		_ = placeholder.Close()
	}
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "caller")
		if c, err := net.FileConn(file); err == nil {
			waiting = append(waiting, c)
		}
		// net.FileConn has duplicated the descriptor.
		_ = file.Close()
	}
	return waiting
}

const (
	// fillAttempts bounds the attempts to fill the backlog; an attempt fails only if a client took the place first.
	fillAttempts = 20
	fillTimeout  = 20 * time.Millisecond
)

// acceptPending accepts all pending connections of a listening socket.
func acceptPending(fd int) (sockets []int) {
	for {
		socket, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return sockets
		}
		sockets = append(sockets, socket)
	}
}
