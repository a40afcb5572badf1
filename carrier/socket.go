package carrier

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which an unresponsive connection counts as lost.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the time that sent bytes may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// tcpEstablished is the state TCP_ESTABLISHED of the kernel.
const tcpEstablished = 1

// setKeepAlive makes the operating system drop a connection whose other end is unresponsive. Errors are ignored: the
// system's defaults then apply, which only detect the loss later.
func setKeepAlive(nc net.Conn) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// ConnState describes a connection at the end of an exchange that was given up.
type ConnState struct {
	// Reused means that the connection had carried another request.
	Reused bool
	// Acknowledged is how long ago the kernel of the other end last acknowledged something, and Received how long ago the
	// last data arrived. Zero means unknown.
	Acknowledged, Received time.Duration
}

func connState(nc net.Conn, reused bool) ConnState {
	state := ConnState{Reused: reused}
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return state
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return state
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		state.Acknowledged = time.Duration(info.Last_ack_recv) * time.Millisecond
		state.Received = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	return state
}

// resetConn closes a connection with a reset. An ordinary close would go on delivering what the kernel and a cut link
// still hold, long after the sender of the request has left.
func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Without it, the connection is closed in the ordinary way.
	}
	_ = nc.Close()
}

// isReusable reports whether an idle connection is open and has no unread bytes. Unread bytes are a second response to
// an earlier request, or the end of the connection.
func isReusable(nc net.Conn) bool {
	if _, isTCP := nc.(*net.TCPConn); !isTCP {
		return true
	}
	_, err := peek(nc)
	return err == syscall.EAGAIN
}

// isEstablished reports whether neither end has closed a connection. Bytes that were not read don't matter.
func isEstablished(nc net.Conn) bool {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return err == nil && established
}

// hasUnreadBytes reports whether bytes have arrived on a connection that were not read.
func hasUnreadBytes(nc net.Conn) bool {
	n, err := peek(nc)
	return err == nil && n > 0
}

// peek returns the number of bytes, one at most, that a read would return now, or its error.
func peek(nc net.Conn) (int, error) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
