package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/hasher"
	"hibiscusline/watcher"
)

// Parent holds what a nested call inherits from the request that made it.
type Parent struct {
	Rank     string
	Deadline time.Time
}

// Chooser selects a member for a request without a key. Its methods are safe for concurrent use.
type Chooser interface {
	// Pick selects among all members of a service; tried lists those that earlier attempts were sent to.
	Pick(service string, members []applier.Member, tried []applier.MemberID) (applier.MemberID, bool)
	Started(service string, id applier.MemberID)
	Finished(service string, id applier.MemberID, r encoder.Response, latency time.Duration)
}

// RetryBudget limits retries. Its methods are safe for concurrent use.
type RetryBudget interface {
	// Observe records the result of a first attempt.
	Observe(success bool)
	// Retry takes one retry from the budget and reports whether one was available.
	Retry() bool
}

// Exchanger sends one request to a member and returns its response.
type Exchanger interface {
	// Exchange sends the head and the body. A response with outcome Answered comes with a body that the caller reads and
	// closes. A body that ends early returns an error other than io.EOF from Read.
	Exchange(ctx context.Context, a Attempt) (encoder.Response, ResponseBody)
}

// Attempt is a request as it is sent to one member.
type Attempt struct {
	Member applier.Member
	Head   encoder.Request
	Body   Body
	// Repeatable means that the request may be sent again after an attempt of unknown outcome.
	Repeatable bool
}

// Config configures a Router.
type Config struct {
	Follower *follower.Follower
	// Announced returns the highest offset that another process has announced as applied. Nil means that there is none.
	Announced   func() applier.Offset
	Exchanger   Exchanger
	Chooser     Chooser
	RetryBudget RetryBudget
	// Backoff returns the delay before the attempt that follows the given number of failed ones.
	Backoff func(attempt int) time.Duration
	// LookUpParent returns the running request that a nested call's token identifies.
	LookUpParent   func(token string) (Parent, bool)
	DefaultTimeout time.Duration
	// ReplayLimit is the largest body that can be sent again, in bytes.
	ReplayLimit int
	// MaxFailedResponses is the number of members to which a request without a key is sent before an error response is
	// returned. Zero selects DefaultMaxFailedResponses.
	MaxFailedResponses int
	// MaxHeaderBytes limits the request target and the headers, in bytes. Zero means no limit.
	MaxHeaderBytes int
	Metrics        *metrics.Set
}

// DefaultMaxFailedResponses is the number of failing members after which the request itself is probably at fault.
// Further attempts would use up the retry budget of other requests.
const DefaultMaxFailedResponses = 3

// Router is the HTTP handler for callers.
type Router struct {
	config   Config
	refusals refusalCache
	removals removalWatcher
	members  memberCache
}

// New returns a Router.
func New(c Config) *Router {
	if c.MaxFailedResponses == 0 {
		c.MaxFailedResponses = DefaultMaxFailedResponses
	}
	if c.Announced == nil {
		c.Announced = func() applier.Offset { return 0 }
	}
	return &Router{config: c}
}

// ServeHTTP forwards a caller's request and writes the response.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	body := rt.newCallerBody(w, r)
	c, err := rt.parse(r, started)
	if err != nil {
		body.closeConnectionUnless(body.finish())
		rt.writeRequestError(w, err)
		return
	}
	c.body = body.replayBody
	if r.ContentLength != 0 {
		// A caller that stops sending its body must not keep the request open beyond its deadline.
		body.setDeadline(c.deadline.Add(time.Second))
	}
	defer body.finish()
	watched, stop := watcher.Watch(r.Context())
	defer stop()
	ctx, cancel := context.WithDeadline(watched, c.deadline)
	defer cancel()
	response, responseBody := rt.forward(ctx, c)
	rt.countResponse(c, response)
	if response.Outcome != encoder.Answered {
		body.closeConnectionUnless(body.finish())
		writeFailure(w, response, "")
		return
	}
	if response.Replayed {
		body.finish()
	}
	body.closeConnectionUnless(body.fullyRead())
	rt.relay(w, response, responseBody)
	rt.config.Metrics.GetOrCreateHistogram(`hibiscus_entry_seconds{rank="` + c.head.Rank + `"}`).UpdateDuration(started)
}

func (rt *Router) writeRequestError(w http.ResponseWriter, err error) {
	requestErr := &requestError{reason: encoder.BadRequest, message: err.Error()}
	errors.As(err, &requestErr)
	rt.config.Metrics.GetOrCreateCounter(`hibiscus_entry_refused_total{reason="` + requestErr.reason.String() + `"}`).Inc()
	writeFailure(w, encoder.Response{Outcome: encoder.NotRun, Reason: requestErr.reason}, requestErr.message)
}

func (rt *Router) countResponse(c *call, r encoder.Response) {
	rt.config.Metrics.GetOrCreateCounter(`hibiscus_entry_requests_total{rank="` + c.head.Rank + `",outcome="` +
		r.Outcome.String() + `",reason="` + r.Reason.String() + `"}`).Inc()
}

// relay copies a response to the caller. If the response is truncated, it aborts the caller's connection, so that the
// caller can't take the response for a complete one.
func (rt *Router) relay(w http.ResponseWriter, r encoder.Response, body ResponseBody) {
	defer body.Close()
	header := w.Header()
	// Headers of the caller's connection were set before and stay.
	for name, values := range r.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, encoder.Answered.String())
	if r.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(r.Status)
	copied, err := copyFlushing(w, body)
	if err != nil || r.Length >= 0 && copied != r.Length {
		rt.config.Metrics.GetOrCreateCounter("hibiscus_entry_truncated_total").Inc()
		panic(http.ErrAbortHandler)
	}
}

// target returns the member that must answer a call.
func (rt *Router) target(c *call, tried []applier.MemberID) (applier.Member, encoder.Reason) {
	if c.head.Keyed {
		return rt.owner(c.head.Service, c.head.Position)
	}
	members, reason := rt.members.active(rt.config.Follower, c.head.Service)
	if reason != encoder.NoReason {
		return applier.Member{}, reason
	}
	id, found := rt.config.Chooser.Pick(c.head.Service, members, tried)
	if !found {
		return applier.Member{}, encoder.NoOwner
	}
	for _, m := range members {
		if m.ID == id {
			return m, encoder.NoReason
		}
	}
	return applier.Member{}, encoder.NoOwner
}

func (rt *Router) owner(service string, p hasher.Position) (m applier.Member, reason encoder.Reason) {
	reason = encoder.NoOwner
	evacuated := false
	rt.config.Follower.View(func(s *applier.State) {
		a, found := s.Lookup(service, p)
		if !found {
			return
		}
		if owner, present := s.Members[a.Owner]; present {
			m, reason = *owner, encoder.NoReason
			_, evacuated = s.Evacuated(owner.Zone)
		}
	})
	if evacuated && rt.members.emptied(rt.config.Follower, service) {
		return applier.Member{}, encoder.Evacuated
	}
	return m, reason
}
