package router

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/hasher"
	"hibiscusline/validator"
)

const (
	maxKeyLength = 1024
	// maxTimeout is the longest timeout that a caller may request; the transport closes a stream that is idle for
	// longer.
	maxTimeout = 50 * time.Second
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", HeaderParent, HeaderOutcome, HeaderReason,
}

// call is a caller's request with its classification and deadline.
type call struct {
	head       encoder.Request
	rank       validator.Rank
	repeatable bool
	deadline   time.Time
	body       *replayBody
}

// requestError is the reason why a request is refused before it is forwarded.
type requestError struct {
	reason  encoder.Reason
	message string
}

func (e *requestError) Error() string { return e.message }

func newRequestError(reason encoder.Reason, message string) error {
	return &requestError{reason: reason, message: message}
}

// parse validates a caller's request and classifies it by the configuration in force.
func (rt *Router) parse(r *http.Request, now time.Time) (*call, error) {
	if limit := rt.config.MaxHeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, newRequestError(encoder.HeaderTooLarge,
			"request target and headers are limited to "+strconv.Itoa(limit)+" bytes")
	}
	c := &call{head: encoder.Request{
		Service:        r.Header.Get(HeaderService),
		Key:            r.Header.Get(HeaderKey),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Header:         forwardedHeader(r.Header),
		Length:         r.ContentLength,
	}}
	if c.head.Service == "" {
		return nil, newRequestError(encoder.BadRequest, "the "+HeaderService+" header is missing")
	}
	if !strings.HasPrefix(c.head.Path, "/") {
		return nil, newRequestError(encoder.BadRequest, "the request target must be a path")
	}
	if len(c.head.Key) > maxKeyLength || len(c.head.IdempotencyKey) > maxKeyLength {
		return nil, newRequestError(encoder.BadRequest, "keys are limited to "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	if err := rt.classify(c, r.URL.Path); err != nil {
		return nil, err
	}
	timeout, err := rt.parseTimeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	c.deadline = now.Add(timeout)
	if err := rt.inheritFromParent(c, r.Header.Get(HeaderParent), now); err != nil {
		return nil, err
	}
	return c, nil
}

// headerSize returns the approximate size in bytes of a request's target and headers on the wire.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func forwardedHeader(header http.Header) map[string][]string {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func (rt *Router) classify(c *call, path string) error {
	var service validator.Service
	var rule validator.Rule
	var present, matched bool
	var applied applier.Offset
	rt.config.Follower.View(func(s *applier.State) {
		applied = s.Applied
		if s.Configuration == nil {
			return
		}
		service, present = s.Configuration.Services[c.head.Service]
		rule, matched = s.Configuration.MatchRule(c.head.Service, c.head.Method, path)
		c.rank = s.Configuration.Ranks[rule.Rank]
	})
	if !rt.config.Follower.Ready() {
		return newRequestError(encoder.NotReady, "this process has not read the configuration yet")
	}
	if found := present && matched; !found && rt.config.Announced() > applied {
		return newRequestError(encoder.NotReady, "this process lacks records that others have; they may add the service")
	} else if !found {
		return newRequestError(encoder.UnknownService, "")
	}
	c.head.Rank = rule.Rank
	c.head.Keyed = service.Keyed
	if service.Keyed && c.head.Key == "" {
		return newRequestError(encoder.MissingKey, "")
	}
	if !service.Keyed && c.head.IdempotencyKey != "" {
		return newRequestError(encoder.BadRequest,
			"the service is not divided by key, so no owner can remember an "+HeaderIdempotencyKey)
	}
	c.head.Position = hasher.KeyPosition(c.head.Key)
	safe := slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, c.head.Method)
	c.repeatable = c.head.IdempotencyKey == "" && (safe || rule.Repeatable)
	return nil
}

func (rt *Router) parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return rt.config.DefaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, newRequestError(encoder.BadRequest,
			HeaderTimeout+" is not a whole number of milliseconds: "+strconv.Quote(text))
	}
	if milliseconds <= 0 {
		return 0, newRequestError(encoder.DeadlineExceeded, HeaderTimeout+" leaves no time: "+text)
	}
	return time.Duration(min(milliseconds, maxTimeout.Milliseconds())) * time.Millisecond, nil
}

// inheritFromParent gives a nested call the rank of the request that made it and limits its deadline to that
// request's.
func (rt *Router) inheritFromParent(c *call, token string, now time.Time) error {
	if token == "" {
		return nil
	}
	parent, known := rt.config.LookUpParent(token)
	if !known {
		return newRequestError(encoder.BadRequest, HeaderParent+" names no request that this process is running")
	}
	c.head.Nested = true
	c.head.Rank = parent.Rank
	rt.config.Follower.View(func(s *applier.State) {
		if rank, present := s.Configuration.Ranks[parent.Rank]; present {
			c.rank = rank
		}
	})
	if parent.Deadline.Before(c.deadline) {
		c.deadline = parent.Deadline
	}
	if !c.deadline.After(now) {
		return errors.WithStack(newRequestError(encoder.DeadlineExceeded, "the parent request's deadline has passed"))
	}
	return nil
}
