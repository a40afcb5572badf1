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
	// maxRebind bounds the attempts to listen again, since another process may use the port in the meantime.
	maxRebind = 10 * time.Second
)

// Run serves the listener until the context ends, listens again after each crash, and announces the server. It closes
// the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "listener address")
	}
	s.mutex.Lock()
	s.managed = true
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
		if err := s.serveLife(ctx, listener); err != nil || ctx.Err() != nil {
			return err
		}
		if listener, err = s.listenAgain(ctx, address); err != nil || ctx.Err() != nil {
			return err
		}
		s.revive()
	}
}

// serveLife serves until the server crashes or the context ends.
func (s *Server) serveLife(ctx context.Context, listener net.Listener) error {
	s.mutex.Lock()
	l := s.life
	s.mutex.Unlock()
	server := &http.Server{Handler: s.handler, ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(&limitListener{Listener: listener, server: s}) }()
	var err error
	select {
	case <-l.crashed:
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
		if time.Since(began) > restart+maxRebind {
			return nil, errors.Wrap(err, "listen again after a crash")
		}
		wait = rebindInterval
	}
}

// limitListener closes connections beyond the limit at once.
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
			return &limitedConn{Conn: c, cost: l.server.Settings().ConnectCost.Value(), closed: l.release}, nil
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
	cost   time.Duration
	start  sync.Once
	stop   sync.Once
	closed func()
}

// Read reads from the connection. The first read also takes the cost of a new connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.start.Do(func() { time.Sleep(c.cost) })
	return c.Conn.Read(p)
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.stop.Do(c.closed)
	return c.Conn.Close()
}
