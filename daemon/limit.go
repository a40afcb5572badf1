package daemon

import (
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// limitedListener limits the number of open connections. Accept blocks while the limit is reached.
type limitedListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitListener(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, tokens: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the number of connections is below the limit, and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
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
