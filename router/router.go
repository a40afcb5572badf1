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
)

// Parent is what a nested call inherits from the request that made it.
type Parent struct {
	Rank     string
	Deadline time.Time
}

// Chooser picks a member for a request that has no key. Its methods are safe for concurrent use.
type Chooser interface {
	// Pick chooses among all members of a service; tried lists those that were sent the request already.
	Pick(service string, members []applier.Member, tried []applier.MemberID) (applier.MemberID, bool)
	Started(service string, id applier.MemberID)
	Finished(service string, id applier.MemberID, r encoder.Response, latency time.Duration)
}

// RetryBudget limits retries. Its methods are safe for concurrent use.
type RetryBudget interface {
	// Observe counts the end of a first try.
	Observe(success bool)
	// Retry takes one retry from the budget and reports whether there was one.
	Retry() bool
}

// Exchanger sends one request to a member and returns its answer.
type Exchanger interface {
	// Exchange sends the head and the body. A response with outcome Answered comes with a body that the caller reads and
	// closes. A body that ends early returns an error other than io.EOF from Read.
	Exchange(ctx context.Context, m applier.Member, head encoder.Request, body Body) (encoder.Response, ResponseBody)
}

// Config configures a Router.
type Config struct {
	Follower     *follower.Follower
	Exchanger Exchanger
	Chooser   Chooser
	RetryBudget    RetryBudget
	// Backoff returns the delay before an attempt after the given number of failed ones.
	Backoff func(attempt int) time.Duration
	// LookUpParent finds the running request that a nested call's token names.
	LookUpParent        func(token string) (Parent, bool)
	DefaultTimeout time.Duration
	// ReplayLimit is the largest body that can be sent again, in bytes.
	ReplayLimit int
	// MaxFailedResponses bounds the members that a request without key is sent to after error answers. Zero is
	// DefaultMaxFailedAnswers.
	MaxFailedResponses int
	// MaxHeaderBytes bounds the request target and the headers, in bytes. Zero is no bound.
	MaxHeaderBytes int
	Metrics        *metrics.Set
}

// DefaultMaxFailedResponses is the number of members after which a request that fails is probably at fault itself. More must
// not be sent, or it would use up the retry budget of the others.
const DefaultMaxFailedResponses = 3

// Router is the HTTP handler for callers.
type Router struct {
	config  Config
	hints   hints
	removed removals
	// directory lists the active members of each service.
	directory directory
}

// New returns a router.
func New(c Config) *Router {
	if c.MaxFailedResponses == 0 {
		c.MaxFailedResponses = DefaultMaxFailedResponses
	}
	return &Router{config: c}
}

// ServeHTTP answers a caller's request.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	body := rt.takeBody(w, r)
	c, err := rt.parse(r, started)
	if err != nil {
		body.closeUnless(body.end())
		rt.answerFailure(w, err)
		return
	}
	c.body = body.replayBody
	if r.ContentLength != 0 {
		// A caller that stops sending its body must not hold the request beyond its deadline.
		body.setDeadline(c.deadline.Add(time.Second))
	}
	defer body.end()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	response, answer := rt.forward(ctx, c)
	rt.count(c, response)
	if response.Outcome != encoder.Answered {
		body.closeUnless(body.end())
		writeFailure(w, response, "")
		return
	}
	if response.Replayed {
		body.end()
	}
	body.closeUnless(body.whole())
	rt.relay(w, response, answer)
	rt.config.Metrics.GetOrCreateHistogram(`hibiscus_entry_seconds{rank="` + c.head.Rank + `"}`).UpdateDuration(started)
}

func (rt *Router) answerFailure(w http.ResponseWriter, err error) {
	f := &failure{reason: encoder.BadRequest, message: err.Error()}
	errors.As(err, &f)
	rt.config.Metrics.GetOrCreateCounter(`hibiscus_entry_refused_total{reason="` + f.reason.String() + `"}`).Inc()
	writeFailure(w, encoder.Response{Outcome: encoder.NotRun, Reason: f.reason}, f.message)
}

func (rt *Router) count(c *call, r encoder.Response) {
	rt.config.Metrics.GetOrCreateCounter(`hibiscus_entry_requests_total{rank="` + c.head.Rank + `",outcome="` +
		r.Outcome.String() + `",reason="` + r.Reason.String() + `"}`).Inc()
}

// relay passes an answer on. An answer that breaks off breaks the caller's connection off, so that it can't be taken for
// a whole one.
func (rt *Router) relay(w http.ResponseWriter, r encoder.Response, body ResponseBody) {
	defer body.Close()
	header := w.Header()
	// Headers that concern this connection were set before and stay.
	for name, values := range r.Header {
		if !slices.Contains(hopHeaders, name) {
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

// target finds the member that must answer a call.
func (rt *Router) target(c *call, tried []applier.MemberID) (applier.Member, encoder.Reason) {
	if c.head.Keyed {
		return rt.owner(c.head.Service, c.head.At)
	}
	members := rt.directory.active(rt.config.Follower, c.head.Service)
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
	rt.config.Follower.View(func(s *applier.State) {
		a, found := s.Lookup(service, p)
		if !found {
			return
		}
		if owner, present := s.Members[a.Owner]; present {
			m, reason = *owner, encoder.NoReason
		}
	})
	return m, reason
}
