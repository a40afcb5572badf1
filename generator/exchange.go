package generator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscusline/emulator"
)

// outcome is what a caller knows about its request.
type outcome uint8

const (
	unknown  outcome = iota // unknown
	answered                // answered
	notRun                  // not_run
)

// answerGrace is the time beyond a request's timeout for which the client waits for an answer.
const answerGrace = time.Second

// Headers of the router.
const (
	headerService = "Hibiscus-Service"
	headerTimeout = "Hibiscus-Timeout-Ms"
	headerOutcome = "Hibiscus-Outcome"
	headerReason  = "Hibiscus-Reason"
)

// result is what one attempt yielded.
type result struct {
	outcome   outcome
	status    int
	reason    string
	failure   string
	crossed   bool
	truncated bool
	aborted   bool
	unmarked  bool
}

// attempt is one sending of a request. The ids of all its attempts begin with base.
type attempt struct {
	base, id string
	key      string
	stream   *Stream
	target   *url.URL
}

// emptyBody is a request body that net/http doesn't know to be empty. The transport sends a request without a body
// again on a new connection when an old one breaks, even after it was written. The ledger would then show a run of a
// request that was refused on its second way.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

func (a attempt) request() *http.Request {
	h := make(http.Header, 6)
	h[emulator.HeaderRequestID] = []string{a.id}
	h[headerService] = []string{a.stream.Service}
	h[headerTimeout] = []string{strconv.FormatInt(a.stream.Timeout.Value().Milliseconds(), 10)}
	if a.key != "" {
		h[emulator.HeaderKey] = []string{a.key}
	}
	if a.stream.NonIdempotent {
		h[emulator.HeaderIdempotencyKey] = []string{a.base}
	}
	r := &http.Request{
		Method: a.stream.Method, URL: a.target, Host: a.target.Host, Header: h, Body: emptyBody{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if a.stream.BodySize > 0 {
		// Without GetBody the transport never sends the request a second time.
		r.Body = io.NopCloser(bytes.NewReader(emulator.SizedBody(a.id, a.stream.BodySize)))
		r.ContentLength = int64(a.stream.BodySize)
	}
	return r
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send makes one attempt.
func (a attempt) send(ctx context.Context, transport http.RoundTripper, direct bool) result {
	ctx, cancel := context.WithTimeout(ctx, a.stream.Timeout.Value()+answerGrace)
	defer cancel()
	response, err := transport.RoundTrip(a.request().WithContext(ctx))
	if err != nil {
		return result{failure: classify(err)}
	}
	defer response.Body.Close()
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return result{failure: classify(err), aborted: true}
	}
	return a.judge(response, buffer.Bytes(), direct)
}

func (a attempt) judge(response *http.Response, body []byte, direct bool) result {
	r := result{status: response.StatusCode, reason: response.Header.Get(headerReason)}
	switch text := response.Header.Get(headerOutcome); {
	case text == answered.String() || text == "" && direct:
		r.outcome = answered
	case text == notRun.String():
		r.outcome = notRun
	default:
		r.unmarked = text != unknown.String()
	}
	if r.outcome == answered && r.status == http.StatusOK && a.stream.Method != http.MethodHead {
		r.crossed, r.truncated = a.check(body)
	}
	return r
}

// check compares the body with the one that the emulator gives to this request. The body may carry the id of another
// attempt of the same request.
func (a attempt) check(body []byte) (crossed, truncated bool) {
	size := -1
	if a.stream.Path == "/echo" {
		size = a.stream.BodySize
	} else if text, sized := strings.CutPrefix(a.stream.Path, "/size/"); sized {
		size, _ = strconv.Atoi(text)
	}
	if size < 0 {
		complete := bytes.HasSuffix(bytes.TrimSpace(body), []byte("}"))
		return !bytes.Contains(body, []byte(`"request_id":"`+a.base)), !complete
	}
	id, _, _ := bytes.Cut(body, []byte("\n"))
	if len(id) < len(a.base) {
		return !strings.HasPrefix(a.base, string(id)), len(body) < size
	}
	whole := emulator.SizedBody(string(id), max(size, len(body)))
	crossed = !bytes.HasPrefix(id, []byte(a.base)) || !bytes.HasPrefix(whole, body) || len(body) > size
	return crossed, len(body) < size
}

func classify(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return "local_limit"
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET),
		errors.Is(err, syscall.EPIPE):
		return "cut"
	}
	return "other"
}
