package router

import (
	"context"
	"errors"
	"net/http"
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
	// Pick chooses among members; avoid lists those that were tried already.
	Pick(members []applier.Member, avoid []applier.MemberID) (applier.MemberID, bool)
	Started(id applier.MemberID)
	Finished(id applier.MemberID, r encoder.Response, latency time.Duration)
}

// Budget limits retries. Its methods are safe for concurrent use.
type Budget interface {
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
	State     *follower.Follower
	Exchanger Exchanger
	Chooser   Chooser
	Budget    Budget
	// Backoff returns the delay before an attempt after the given number of failed ones.
	Backoff func(attempt int) time.Duration
	// Parents finds the running request that a nested call's token names.
	Parents        func(token string) (Parent, bool)
	DefaultTimeout time.Duration
	// ReplayLimit is the largest body that can be sent again, in bytes.
	ReplayLimit int
	Metrics     *metrics.Set
}

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
	return &Router{config: c}
}

// ServeHTTP answers a caller's request.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, err := rt.parse(r, started)
	if err != nil {
		rt.answerFailure(w, err)
		return
	}
	if r.ContentLength != 0 {
		// Without full duplex the server would read the rest of the body before it sends an answer.
		// HTTP/2 needs and supports no such switch.
		_ = http.NewResponseController(w).EnableFullDuplex()
		// A caller that stops sending its body must not hold the request beyond its deadline. A connection that doesn't
		// support deadlines is bounded by the server's own.
		_ = http.NewResponseController(w).SetReadDeadline(c.deadline.Add(time.Second))
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	response, body := rt.forward(ctx, c)
	rt.count(c, response)
	interrupt := func() {
		// A connection that doesn't support deadlines is bounded by the server's own.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
	if response.Outcome != encoder.Answered {
		if !c.body.end(interrupt) {
			w.Header().Set("Connection", "close")
		}
		writeFailure(w, response, "")
		return
	}
	rt.relay(w, response, body)
	if !c.body.end(interrupt) {
		// The answer is complete. The rest of the body would be taken for the next request of the connection.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
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
	for name, values := range r.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
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
	members := rt.directory.active(rt.config.State, c.head.Service)
	id, found := rt.config.Chooser.Pick(members, tried)
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
	rt.config.State.View(func(s *applier.State) {
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
