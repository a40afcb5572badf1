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
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
