package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed, unless the other end announces a shorter one.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections per address.
	MaxIdle int
	// MaxBody bounds the body of a response, in bytes.
	MaxBody int
	// Budget bounds the memory of large response bodies. Nil means no bound beyond MaxBody.
	Budget *Budget
	// MayDial returns an error if no connection may be opened now, or if one that was just opened may not be used. It is
	// told whether the pool has a connection to the address, idle or in use, that the other end has not closed. Nil allows
	// all.
	MayDial func(open bool) error
	// OnAllClosed is called when the other end has closed a connection, and no open one is left. It is called before MayDial
	// is asked for the next connection. It needs MayDial, and may be nil.
	OnAllClosed func()
	// Matches reports whether a response belongs to a request. First means that the connection has carried no other
	// request, whose response it could be. Responses that don't belong to it are discarded. Nil accepts all.
	Matches func(q *Request, h http.Header, first bool) bool
}

// ExchangeError is the error of a failed exchange.
type ExchangeError struct {
	// Sent is false if no byte of the request was sent, so that the request can't have run.
	Sent  bool
	Cause error
	// Conn describes the connection of a request that was sent.
	Conn ConnState
}

// Error tells whether the request was sent, and the cause.
func (e *ExchangeError) Error() string {
	if e.Sent {
		return fmt.Sprintf("exchange failed after the request was sent: %v", e.Cause)
	}
	return fmt.Sprintf("request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// ErrMalformedResponse is the cause of an exchange whose response isn't HTTP or is too large, or that received responses to
// other requests instead of its own.
var ErrMalformedResponse = errors.New("malformed response")

// SenderLeftError is the cause of an exchange that wasn't started because the sender of the request has left.
type SenderLeftError struct{ Noticed watcher.Departure }

// Error tells how it was noticed that the sender has left.
func (e *SenderLeftError) Error() string {
	return "the sender of the request has left: " + e.Noticed.String()
}

// Pool sends requests over persistent connections. It is safe for concurrent use.
type Pool struct {
	config PoolConfig
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*poolConn
	opened uint64
	live   liveConns
}

// poolConn is one connection of a Pool.
type poolConn struct {
	net net.Conn
	// stream is net, whose reads also report an abort that a write learned of first.
	stream  net.Conn
	limited limitedReader
	head    headReader
	reader  *bufio.Reader
	// used means that the connection has carried a request.
	used bool
	// expires is the time after which the other end may close the idle connection.
	expires time.Duration
}

// NewPool returns a Pool without connections.
func NewPool(c PoolConfig) *Pool {
	return &Pool{
		config: c, dialer: net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}, idle: map[netip.AddrPort][]*poolConn{},
		live: liveConns{conns: map[netip.AddrPort]map[*poolConn]struct{}{}},
	}
}

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Exchange sends a request once and returns the response. If ctx ends first, it resets the connection, which tells the
// other end to stop and drops what hasn't arrived yet. A request whose sender has left, as package watcher tells, isn't
// sent. Errors are of type *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, to netip.AddrPort, q *Request) (*Response, error) {
	open := p.getConn
	if q.NewConn {
		open = p.dial
	}
	c, err := open(ctx, to)
	if err != nil {
		return nil, &ExchangeError{Cause: err}
	}
	if err := checkSender(ctx, q); err != nil {
		p.putConn(to, c)
		return nil, &ExchangeError{Cause: err}
	}
	if q.Detached {
		detached, cancel := detach(ctx)
		defer cancel()
		ctx = detached
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	x := exchange{pool: p, conn: c, request: q, first: !c.used}
	c.used = true
	r, reusable, err := x.roundTrip()
	if !stop() {
		reusable = false
	}
	state := ConnState{Reused: !x.first}
	if err != nil || !reusable {
		p.checkLoss(to)
		p.forget(to, c)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		err, state = ctx.Err(), connState(c.net, !x.first)
		resetConn(c.net)
	case err != nil || !reusable:
		_ = c.net.Close()
	default:
		p.putConn(to, c)
	}
	if err != nil {
		return nil, &ExchangeError{Sent: x.sent, Cause: err, Conn: state}
	}
	return r, nil
}

// ErrTooLate is the cause of an exchange that wasn't started because its time to be sent has passed.
var ErrTooLate = errors.New("the latest time to send the request has passed")

// checkSender returns an error if the sender of a request has left or the request may not be sent any more.
func checkSender(ctx context.Context, q *Request) error {
	if q.SendBy != 0 && timer.Now() > q.SendBy {
		return ErrTooLate
	}
	if d := watcher.SenderLeft(ctx); d != watcher.NotNoticed {
		return &SenderLeftError{Noticed: d}
	}
	if q.MaySend != nil {
		if err := q.MaySend(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// detach returns a context that ends at the deadline of ctx, but not when ctx is cancelled.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// getConn returns an idle connection that is still usable, or else opens one.
func (p *Pool) getConn(ctx context.Context, to netip.AddrPort) (*poolConn, error) {
	for {
		p.mu.Lock()
		list := p.idle[to]
		if len(list) == 0 {
			p.mu.Unlock()
			return p.dial(ctx, to)
		}
		c := list[len(list)-1]
		p.idle[to] = list[:len(list)-1]
		p.mu.Unlock()
		expired := timer.Now() >= c.expires
		if !expired && c.reader.Buffered() == 0 && isReusable(c.net) {
			return c, nil
		}
		if !expired {
			p.checkLoss(to)
		}
		p.forget(to, c)
		_ = c.net.Close()
	}
}

func (p *Pool) dial(ctx context.Context, to netip.AddrPort) (*poolConn, error) {
	if err := p.checkDial(to); err != nil {
		return nil, err
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if err := p.checkDial(to); err != nil {
		_ = nc.Close()
		return nil, err
	}
	setKeepAlive(nc)
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	stream := ReportAborts(nc)
	c := &poolConn{net: nc, stream: stream, limited: limitedReader{source: stream}, expires: timer.Now() + p.config.IdleTimeout}
	c.head.source = &c.limited
	c.reader = bufio.NewReaderSize(&c.head, readBuffer)
	p.track(to, c)
	return c, nil
}

// putConn adds a connection to the idle ones, and closes those that have expired.
func (p *Pool) putConn(to netip.AddrPort, c *poolConn) {
	now := timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	expired := 0
	for expired < len(list) && list[expired].expires <= now {
		p.forget(to, list[expired])
		_ = list[expired].net.Close()
		expired++
	}
	list = list[expired:]
	if len(list) >= p.config.MaxIdle {
		p.forget(to, c)
		_ = c.net.Close()
	} else {
		list = append(list, c)
	}
	p.idle[to] = list
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		p.forget(to, c)
		_ = c.net.Close()
	}
	delete(p.idle, to)
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *poolConn
	request *Request
	// first means that the connection has carried no other request.
	first bool
	sent  bool
}

// maxInlineBody is the size in bytes of the largest body that is written before the response is read. Larger ones are
// written concurrently, since the other end may respond without reading them.
const maxInlineBody = 16 << 10

// roundTrip sends the request and reads the response. The connection is reusable if it is open, the whole request was
// written and nothing is left to read.
func (x *exchange) roundTrip() (r *Response, reusable bool, err error) {
	head, body := encodeRequest(x.request)
	written := closedChannel
	if len(body) <= maxInlineBody {
		n, err := x.conn.stream.Write(append(head, body...))
		x.sent = n > 0
		if err != nil {
			return nil, false, errors.Wrap(err, "write request")
		}
	} else {
		x.sent = true
		written = make(chan struct{})
		go func() {
			buffers := net.Buffers{head, body}
			if _, err := buffers.WriteTo(x.conn.stream); err == nil {
				close(written)
			}
		}()
	}
	r, reusable, err = x.readResponse()
	select {
	case <-written:
	default:
		reusable = false
	}
	return r, reusable, err
}

const (
	// maxResponseHeaderBytes bounds the status line and the header fields of a response.
	maxResponseHeaderBytes = 64 << 10
	// unbudgetedBodyBytes is the size up to which a response body takes nothing from the Budget, so that small responses
	// are read also while a faulty server fills the budget.
	unbudgetedBodyBytes = 64 << 10
	// firstBodyBytes is the first size of the memory for a body. The length that a server claims takes none.
	firstBodyBytes = 4 << 10
)

// maxResponses bounds the responses that are read for one request, including interim ones (1xx) and those to other
// requests.
const maxResponses = 4

func (x *exchange) readResponse() (r *Response, reusable bool, err error) {
	for range maxResponses {
		x.conn.beginHead()
		if err := checkStatusLine(x.conn.reader); err != nil {
			return nil, false, err
		}
		h, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if x.conn.limited.limitReached {
			return nil, false, errors.Wrap(ErrMalformedResponse, "response header too large")
		}
		if err != nil {
			return nil, false, errors.Wrap(err, "read response")
		}
		if err := CheckResponse(h); err != nil {
			return nil, false, err
		}
		if x.conn.head.folded {
			return nil, false, errors.Wrap(ErrMalformedResponse, "folded line in the header")
		}
		if h.StatusCode < 200 {
			continue
		}
		body, err := x.readBody(h)
		if err != nil {
			return nil, false, err
		}
		if x.pool.config.Matches != nil && !x.pool.config.Matches(x.request, h.Header, x.first) {
			if h.Close {
				return nil, false, errors.Wrap(ErrMalformedResponse, "response belongs to another request")
			}
			continue
		}
		x.setExpiry(h.Header)
		reusable = !h.Close && h.ProtoAtLeast(1, 1) && x.conn.reader.Buffered() == 0
		stripHopByHopFields(h.Header)
		return &Response{Status: h.StatusCode, Header: h.Header, Body: body}, reusable, nil
	}
	return nil, false, errors.Wrap(ErrMalformedResponse, "too many responses that do not answer the request")
}

// beginHead prepares to read the head of a response.
func (c *poolConn) beginHead() {
	c.limited.remaining = maxResponseHeaderBytes
	read, _ := c.reader.Peek(c.reader.Buffered()) // Buffered bytes can always be peeked at.
	c.head.begin(read)
}

func (x *exchange) readBody(h *http.Response) ([]byte, error) {
	x.conn.limited.remaining = 2*int64(x.pool.config.MaxBody) + readBuffer
	body := make([]byte, 0, firstBodyBytes)
	reserved := 0
	defer func() { x.pool.config.Budget.release(reserved) }()
	for {
		if len(body) == cap(body) {
			size := grownSize(cap(body), h.ContentLength)
			if more := size - unbudgetedBodyBytes - reserved; more > 0 {
				if !x.pool.config.Budget.reserveFair(reserved, more) {
					return nil, errors.Wrap(ErrMalformedResponse, "large responses exceed the memory for them")
				}
				reserved += more
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 && x.request.OnProgress != nil && h.StatusCode < http.StatusMultipleChoices {
			x.request.OnProgress()
		}
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "read response body")
		case len(body) > x.pool.config.MaxBody:
			return nil, errors.Wrap(ErrMalformedResponse, "response body too large")
		}
	}
}

// keepAliveMargin is subtracted from the other end's idle timeout, so that a request never races with the close of its
// connection.
const keepAliveMargin = 500 * time.Millisecond

// setExpiry sets how long the connection may stay idle, according to the Keep-Alive header field.
func (x *exchange) setExpiry(h http.Header) {
	limit := x.pool.config.IdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	x.conn.expires = timer.Now() + limit
}
