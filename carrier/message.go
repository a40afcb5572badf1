package carrier

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Request is a request with its complete body.
type Request struct {
	Method string
	// Target is the path and query as sent.
	Target string
	Host   string
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
	// Chunked selects the framing of the body for the next hop: chunked, or with a Content-Length.
	Chunked bool
	Remote  netip.AddrPort
	// Received is the time at which the request's first byte was read, as timer.Now returns it.
	Received time.Duration
	// Waited is how long the request, once read, waited for earlier responses of its connection.
	Waited time.Duration
	// SendBy is the latest time at which the request may be sent, as timer.Now returns it. Zero means no limit.
	SendBy time.Duration
	// MaySend, if it isn't nil, is called once the request has a connection. It returns an error if the request may not be
	// sent any more.
	MaySend func() error
	// Detached means that the exchange, once the request is sent, continues after its context is cancelled. The deadline
	// of the context still ends it.
	Detached bool
	// NewConn means that the request must be sent on a connection that carried no other. A second response to an earlier
	// attempt of the same request can't be told from the response to this one.
	NewConn bool
	// OnProgress, if it isn't nil, is called for each part of the body of a successful response that arrives.
	OnProgress func()
	// reserved is the part of the server's budget that the body takes.
	reserved int
}

// Response is a response with its complete body.
type Response struct {
	Status int
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
	// Close closes the caller's connection after the response.
	Close bool
	// Abort closes the caller's connection without a response, for a request that may have run with an unknown outcome.
	Abort bool
}

// NewResponse returns a plain text response.
func NewResponse(status int, text string) *Response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return &Response{Status: status, Header: header, Body: []byte(text + "\n")}
}

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHopByHopFields removes the hop-by-hop fields, including those listed in Connection.
func stripHopByHopFields(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

func writeFields(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

func writeLength(b *bytes.Buffer, length int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(length))
	b.WriteString("\r\n")
}

// encodeRequest returns the encoded head and body of a request.
func encodeRequest(q *Request) (head, body []byte) {
	var b bytes.Buffer
	b.Grow(512 + len(q.Target))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	writeFields(&b, q.Header)
	body = q.Body
	switch {
	case q.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		body = encodeChunked(q.Body)
	case len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead:
		writeLength(&b, len(q.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes(), body
}

func encodeChunked(data []byte) []byte {
	var b bytes.Buffer
	if len(data) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n")
		b.Write(data)
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// encodeResponse returns the encoded head of the response to a request with the given method.
func encodeResponse(r *Response, method string, closing bool) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	writeFields(&b, r.Header)
	if bodyAllowed(r.Status) && method != http.MethodHead {
		writeLength(&b, len(r.Body))
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
