package emulator

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	rebindInterval = 20 * time.Millisecond
	// maxRebindTime bounds the attempts to listen again, since another process may have taken the port in the meantime.
	maxRebindTime = 10 * time.Second
)

// Run serves the listener until the context ends, listens again on the same address after each crash, and announces the
// server. It closes the listener. It returns an error if it can't serve or listen again.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "parse listener address")
	}
	s.mutex.Lock()
	s.ownsListener = true
	if !s.address.IsValid() {
		s.address = address
	}
	s.mutex.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var announcer sync.WaitGroup
	announcer.Go(func() { s.Announce(ctx) })
	defer announcer.Wait()
	defer cancel()
	for {
		if err := s.serveUntilCrash(ctx, listener); err != nil || ctx.Err() != nil {
			return err
		}
		if listener, err = s.listenAgain(ctx, address); err != nil || ctx.Err() != nil {
			return err
		}
		s.restart()
	}
}

// serveUntilCrash serves until the server crashes or the context ends.
func (s *Server) serveUntilCrash(ctx context.Context, listener net.Listener) error {
	s.mutex.Lock()
	inc := s.incarnation
	s.mutex.Unlock()
	server := &http.Server{Handler: s.handler, ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(&limitListener{Listener: listener, server: s}) }()
	var err error
	select {
	case <-inc.crashed:
	case <-ctx.Done():
	case err = <-done:
		return errors.Wrap(err, "serve")
	}
	server.Close()
	<-done
	return nil
}

func (s *Server) listenAgain(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	s.mutex.Lock()
	restart := s.restartTime()
	s.mutex.Unlock()
	wait := restart
	for began := time.Now(); ; {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, nil
		}
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			return listener, nil
		}
		if time.Since(began) > restart+maxRebindTime {
			return nil, errors.Wrap(err, "listen again after a crash")
		}
		wait = rebindInterval
	}
}

// limitListener closes connections beyond the limit right after accepting them.
type limitListener struct {
	net.Listener
	server *Server
	mutex  sync.Mutex
	open   int
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.reserve() {
			l.server.count(func(c *ServerCounts) { c.Connections++ })
			return &limitedConn{Conn: c, connectCost: l.server.Settings().ConnectCost.Value(), onClose: l.release}, nil
		}
		l.server.count(func(c *ServerCounts) { c.ConnectionsRefused++ })
		c.Close()
	}
}

func (l *limitListener) reserve() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.server.config.MaxConnections {
		return false
	}
	l.open++
	return true
}

func (l *limitListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

type limitedConn struct {
	net.Conn
	connectCost time.Duration
	firstRead   sync.Once
	closeOnce   sync.Once
	onClose     func()
}

// Read reads from the connection. The first read is delayed by the cost of a new connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.connectCost) })
	return c.Conn.Read(p)
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}
