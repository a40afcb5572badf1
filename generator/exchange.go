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

// outcome is what a caller knows about the execution of its request.
type outcome uint8

const (
	unknown  outcome = iota // unknown
	answered                // answered
	notRun                  // not_run
)

// responseGrace is how long the client waits for a response after the request's timeout.
const responseGrace = time.Second

// Headers of the router's protocol.
const (
	headerService = "Hibiscus-Service"
	headerTimeout = "Hibiscus-Timeout-Ms"
	headerOutcome = "Hibiscus-Outcome"
	headerReason  = "Hibiscus-Reason"
)

// result is the result of one attempt. The errorClass is empty unless the transport failed; for the flags see Counts.
type result struct {
	outcome        outcome
	status         int
	reason         string
	errorClass     string
	mismatched     bool
	truncated      bool
	aborted        bool
	invalidOutcome bool
}

// attempt is one attempt to send a request. The ids of all attempts of a request begin with baseID.
type attempt struct {
	baseID, id string
	key        string
	stream     *Stream
	target     *url.URL
}

// emptyBody is a request body that net/http doesn't know to be empty. The transport resends a request without a body on
// a new connection when the old one breaks, even after writing it. The ledger would then show an execution of a request
// whose resent copy was reported as not run.
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
	if a.stream.NonRepeatable {
		h[emulator.HeaderIdempotencyKey] = []string{a.baseID}
	}
	r := &http.Request{
		Method: a.stream.Method, URL: a.target, Host: a.target.Host, Header: h, Body: emptyBody{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if a.stream.BodySize > 0 {
		// Without GetBody the transport never resends the request.
		r.Body = io.NopCloser(bytes.NewReader(emulator.SizedBody(a.id, a.stream.BodySize)))
		r.ContentLength = int64(a.stream.BodySize)
	}
	return r
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send makes one attempt and classifies its result. With direct, a response without an outcome header counts as
// answered.
func (a attempt) send(ctx context.Context, transport http.RoundTripper, direct bool) result {
	ctx, cancel := context.WithTimeout(ctx, a.stream.Timeout.Value()+responseGrace)
	defer cancel()
	response, err := transport.RoundTrip(a.request().WithContext(ctx))
	if err != nil {
		return result{errorClass: classifyError(err)}
	}
	defer response.Body.Close()
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return result{errorClass: classifyError(err), aborted: true}
	}
	return a.classifyResponse(response, buffer.Bytes(), direct)
}

func (a attempt) classifyResponse(response *http.Response, body []byte, direct bool) result {
	r := result{status: response.StatusCode, reason: response.Header.Get(headerReason)}
	switch text := response.Header.Get(headerOutcome); {
	case text == answered.String() || text == "" && direct:
		r.outcome = answered
	case text == notRun.String():
		r.outcome = notRun
	default:
		r.invalidOutcome = text != unknown.String()
	}
	if r.outcome == answered && r.status == http.StatusOK && a.stream.Method != http.MethodHead {
		r.mismatched, r.truncated = a.checkBody(body)
	}
	return r
}

// checkBody compares the body with the one that the emulator returns for this request. The body may carry the id of
// another attempt of the same request.
func (a attempt) checkBody(body []byte) (mismatched, truncated bool) {
	size := -1
	if a.stream.Path == "/echo" {
		size = a.stream.BodySize
	} else if text, sized := strings.CutPrefix(a.stream.Path, "/size/"); sized {
		size, _ = strconv.Atoi(text)
	}
	if size < 0 {
		complete := bytes.HasSuffix(bytes.TrimSpace(body), []byte("}"))
		return !bytes.Contains(body, []byte(`"request_id":"`+a.baseID)), !complete
	}
	id, _, _ := bytes.Cut(body, []byte("\n"))
	if len(id) < len(a.baseID) {
		return !strings.HasPrefix(a.baseID, string(id)), len(body) < size
	}
	expected := emulator.SizedBody(string(id), max(size, len(body)))
	mismatched = !bytes.HasPrefix(id, []byte(a.baseID)) || !bytes.HasPrefix(expected, body) || len(body) > size
	return mismatched, len(body) < size
}

func classifyError(err error) string {
	var netError net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return "local_limit"
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET),
		errors.Is(err, syscall.EPIPE):
		return "cut"
	}
	return "other"
}
