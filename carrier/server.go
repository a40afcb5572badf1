package carrier

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds the request line and the header fields.
	HeaderBytes int
	// BodyBytes bounds the body.
	BodyBytes int
	// HeaderTimeout is the time from the first byte of a request to the end of its header, and the longest pause in a body.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection may stay without a request.
	IdleTimeout time.Duration
}

// Handler answers one request. The context ends when the caller's connection does. A nil response aborts the connection.
type Handler func(context.Context, *Request) *Response

// ServerConfig configures a Server.
type ServerConfig struct {
	Limits func() Limits
	Handle Handler
	// AllowPipelining reports whether a request may start while earlier ones of its connection are unanswered. Nil means never.
	AllowPipelining func(*Request) bool
	// MaxConnections bounds the open connections; further ones wait to be accepted. Zero means no bound.
	MaxConnections int
}

// Server serves requests on kept connections. Responses leave in the order of the requests.
type Server struct {
	config   ServerConfig
	stopping atomic.Bool
	busy     atomic.Int64
	slots    chan struct{}
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// NewServer returns a Server without listeners.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, conns: map[*conn]struct{}{}}
	if c.MaxConnections > 0 {
		s.slots = make(chan struct{}, c.MaxConnections)
	}
	return s
}

// acceptPause is the wait after a failed accept, for example for lack of descriptors.
const acceptPause = 10 * time.Millisecond

// Serve accepts connections until the listener is closed, and returns the listener's error.
func (s *Server) Serve(l net.Listener) error {
	for {
		if s.slots != nil {
			s.slots <- struct{}{}
		}
		nc, err := l.Accept()
		if err != nil {
			s.release()
			if ne, ok := err.(net.Error); ok && ne.Timeout() || isTemporary(err) {
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		go s.serveConn(nc)
	}
}

func (s *Server) release() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) serveConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.release()
}

// InFlight returns the number of requests that were read and are not answered yet.
func (s *Server) InFlight() int { return int(s.busy.Load()) }

// DisableKeepAlives makes every further response close its connection. Connections stay open until then.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle closes the connections that wait for a request. It is for the end of a stop, after the listener was closed.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}
