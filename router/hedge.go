package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
)

const (
	// hedgeQuantile is the share of first attempts that end before a second one is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the relative change of the estimate for each observation above it. Observations below change it by as
	// much less as they are more frequent.
	hedgeStep = 0.1
	// leastHedgeDelay keeps services that answer at once from being hedged because of scheduling delays.
	leastHedgeDelay = 5 * time.Millisecond
	// hedgeTargetShare is the share of its rank's target that the delay of a service may have. A longer one comes from
	// queues, where second attempts only add work.
	hedgeTargetShare = 0.25
	// hedgeSamples is the number of first attempts after which the estimate counts.
	hedgeSamples = 50
)

// errHedged is the cause for which the slower of two attempts ends.
var errHedged = errors.New("another attempt was answered first")

// hedges estimates the latency of each service that hedgeQuantile of its first attempts don't exceed. The zero value is
// ready for use.
type hedges struct {
	mu       sync.Mutex
	services map[string]*quantile
}

type quantile struct {
	value   time.Duration
	samples int
}

// observe takes the latency of a first attempt, or the time after which it was given up for another.
func (h *hedges) observe(service string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = map[string]*quantile{}
	}
	q, known := h.services[service]
	if !known {
		q = &quantile{value: 2 * latency}
		h.services[service] = q
	}
	q.samples++
	change := hedgeStep * hedgeQuantile
	if latency <= q.value {
		change = hedgeStep * (hedgeQuantile - 1)
	}
	q.value = max(leastHedgeDelay, q.value+time.Duration(change*float64(q.value)))
}

// delay returns the time after which a second attempt is sent. It reports false while too little is known and when the
// delay is too long for the rank's target.
func (h *hedges) delay(service string, target time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q, known := h.services[service]
	if !known || q.samples < hedgeSamples {
		return 0, false
	}
	return q.value, float64(q.value) <= hedgeTargetShare*float64(target)
}

// finished is the end of one of two attempts.
type finished struct {
	response encoder.Response
	body     ResponseBody
	second   bool
}

// good reports whether no other attempt can do better.
func (f finished) good() bool { return f.response.Outcome == encoder.Answered && !f.response.Failed() }

// hedged sends a call to a member and, if it is not answered in time, to a second one as well, within the retry budget. It
// returns the first good end, or else the last one, and the second member if there was one.
func (rt *Router) hedged(ctx context.Context, c *call, m applier.Member) (encoder.Response, ResponseBody, []applier.MemberID) {
	delay, useful := rt.hedges.delay(c.head.Service, c.rank.Target.Value())
	started := time.Now()
	if !useful {
		response, body := rt.attempt(ctx, c, m)
		rt.hedges.observe(c.head.Service, time.Since(started))
		return response, body, nil
	}
	ends := make(chan finished, 2)
	send := func(m applier.Member, second bool) context.CancelCauseFunc {
		ctx, cancel := context.WithCancelCause(ctx)
		go func() {
			response, body := rt.attempt(ctx, c, m)
			ends <- finished{response, body, second}
		}()
		return cancel
	}
	cancels := [2]context.CancelCauseFunc{send(m, false)}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var tried []applier.MemberID
	var uncertain bool
	for pending := 1; ; {
		select {
		case <-timer.C:
			second, reason := rt.target(c, []applier.MemberID{m.ID})
			if reason != encoder.NoReason || second.ID == m.ID || !rt.takeRetry("hedge") {
				continue
			}
			tried = append(tried, second.ID)
			cancels[1] = send(second, true)
			pending++
		case end := <-ends:
			pending--
			uncertain = uncertain || end.response.Outcome != encoder.NotRun
			if pending > 0 && !end.good() {
				if end.body != nil {
					rt.discard(end.body)
				}
				timer.Stop()
				continue
			}
			rt.hedges.observe(c.head.Service, time.Since(started))
			if end.second {
				rt.config.Metrics.GetOrCreateCounter("hibiscus_entry_hedges_won_total").Inc()
			}
			if pending > 0 {
				loser := cancels[0]
				if !end.second {
					loser = cancels[1]
				}
				loser(errHedged)
				go func() {
					if other := <-ends; other.body != nil {
						rt.discard(other.body)
					}
				}()
			}
			return settleUnlessAnswered(end.response, uncertain), end.body, tried
		}
	}
}

// settleUnlessAnswered is settle for an end whose answer is still there.
func settleUnlessAnswered(r encoder.Response, uncertain bool) encoder.Response {
	if r.Outcome == encoder.Answered {
		return r
	}
	return settle(r, uncertain)
}
