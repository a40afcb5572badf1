// Package acceptor closes listeners gracefully: it accepts all connections that clients have opened before.
package acceptor

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts all connections that clients have opened before it closes. Closing a listener resets the
// connections in its backlog and those whose handshake isn't complete, and the requests that clients have already sent on
// them are lost.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// closed is closed when the listener has closed after Drain.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a Listener for a listener of Listen.
func New(l net.Listener) *Listener {
	return &Listener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{})}
}

const (
	// handshakeTime is the time without a new connection after which no handshake is taken to be under way. A client
	// counts a connection as open one network delay before the kernel here does.
	handshakeTime = 50 * time.Millisecond
	// maxDrainTime bounds the wait of Drain. Accept isn't called while the connection limit is reached.
	maxDrainTime = time.Second
)

// Drain rejects new connections, and closes the listener when Accept has returned those that clients have opened before,
// or after maxDrainTime.
func (l *Listener) Drain() {
	// If the filter can't be set, connections that are opened during the drain are accepted, or reset by the close.
	_ = l.dropHandshakes()
	if l.draining.Swap(true) {
		return
	}
	_ = l.SetDeadline(time.Now().Add(handshakeTime)) // If this fails, maxDrainTime ends the wait.
	select {
	case <-l.closed:
	case <-time.After(maxDrainTime):
		l.closeDrained()
	}
}

// Close closes the listener. After Drain it does nothing, because the HTTP server closes its listeners again.
func (l *Listener) Close() error {
	if l.draining.Load() {
		return nil
	}
	return l.TCPListener.Close()
}

// Accept returns the next connection, or net.ErrClosed after Drain when no connection is left.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			_ = l.SetDeadline(time.Now().Add(handshakeTime)) // It fails only on a closed listener, which Accept reports.
		}
		c, err := l.TCPListener.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return c, err
		case !l.hasBacklog():
			l.closeDrained()
			return nil, net.ErrClosed
		}
	}
}

// hasBacklog reports whether a connection waits to be accepted. Accept doesn't look for one after its deadline, which a
// process that is short of CPU time may call it after.
func (l *Listener) hasBacklog() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(list, 0)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

func (l *Listener) closeDrained() {
	l.closeOnce.Do(func() {
		_ = l.TCPListener.Close() // There is no recovery from a failed close.
		close(l.closed)
	})
}

// dropHandshakes makes the kernel ignore new connection attempts, and go on with the handshakes that have begun. Clients
// repeat an ignored attempt and are refused once the listener is closed. Connections inherit the filter, which passes all
// their segments.
func (l *Listener) dropHandshakes() error {
	const (
		flagsOffset = 13 // Offset of the flags in a TCP header, where the kernel starts the filter.
		synFlag     = 0x02
		passAll     = 0xffffffff
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, setErr)
}

// Listen listens without Multipath TCP, whose sockets support no filter.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}
