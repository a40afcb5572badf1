package daemon

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// limitedListener limits the number of open connections. Accept blocks while the limit is reached.
type limitedListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   sync.Once
	// makeRoom closes an idle connection, if there is one.
	makeRoom func()
}

func limitListener(l net.Listener, limit int, makeRoom func()) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, tokens: make(chan struct{}, limit), closed: make(chan struct{}), makeRoom: makeRoom}
}

const (
	// fullShare is the share of the limit from which on each new connection closes an idle one. The rest is for
	// connections that take time to close.
	fullShare = 0.9
	// roomCheckInterval is how often Accept looks for an idle connection to close while the limit is reached.
	roomCheckInterval = 100 * time.Millisecond
)

// Accept waits until the number of connections is below the limit, and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if float64(len(l.tokens)) >= fullShare*float64(cap(l.tokens)) {
		l.makeRoom()
	}
	for reserved := false; !reserved; {
		select {
		case l.tokens <- struct{}{}:
			reserved = true
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(roomCheckInterval):
			l.makeRoom()
		}
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConnection{Conn: connection, release: sync.OnceFunc(func() { <-l.tokens })}, nil
}

// Close closes the listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	release func()
}

// SyscallConn returns the raw connection, which package watcher looks at.
func (c *limitedConnection) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no file descriptor")
	}
	return s.SyscallConn()
}

// Close closes the connection, which no longer counts toward the limit.
func (c *limitedConnection) Close() error {
	c.release()
	return c.Conn.Close()
}
