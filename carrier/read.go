package carrier

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"hibiscusline/timer"
)

// readRequest returns the next request. If there is none, it returns nil and the error response to send, if any.
func (c *conn) readRequest() (*Request, *Response) {
	limits := c.server.config.Limits()
	c.limited.remaining, c.limited.limitReached = int64(limits.HeaderBytes)+readBuffer, false
	c.mu.Lock()
	closed := c.pending == 0 && c.closing
	if c.pending == 0 {
		c.setReadDeadline(c.idleEnd())
	}
	c.mu.Unlock()
	if closed {
		return nil, nil
	}
	if !c.awaitRequest() || !c.beginReading() {
		return nil, nil
	}
	received := timer.Now()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	h, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.readError(err, func() *Response { return c.server.refuseHeader(limits, http.Header{}) })
	}
	if headerSize(h) > limits.HeaderBytes {
		return nil, c.server.refuseHeader(limits, h.Header)
	}
	if problem := validateRequest(h); problem != "" {
		return nil, NewResponse(http.StatusBadRequest, problem)
	}
	if h.ContentLength > int64(limits.BodyBytes) {
		return nil, c.server.refuseLargeBody(limits, h.Header)
	}
	body, reserved, failure := c.readBody(h, limits)
	if failure != nil {
		c.server.config.Budget.release(reserved)
		return nil, failure
	}
	c.setReadDeadline(time.Time{})
	q := &Request{
		Method: h.Method, Target: h.RequestURI, Host: h.Host, Header: h.Header, Body: body, reserved: reserved,
		Chunked: len(h.TransferEncoding) > 0, Remote: c.remote, Received: received,
	}
	if h.Close || !h.ProtoAtLeast(1, 1) {
		q.Header.Set("Connection", "close")
	}
	return q, nil
}

// validateRequest returns the problem with a request that parses, or an empty string.
func validateRequest(h *http.Request) string {
	switch {
	case h.ProtoAtLeast(1, 1) && h.Host == "":
		return "missing host"
	case h.RequestURI == "" || h.RequestURI[0] != '/':
		return "the request target must be a path"
	}
	return ""
}

func headerSize(h *http.Request) int {
	n := len(h.Method) + len(h.RequestURI) + len(h.Host) + 20
	for name, values := range h.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// unbudgetedRequestBytes is the size up to which a request body takes nothing from the budget.
const unbudgetedRequestBytes = 16 << 10

// readBody reads the body of a request. It returns the part of the budget that it takes, also with a failure.
func (c *conn) readBody(h *http.Request, limits Limits) (body []byte, reserved int, failure *Response) {
	if h.Body == http.NoBody {
		return nil, 0, nil
	}
	if h.ContentLength > unbudgetedRequestBytes && !c.server.config.Budget.available(int(h.ContentLength)) {
		return nil, 0, c.server.refuseBody(h.Header)
	}
	if h.Header.Get("Expect") == "100-continue" {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, 0, &Response{Abort: true}
		}
	}
	c.limited.remaining = int64(limits.BodyBytes)*2 + readBuffer
	// A body is read into memory that grows with what has arrived, not with the length that its sender claims.
	body = make([]byte, 0, min(max(h.ContentLength, 512), unbudgetedRequestBytes))
	for {
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
		if len(body) == cap(body) {
			size := grownSize(cap(body), h.ContentLength)
			if !c.server.config.Budget.reserve(size - reserved) {
				return nil, reserved, c.server.refuseBody(h.Header)
			}
			body, reserved = append(make([]byte, 0, size), body...), size
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limits.BodyBytes {
			return nil, reserved, c.server.refuseLargeBody(limits, h.Header)
		}
		if err == io.EOF {
			return body, reserved, nil
		}
		if err != nil {
			failure := c.readError(err, func() *Response { return c.server.refuseLargeBody(limits, h.Header) })
			if failure == nil {
				failure = &Response{Abort: true}
			}
			return nil, reserved, failure
		}
	}
}

// maxBodyGrowth is the factor by which the memory of a body grows at most at once.
const maxBodyGrowth = 4

// grownSize returns the next size of the memory of a body: room for the rest of its length if that is known and not much
// larger than what has arrived, or else twice as much.
func grownSize(size int, length int64) int {
	if rest := int(length) + 1; length > 0 && rest > size && rest <= maxBodyGrowth*size {
		return rest
	}
	return 2 * size
}

// refuseHeader returns the response to a request whose header exceeds the limit.
func (s *Server) refuseHeader(limits Limits, h http.Header) *Response {
	if limits.Provisional {
		return s.refuseBody(h)
	}
	return NewResponse(http.StatusRequestHeaderFieldsTooLarge, "request header too large")
}

// refuseLargeBody returns the response to a request whose body exceeds the limit.
func (s *Server) refuseLargeBody(limits Limits, h http.Header) *Response {
	if limits.Provisional {
		return s.refuseBody(h)
	}
	return NewResponse(http.StatusRequestEntityTooLarge, "request body too large")
}

func (s *Server) refuseBody(h http.Header) *Response {
	if s.config.RefuseBody != nil {
		return s.config.RefuseBody(h)
	}
	return NewResponse(http.StatusServiceUnavailable, "too many large requests")
}

// readError returns the response to a request that couldn't be read, or nil if the caller has disconnected. For a request that
// exceeds the limit it is that of tooLarge.
func (c *conn) readError(err error, tooLarge func() *Response) *Response {
	switch {
	case c.limited.limitReached:
		return tooLarge()
	case c.limited.timedOut:
		return NewResponse(http.StatusRequestTimeout, "request not received in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		c.cancel()
		return nil
	}
	return NewResponse(http.StatusBadRequest, "malformed request")
}
