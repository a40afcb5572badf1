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
	// maxTimeout bounds what a caller may ask for; a stream without bytes for longer is closed by the transport.
	maxTimeout = 50 * time.Second
)

// hopHeaders concern one connection and are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", HeaderParent, HeaderOutcome, HeaderReason,
}

// call is one request of a caller on its way.
type call struct {
	head       encoder.Request
	rank       validator.Rank
	repeatable bool
	deadline   time.Time
	body       *replayBody
}

// failure is a request that is answered at the entry.
type failure struct {
	reason  encoder.Reason
	message string
}

func (f *failure) Error() string { return f.message }

func refuse(reason encoder.Reason, message string) error {
	return &failure{reason: reason, message: message}
}

// parse checks a caller's request and classifies it by the configuration in force.
func (rt *Router) parse(r *http.Request, now time.Time) (*call, error) {
	if limit := rt.config.MaxHeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, refuse(encoder.HeaderTooLarge, "request target and headers are limited to "+strconv.Itoa(limit)+" bytes")
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
		return nil, refuse(encoder.BadRequest, "the "+HeaderService+" header is missing")
	}
	if !strings.HasPrefix(c.head.Path, "/") {
		return nil, refuse(encoder.BadRequest, "the request target must be a path")
	}
	if len(c.head.Key) > maxKeyLength || len(c.head.IdempotencyKey) > maxKeyLength {
		return nil, refuse(encoder.BadRequest, "keys are limited to "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	if err := rt.classify(c, r.URL.Path); err != nil {
		return nil, err
	}
	timeout, err := rt.timeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	c.deadline = now.Add(timeout)
	if err := rt.adoptParent(c, r.Header.Get(HeaderParent), now); err != nil {
		return nil, err
	}
	return c, nil
}

// headerSize returns about the size of a request's target and headers as they were sent.
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
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func (rt *Router) classify(c *call, path string) error {
	var service validator.Service
	var rule validator.Rule
	var present, matched bool
	rt.config.Follower.View(func(s *applier.State) {
		if s.Configuration == nil {
			return
		}
		service, present = s.Configuration.Services[c.head.Service]
		rule, matched = s.Configuration.Classify(c.head.Service, c.head.Method, path)
		c.rank = s.Configuration.Ranks[rule.Rank]
	})
	if !rt.config.Follower.Ready() {
		return refuse(encoder.NotReady, "this process has not read the configuration yet")
	}
	if !present || !matched {
		return refuse(encoder.UnknownService, "")
	}
	c.head.Rank = rule.Rank
	c.head.Keyed = service.Keyed
	if service.Keyed && c.head.Key == "" {
		return refuse(encoder.MissingKey, "")
	}
	if !service.Keyed && c.head.IdempotencyKey != "" {
		return refuse(encoder.BadRequest, "the service is not divided by key, so no owner can remember an "+HeaderIdempotencyKey)
	}
	c.head.At = hasher.KeyPosition(c.head.Key)
	safe := slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, c.head.Method)
	c.repeatable = c.head.IdempotencyKey == "" && (safe || rule.Repeatable)
	return nil
}

func (rt *Router) timeout(text string) (time.Duration, error) {
	if text == "" {
		return rt.config.DefaultTimeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, refuse(encoder.BadRequest, HeaderTimeout+" is not a whole number of milliseconds: "+strconv.Quote(text))
	}
	if milliseconds <= 0 {
		return 0, refuse(encoder.DeadlineExceeded, HeaderTimeout+" leaves no time: "+text)
	}
	return time.Duration(min(milliseconds, maxTimeout.Milliseconds())) * time.Millisecond, nil
}

// adoptParent gives a nested call the rank and at most the remaining time of the request that made it.
func (rt *Router) adoptParent(c *call, token string, now time.Time) error {
	if token == "" {
		return nil
	}
	parent, known := rt.config.LookUpParent(token)
	if !known {
		return refuse(encoder.BadRequest, HeaderParent+" names no request that this process is running")
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
		return errors.WithStack(refuse(encoder.DeadlineExceeded, "the parent request's deadline has passed"))
	}
	return nil
}
