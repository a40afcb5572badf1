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
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed, if its other end names no shorter one.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections to one address.
	MaxIdle int
	// MaxBody bounds the body of a response.
	MaxBody int
	// Matches reports whether a response answers a request. Responses that don't are skipped. Nil accepts all.
	Matches func(*Request, http.Header) bool
}

// ExchangeError is the failure of an exchange.
type ExchangeError struct {
	// Started is false when no byte of the request left, so that the request can't have run.
	Sent  bool
	Cause error
}

// Error says whether the request was sent, and the cause.
func (e *ExchangeError) Error() string {
	if e.Sent {
		return fmt.Sprintf("exchange failed after the request was sent: %v", e.Cause)
	}
	return fmt.Sprintf("request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// ErrMalformedResponse says that the other end sent bytes that are no response, or too many.
var ErrMalformedResponse = errors.New("malformed response")

// Pool sends requests over kept connections. It is safe for concurrent use.
type Pool struct {
	config PoolConfig
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*link
	opened uint64
}

// link is one connection of a Pool.
type link struct {
	net    net.Conn
	reader *bufio.Reader
	// expires is the time after which the other end may close the unused connection.
	expires time.Duration
}

// NewPool returns a Pool without connections.
func NewPool(c PoolConfig) *Pool {
	return &Pool{config: c, dialer: net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}, idle: map[netip.AddrPort][]*link{}}
}

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Exchange sends a request once and returns the response. When the context ends, the connection is closed, which tells the
// other end to stop its work. Errors are of type *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, to netip.AddrPort, q *Request) (*Response, error) {
	l, err := p.take(ctx, to)
	if err != nil {
		return nil, &ExchangeError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = l.net.SetDeadline(time.Unix(1, 0)) })
	x := exchange{pool: p, link: l, request: q}
	r, reusable, err := x.run()
	if !stop() {
		reusable = false
	}
	if err != nil || !reusable {
		_ = l.net.Close()
	} else {
		p.put(to, l)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Sent: x.sent, Cause: err}
	}
	return r, nil
}

func (p *Pool) take(ctx context.Context, to netip.AddrPort) (*link, error) {
	for {
		p.mu.Lock()
		list := p.idle[to]
		if len(list) == 0 {
			p.mu.Unlock()
			return p.open(ctx, to)
		}
		l := list[len(list)-1]
		p.idle[to] = list[:len(list)-1]
		p.mu.Unlock()
		if timer.Now() < l.expires && l.reader.Buffered() == 0 && quiet(l.net) {
			return l, nil
		}
		_ = l.net.Close()
	}
}

func (p *Pool) open(ctx context.Context, to netip.AddrPort) (*link, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	setKeepAlive(nc)
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &link{net: nc, reader: bufio.NewReaderSize(nc, readBuffer), expires: timer.Now() + p.config.IdleTimeout}, nil
}

// put keeps a connection for further requests, and closes the ones that have expired.
func (p *Pool) put(to netip.AddrPort, l *link) {
	now := timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	expired := 0
	for expired < len(list) && list[expired].expires <= now {
		_ = list[expired].net.Close()
		expired++
	}
	list = list[expired:]
	if len(list) >= p.config.MaxIdle {
		_ = l.net.Close()
	} else {
		list = append(list, l)
	}
	p.idle[to] = list
}

// CloseIdle closes the unused connections to an address.
func (p *Pool) CloseIdle(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[to] {
		_ = l.net.Close()
	}
	delete(p.idle, to)
}

// exchange is one request and its response on a link.
type exchange struct {
	pool    *Pool
	link    *link
	request *Request
	sent    bool
}

// directWrite is the largest body that is written before the response is read. Larger ones are written meanwhile, since the
// other end may answer without reading them.
const directWrite = 16 << 10

func (x *exchange) run() (r *Response, reusable bool, err error) {
	head, body := encodeRequest(x.request)
	written := closedChannel
	if len(body) <= directWrite {
		n, err := x.link.net.Write(append(head, body...))
		x.sent = n > 0
		if err != nil {
			return nil, false, errors.Wrap(err, "write request")
		}
	} else {
		x.sent = true
		written = make(chan struct{})
		go func() {
			buffers := net.Buffers{head, body}
			if _, err := buffers.WriteTo(x.link.net); err == nil {
				close(written)
			}
		}()
	}
	r, reusable, err = x.receive()
	select {
	case <-written:
	default:
		reusable = false
	}
	return r, reusable, err
}

// maxSkipped bounds the responses to earlier requests that are skipped before the one that is due.
const maxSkipped = 4

func (x *exchange) receive() (r *Response, reusable bool, err error) {
	for range maxSkipped {
		h, err := http.ReadResponse(x.link.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, false, errors.Wrap(err, "read response")
		}
		if h.StatusCode < 200 {
			continue
		}
		body, err := x.readBody(h)
		if err != nil {
			return nil, false, err
		}
		if x.pool.config.Matches != nil && !x.pool.config.Matches(x.request, h.Header) {
			if h.Close {
				return nil, false, errors.Wrap(ErrMalformedResponse, "a response to another request")
			}
			continue
		}
		x.setExpiry(h.Header)
		reusable = !h.Close && h.ProtoAtLeast(1, 1) && x.link.reader.Buffered() == 0
		stripHopFields(h.Header)
		return &Response{Status: h.StatusCode, Header: h.Header, Body: body}, reusable, nil
	}
	return nil, false, errors.Wrap(ErrMalformedResponse, "too many responses to other requests")
}

func (x *exchange) readBody(h *http.Response) ([]byte, error) {
	size := int64(512)
	if h.ContentLength > 0 {
		size = min(h.ContentLength, int64(x.pool.config.MaxBody))
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
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

// expiryMargin is the part of the other end's idle timeout that is left unused, so that no request meets the close.
const expiryMargin = 500 * time.Millisecond

// setExpiry notes how long the connection may stay unused, by the Keep-Alive field.
func (x *exchange) setExpiry(h http.Header) {
	limit := x.pool.config.IdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second-expiryMargin)
		}
	}
	x.link.expires = timer.Now() + limit
}
