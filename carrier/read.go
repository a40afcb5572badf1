package carrier

import (
	"errors"
	"io"
	"net/http"
	"os"
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
		c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	c.mu.Unlock()
	if closed {
		return nil, nil
	}
	if _, err := c.reader.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		return nil, nil
	}
	if !c.beginReading() {
		return nil, nil
	}
	received := timer.Now()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	h, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.readError(err, http.StatusRequestHeaderFieldsTooLarge)
	}
	if headerSize(h) > limits.HeaderBytes {
		return nil, NewResponse(http.StatusRequestHeaderFieldsTooLarge, "request header too large")
	}
	if problem := validateRequest(h); problem != "" {
		return nil, NewResponse(http.StatusBadRequest, problem)
	}
	if h.ContentLength > int64(limits.BodyBytes) {
		return nil, NewResponse(http.StatusRequestEntityTooLarge, "request body too large")
	}
	body, failure := c.readBody(h, limits)
	if failure != nil {
		return nil, failure
	}
	c.setReadDeadline(time.Time{})
	q := &Request{
		Method: h.Method, Target: h.RequestURI, Host: h.Host, Header: h.Header, Body: body,
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

func (c *conn) readBody(h *http.Request, limits Limits) ([]byte, *Response) {
	if h.Body == http.NoBody {
		return nil, nil
	}
	if h.Header.Get("Expect") == "100-continue" {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, nil
		}
	}
	c.limited.remaining = int64(limits.BodyBytes)*2 + readBuffer
	body := make([]byte, 0, max(h.ContentLength, 512))
	for {
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limits.BodyBytes {
			return nil, NewResponse(http.StatusRequestEntityTooLarge, "request body too large")
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			failure := c.readError(err, http.StatusRequestEntityTooLarge)
			if failure == nil {
				failure = &Response{Abort: true}
			}
			return nil, failure
		}
	}
}

// readError returns the response to a request that couldn't be read, or nil if the caller has disconnected. The
// tooLarge status is for a request that exceeds the limit.
func (c *conn) readError(err error, tooLarge int) *Response {
	switch {
	case c.limited.limitReached:
		return NewResponse(tooLarge, "request too large")
	case c.limited.timedOut:
		return NewResponse(http.StatusRequestTimeout, "request not received in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		c.cancel()
		return nil
	}
	return NewResponse(http.StatusBadRequest, "malformed request")
}
