package carrier

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusline/timer"
)

// Limits bounds the requests of a caller.
type Limits struct {
	// HeaderBytes bounds the size of the request line and the header fields.
	HeaderBytes int
	// BodyBytes bounds the size of the body.
	BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header, and each pause within a
	// body.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection may stay open without a request.
	IdleTimeout time.Duration
	// Provisional means that newer limits may be in force already, so that a larger request is refused for now and not for good.
	Provisional bool
}

// Handler handles one request. The context ends when the caller's connection does. A nil response aborts the
// connection.
type Handler func(context.Context, *Request) *Response

// ServerConfig configures a Server.
type ServerConfig struct {
	Limits func() Limits
	Handle Handler
	// OnPanic is called with the cause and the stack of a panic of Handle, which ends only the connection of its request.
	// It may be nil.
	OnPanic func(cause any, stack []byte)
	// AllowPipelining reports whether a request may be handled before earlier requests of its connection are answered.
	// Nil means never.
	AllowPipelining func(*Request) bool
	// MaxConnections bounds the open connections; further ones wait to be accepted. Before that, idle connections are
	// closed to make room. Zero means unlimited.
	MaxConnections int
	// Budget bounds the memory of large request bodies. Nil means no bound beyond Limits.
	Budget *Budget
	// RefuseBody returns the response to a request whose body exceeds the budget, given the request's header. The
	// connection is closed after it. Nil selects a plain response with status 503.
	RefuseBody func(http.Header) *Response
}

// Server serves requests on persistent connections. Responses are written in the order of the requests.
type Server struct {
	config             ServerConfig
	keepAlivesDisabled atomic.Bool
	inFlight           atomic.Int64
	connSlots          chan struct{}
	mu                 sync.Mutex
	conns              map[*conn]struct{}
	// idle holds the connections that wait for a request, the longest waiting one first.
	idle list.List
}

// NewServer returns a Server. Call Serve for each listener.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, conns: map[*conn]struct{}{}}
	if c.MaxConnections > 0 {
		s.connSlots = make(chan struct{}, c.MaxConnections)
	}
	return s
}

// acceptPause is the wait after a failed accept, for example when the process has run out of file descriptors.
const acceptPause = 10 * time.Millisecond

// Serve accepts connections until the listener is closed, and returns the listener's error.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.reserve()
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

const (
	// fullShare is the share of MaxConnections from which on each new connection closes the longest idle one. The rest is
	// for connections that take time to close.
	fullShare = 0.9
	// firstRequestTime is how long a new connection may stay silent before it counts as idle.
	firstRequestTime = time.Second
	// roomCheckInterval is how often a new connection that waits for a place looks for an idle one to close.
	roomCheckInterval = 100 * time.Millisecond
)

// reserve takes a place for a new connection.
func (s *Server) reserve() {
	if s.connSlots == nil {
		return
	}
	if float64(len(s.connSlots)) >= fullShare*float64(cap(s.connSlots)) {
		s.closeLongestIdle()
	}
	for {
		select {
		case s.connSlots <- struct{}{}:
			return
		case <-time.After(roomCheckInterval):
			s.closeLongestIdle()
		}
	}
}

// closeLongestIdle closes the connection that has been idle for longest, if there is one. Callers keep connections open
// that they may not use again, and a caller that waits for a place isn't read.
func (s *Server) closeLongestIdle() {
	if c := s.takeLongestIdle(); c != nil {
		c.closeIfIdle()
	}
}

func (s *Server) takeLongestIdle() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := timer.Now()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.idleFrom <= now {
			s.idle.Remove(e)
			c.idleElement = nil
			return c
		}
	}
	return nil
}

// markIdle records that a connection waits for a request and counts as idle from a time on, and markBusy that it doesn't
// wait any more.
func (s *Server) markIdle(c *conn, from time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.idleElement != nil {
		s.idle.Remove(c.idleElement)
	}
	c.idleElement, c.idleFrom = s.idle.PushBack(c), from
}

func (s *Server) markBusy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.idleElement != nil {
		s.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

func (s *Server) release() {
	if s.connSlots != nil {
		<-s.connSlots
	}
}

func (s *Server) serveConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.markIdle(c, timer.Now()+firstRequestTime)
	c.serve()
	s.markBusy(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.release()
}

// InFlight returns the number of requests that were read and are not yet answered.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CancelRequests ends the contexts of all requests, whose handlers then return what they can tell the caller.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
	}
}

// DisableKeepAlives makes every further response close its connection. Connections stay open until then.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// CloseIdle closes the connections without unanswered requests. Call it at the end of a graceful stop, after the
// listener is closed. Requests that have arrived are still answered, so the stop must wait until no connection is left.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}
