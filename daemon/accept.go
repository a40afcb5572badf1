package daemon

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// finalListener accepts all connections that the system has established before it closes. Closing a listener resets those
// that wait for Accept, with the requests that their callers have sent already.
type finalListener struct {
	*net.TCPListener
	finishing atomic.Bool
	closed    chan struct{}
	rest      []net.Conn
}

func newFinalListener(l net.Listener) *finalListener {
	return &finalListener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{})}
}

// Finish closes the listener and returns when Accept has returned all connections, or after a second.
func (l *finalListener) Finish() {
	if l.finishing.Swap(true) {
		return
	}
	// The deadline wakes Accept. If it can't be set the next connection does.
	_ = l.SetDeadline(time.Now())
	// Accept is not called while the limit of connections is reached.
	const bound = time.Second
	select {
	case <-l.closed:
	case <-time.After(bound):
	}
}

// Close closes the listener. After Finish it does nothing, since the HTTP server closes its listeners once more.
func (l *finalListener) Close() error {
	if l.finishing.Load() {
		return nil
	}
	return l.TCPListener.Close()
}

// Accept returns the next connection, and net.ErrClosed after Finish when none is left.
func (l *finalListener) Accept() (net.Conn, error) {
	if !l.finishing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.finishing.Load() {
			return c, err
		}
	}
	if l.rest == nil {
		l.rest = append(l.sweep(), nil)
	}
	if c := l.rest[0]; c != nil {
		l.rest = l.rest[1:]
		return c, nil
	}
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil, net.ErrClosed
}

// sweep takes the connections that wait and closes the listener.
//
// A connection that is established between the last accept and the close would be reset. The queue of the listener is
// therefore shortened to one place, which a connection of its own occupies before the close: the system then ignores
// further attempts to connect, whose callers try again and are refused.
func (l *finalListener) sweep() (waiting []net.Conn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var sockets []int
	var occupant net.Conn
	// The callback has no error of its own: accepting ends when no connection waits.
	_ = raw.Control(func(fd uintptr) {
		// Without the shorter queue the listener is closed as soon as no connection waits.
		shortened := unix.Listen(int(fd), 0) == nil
		for range occupyAttempts {
			sockets = append(sockets, acceptAll(int(fd))...)
			if !shortened {
				return
			}
			if occupant, err = net.DialTimeout("tcp", l.Addr().String(), occupyTimeout); err == nil {
				return
			}
		}
	})
	// Nothing is left to do for a listener that can't be closed.
	_ = l.TCPListener.Close()
	if occupant != nil {
		// The connection carried nothing.
		_ = occupant.Close()
	}
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "caller")
		if c, err := net.FileConn(file); err == nil {
			waiting = append(waiting, c)
		}
		// The connection has its own copy of the descriptor.
		_ = file.Close()
	}
	return waiting
}

const (
	// occupyAttempts bounds the attempts to occupy the queue; each fails only if a caller took the place first.
	occupyAttempts = 20
	occupyTimeout  = 20 * time.Millisecond
)

// acceptAll takes all connections that wait at a listening socket.
func acceptAll(fd int) (sockets []int) {
	for {
		socket, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return sockets
		}
		sockets = append(sockets, socket)
	}
}
