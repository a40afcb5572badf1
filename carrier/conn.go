package carrier

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"hibiscusline/timer"
	"hibiscusline/watcher"
)

const (
	readBuffer = 4 << 10
	// maxPipelined bounds the unanswered requests of one connection.
	maxPipelined = 16
	// lingerTime is how long a closing connection still reads, so that unread bytes don't reset it before the caller
	// has read the last response.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds the time to write one response to a caller that doesn't read.
	writeTimeout = 15 * time.Second
)

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// conn is one caller's connection. Its requests are read by serve; each is handled by a goroutine that waits until the
// earlier responses are written.
type conn struct {
	server  *Server
	net     net.Conn
	limited limitedReader
	reader  *bufio.Reader
	remote  netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	// pipeline holds a value for each further request that may be unanswered.
	pipeline chan struct{}

	// idleElement is the connection's element in the server's list of idle ones, and idleFrom the time from which on it
	// counts as idle. The server's mutex guards both.
	idleElement *list.Element
	idleFrom    time.Duration

	mu      sync.Mutex
	pending int
	// reading means that the first byte of a request was read and the request is not pending yet.
	reading bool
	closing bool
	// lastRequest means that the connection is closed after the next response, or now if no request has arrived.
	lastRequest bool
	// opened is when the connection was accepted, and used that a request has begun to arrive.
	opened time.Time
	used   bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, limited: limitedReader{source: nc}, pipeline: make(chan struct{}, maxPipelined), opened: time.Now()}
	for range maxPipelined {
		c.pipeline <- struct{}{}
	}
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(watcher.WithConn(context.Background(), nc))
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = a.AddrPort()
	}
	setKeepAlive(nc)
	return c
}

// serve reads requests and starts a goroutine for each, until no more can be read. Then it closes the connection.
func (c *conn) serve() {
	previous := closedChannel
	for {
		q, failure := c.readRequest()
		if q == nil {
			c.finish(previous, failure)
			return
		}
		read := timer.Now()
		if c.server.config.AllowPipelining == nil || !c.server.config.AllowPipelining(q) {
			c.await(previous)
		}
		c.await(c.pipeline)
		q.Waited = timer.Now() - read
		if !c.startRequest() {
			c.server.config.Budget.release(q.reserved)
			c.finish(previous, nil)
			return
		}
		done := make(chan struct{})
		go c.respond(q, previous, done)
		previous = done
	}
}

// departureCheckInterval is how often a connection that nobody reads is checked for the departure of its caller.
const departureCheckInterval = 100 * time.Millisecond

// await receives from a channel that earlier requests close or send to at their end. Nobody reads the connection
// meanwhile, so it is checked for the departure of the caller, which cancels these requests.
func (c *conn) await(ready <-chan struct{}) {
	select {
	case <-ready:
		return
	default:
	}
	t := time.NewTicker(departureCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ready:
			return
		case <-t.C:
			if watcher.Closed(c.net) {
				c.cancel()
			}
		}
	}
}

// startRequest counts a request as in flight. It reports false if an earlier response closes the connection or the
// caller has left.
func (c *conn) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing || c.ctx.Err() != nil {
		return false
	}
	c.pending++
	c.server.inFlight.Add(1)
	c.setReadDeadline(time.Time{})
	return true
}

// setReadDeadline sets the read deadline. It fails only on a closed connection, which the next read reports.
func (c *conn) setReadDeadline(t time.Time) { _ = c.net.SetReadDeadline(t) }

// finish closes the connection after all earlier requests are answered. A non-nil failure is written as the last
// response.
func (c *conn) finish(previous chan struct{}, failure *Response) {
	c.await(previous)
	c.mu.Lock()
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	if failure != nil && !failure.Abort && !closing {
		c.write(failure, http.MethodGet, true)
	}
	c.closeGracefully()
}

// closeGracefully closes the connection. It first reads and discards for lingerTime, because closing a connection with
// unread bytes resets it and the caller may lose the last response.
func (c *conn) closeGracefully() {
	c.cancel()
	if t, ok := c.net.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTime))
		c.limited.remaining = 1 << 20
		_, _ = io.Copy(io.Discard, c.reader) // The content is irrelevant.
	}
	_ = c.net.Close()
}

// respond handles a request and writes the response after previous is closed, that is, after the earlier responses
// are written. It closes done at its end.
func (c *conn) respond(q *Request, previous, done chan struct{}) {
	wantsClose := q.Header.Get("Connection") == "close"
	stripHopByHopFields(q.Header)
	r := c.handle(q)
	<-previous
	if r == nil || r.Abort {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.cancel()
		_ = c.net.Close()
	} else {
		c.write(r, q.Method, c.shouldClose(wantsClose || r.Close))
	}
	c.mu.Lock()
	c.pending--
	idle := c.pending == 0 && !c.closing && !c.reading
	if idle {
		c.setReadDeadline(c.idleEnd())
	}
	closing := c.closing
	c.mu.Unlock()
	if idle {
		c.server.markIdle(c, timer.Now())
	}
	c.server.config.Budget.release(q.reserved)
	c.server.inFlight.Add(-1)
	c.pipeline <- struct{}{}
	close(done)
	if closing {
		c.setReadDeadline(time.Now())
	}
}

// handle calls the handler. A panic ends the connection without an answer, and no other.
func (c *conn) handle(q *Request) (r *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			r = &Response{Abort: true}
			if c.server.config.OnPanic != nil {
				c.server.config.OnPanic(cause, debug.Stack())
			}
		}
	}()
	return c.server.config.Handle(c.ctx, q)
}

// shouldClose reports whether the response that is written next is the connection's last. A response that further
// requests of the connection wait for keeps it open, since those requests have already been read.
func (c *conn) shouldClose(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (wanted || c.lastRequest || c.server.keepAlivesDisabled.Load()) && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

func (c *conn) write(r *Response, method string, closing bool) {
	buffers := net.Buffers{encodeResponse(r, method, closing)}
	if bodyAllowed(r.Status) && method != http.MethodHead && len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // On a closed connection the write fails.
	if _, err := buffers.WriteTo(c.net); err != nil {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.cancel()
	}
}

// closeIfIdle closes a connection that no request has arrived on. A request that has arrived and isn't read yet is
// answered first, and a new connection has newConnTime to send its first one.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.reading {
		c.lastRequest = true
		c.setReadDeadline(c.idleEnd())
	}
}

// newConnTime is how long a connection may take to send its first request although it is to be closed.
const newConnTime = 400 * time.Millisecond

// idleEnd returns until when the connection may wait for a request. The caller holds mu.
func (c *conn) idleEnd() time.Time {
	switch {
	case !c.lastRequest:
		return time.Now().Add(c.server.config.Limits().IdleTimeout)
	case !c.used:
		return c.opened.Add(newConnTime)
	}
	return time.Now()
}

// awaitRequest waits for the first byte of a request. It reports false if none comes.
func (c *conn) awaitRequest() bool {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && hasUnreadBytes(c.net) {
		// The deadline passed without a look at what has arrived.
		c.setReadDeadline(time.Now().Add(c.server.config.Limits().HeaderTimeout))
		_, err = c.reader.Peek(1)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	return err == nil
}

// beginReading records that the first byte of a request was read. It reports false if the connection is closing.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	c.reading, c.used = !c.closing, true
	reading := c.reading
	c.mu.Unlock()
	c.server.markBusy(c)
	return reading
}

func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
