package watcher

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

//go:generate go tool stringer -type=Departure -linecomment -output=names.go

// Departure tells how it was noticed that the sender of a request has left.
type Departure uint8

// Departures. NotNoticed means that the sender still waits as far as this process can know.
const (
	NotNoticed       Departure = iota // not_noticed
	ContextCancelled                  // context_cancelled
	ConnectionClosed                  // connection_closed
)

type connKey struct{}

// WithConn returns a context of the requests that arrive on a connection.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// SenderLeft tells whether the sender of a request has left: the context of the request is cancelled, or the connection
// that it arrived on is closed and that has not been read yet. A deadline that has passed is no departure.
func SenderLeft(ctx context.Context) Departure {
	if ctx.Err() == context.Canceled {
		return ContextCancelled
	}
	if c, ok := ctx.Value(connKey{}).(net.Conn); ok && Closed(c) {
		return ConnectionClosed
	}
	return NotNoticed
}

// checkInterval is how often Watch checks a connection.
const checkInterval = 100 * time.Millisecond

// Watch returns a context that is also cancelled when the connection of a request is closed. It is for servers that don't
// read the connection while they handle a request, as net/http while the body is unread or another request is waiting.
// The returned function must be called at the end of the request.
func Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var t *time.Timer
	t = time.AfterFunc(time.Hour, func() {
		if ctx.Err() != nil {
			return
		}
		if Closed(c) {
			cancel()
			return
		}
		t.Reset(checkInterval)
	})
	t.Reset(checkInterval)
	return ctx, func() {
		cancel()
		t.Stop()
	}
}

// Closed reports whether the other end has closed or reset a connection, or this end has closed it. It doesn't wait and
// reads nothing, so it may be called while another goroutine reads. A connection without a file descriptor counts as
// open.
func Closed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control doesn't wait for a read in progress, as Read of the raw connection would.
	err = raw.Control(func(fd uintptr) { closed = hungUp(int(fd)) || atEnd(int(fd)) })
	return err != nil || closed
}

// hungUp reports whether a socket has received the end of its stream or a reset, also behind unread bytes.
func hungUp(fd int) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(list, 0)
	return err == nil && n > 0 && list[0].Revents&ended != 0
}

// atEnd reports whether the next read of a socket would report its end or an error. It serves where the kernel doesn't
// support POLLRDHUP, and can't see an end behind unread bytes.
func atEnd(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return err != unix.EAGAIN && err != unix.EINTR
	}
	return n == 0
}
