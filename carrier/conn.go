package carrier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	readBuffer = 4 << 10
	// maxOverlap bounds the requests of one connection that are unanswered at the same time.
	maxOverlap = 16
	// lingerTime is how long a closing connection still reads, so that unread bytes don't reset the last response.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds the writing of one response to a caller that doesn't read.
	writeTimeout = 15 * time.Second
)

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// conn is one caller's connection. Its reader runs in serve; each request is answered by a goroutine that waits for its
// turn to write.
type conn struct {
	server  *Server
	net     net.Conn
	limited limitedReader
	reader  *bufio.Reader
	remote  netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	overlap chan struct{}

	mu      sync.Mutex
	pending int
	closing bool
}

// limitedReader bounds the bytes of a header. It notes what stopped it, since the parser may report an incomplete line as a
// malformed one.
type limitedReader struct {
	from     io.Reader
	left     int64
	reached  bool
	timedOut bool
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		r.reached = true
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.from.Read(p)
	r.left -= int64(n)
	r.timedOut = r.timedOut || errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, limited: limitedReader{from: nc}, overlap: make(chan struct{}, maxOverlap)}
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = a.AddrPort()
	}
	setKeepAlive(nc)
	return c
}

func (c *conn) serve() {
	turn := closedChannel
	for {
		q, failure := c.read()
		if q == nil {
			c.end(turn, failure)
			return
		}
		if c.server.config.AllowPipelining == nil || !c.server.config.AllowPipelining(q) {
			<-turn
		}
		c.overlap <- struct{}{}
		if !c.begin() {
			c.end(turn, nil)
			return
		}
		done := make(chan struct{})
		go c.answer(q, turn, done)
		turn = done
	}
}

// begin counts a request as being answered. It reports false when a response already closes the connection.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.server.busy.Add(1)
	c.deadline(time.Time{})
	return true
}

// deadline sets the end of the current read. An error means that the connection is closed, which the read reports.
func (c *conn) deadline(t time.Time) { _ = c.net.SetReadDeadline(t) }

// end closes the connection once all earlier requests are answered. The failure, if any, is the last response.
func (c *conn) end(turn chan struct{}, failure *Response) {
	<-turn
	c.mu.Lock()
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	if failure != nil && !failure.Abort && !closing {
		c.write(failure, http.MethodGet, true)
	}
	c.shut()
}

// shut closes the connection. It reads on for a while, because closing a connection with unread bytes resets it and the
// caller may lose the last response.
func (c *conn) shut() {
	c.cancel()
	if t, ok := c.net.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.deadline(time.Now().Add(lingerTime))
		c.limited.left = 1 << 20
		_, _ = io.Copy(io.Discard, c.reader) // The caller's bytes are of no interest any more.
	}
	_ = c.net.Close()
}

func (c *conn) answer(q *Request, turn, done chan struct{}) {
	wantsClose := q.Header.Get("Connection") == "close"
	stripHopFields(q.Header)
	r := c.server.config.Handle(c.ctx, q)
	<-turn
	if r == nil || r.Abort {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.cancel()
		_ = c.net.Close()
	} else {
		c.write(r, q.Method, c.decideClose(wantsClose || r.Close))
	}
	c.mu.Lock()
	c.pending--
	if c.pending == 0 && !c.closing {
		c.deadline(time.Now().Add(c.server.config.Limits().IdleTimeout))
	}
	closing := c.closing
	c.mu.Unlock()
	c.server.busy.Add(-1)
	<-c.overlap
	close(done)
	if closing {
		c.deadline(time.Now())
	}
}

// decideClose reports whether the response that is written now is the connection's last. A response with other requests of
// the connection behind it keeps the connection open, since those requests have been read.
func (c *conn) decideClose(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (wanted || c.server.stopping.Load()) && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

func (c *conn) write(r *Response, method string, closing bool) {
	buffers := net.Buffers{encodeResponse(r, method, closing)}
	if bodyAllowed(r.Status) && method != http.MethodHead && len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // A closed connection fails the write.
	if _, err := buffers.WriteTo(c.net); err != nil {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.cancel()
	}
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.closing = true
		c.deadline(time.Now())
	}
}

func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
