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

// handshakeTime is the time in which a connection whose set-up has begun is established. Callers are about 8 ms away.
const handshakeTime = 100 * time.Millisecond

// Finish closes the listener and returns when Accept has returned all connections, or after a second.
//
// It first makes the system ignore new attempts to connect and waits until those that have begun are established, so that
// none is left to be reset. A caller whose attempt is ignored repeats it after a second and is then refused.
func (l *finalListener) Finish() {
	if l.finishing.Load() {
		return
	}
	if err := l.ignoreNew(); err == nil {
		time.Sleep(handshakeTime)
	}
	l.finishing.Store(true)
	// The deadline wakes Accept. If it can't be set the next connection does.
	_ = l.SetDeadline(time.Now())
	// Accept is not called while the limit of connections is reached.
	const bound = time.Second
	select {
	case <-l.closed:
	case <-time.After(bound):
	}
}

// ignoreNew attaches a socket filter that drops segments with SYN and without ACK, the first of a connection.
func (l *finalListener) ignoreNew() error {
	const (
		flagsOffset = 13 // of the TCP header
		syn         = 0x02
		ack         = 0x10
		whole       = 0x40000
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: whole},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return attachErr
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

// sweep takes the connections that wait and closes the listener. Between the two no other work is done, since a connection
// that is established in that time is reset.
func (l *finalListener) sweep() (waiting []net.Conn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var sockets []int
	// The callback has no error of its own: accepting ends when no connection waits.
	_ = raw.Control(func(fd uintptr) {
		for {
			socket, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			sockets = append(sockets, socket)
		}
	})
	// Nothing is left to do for a listener that can't be closed.
	_ = l.TCPListener.Close()
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
