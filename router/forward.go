package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/watcher"
)

// Body is a request's body for one attempt.
type Body = io.Reader

// ResponseBody is the body of a response.
type ResponseBody = io.ReadCloser

// evacuatedRetryAfter is the delay after which a caller may try a service again whose zones are all evacuated.
const evacuatedRetryAfter = time.Second

// notRunResponse is the response to a call that was never sent.
func notRunResponse(reason encoder.Reason) encoder.Response {
	return encoder.Response{Outcome: encoder.NotRun, Reason: reason}
}

// forward sends a call until it is answered, permanently refused, or past its deadline.
//
// A call with an attempt of unknown outcome is sent again only if it is repeatable, and its outcome then stays unknown
// until an attempt is answered. A call that was not run is sent again while the reason is transient.
func (rt *Router) forward(ctx context.Context, c *call) (encoder.Response, ResponseBody) {
	uncertain := false
	var tried []applier.MemberID
	for attempt := 0; ; attempt++ {
		changed := rt.config.Follower.Changed()
		m, reason := rt.target(c, tried)
		response := notRunResponse(reason)
		var body ResponseBody
		sent := reason == encoder.NoReason
		if reason == encoder.Evacuated {
			response.RetryAfter = evacuatedRetryAfter
		}
		if sent {
			response, body = rt.attempt(ctx, c, m)
		}
		if attempt == 0 {
			rt.config.RetryBudget.Observe(response.Outcome == encoder.Answered && !response.Failed())
		}
		if response.Outcome == encoder.Answered &&
			!(rt.retriableResponse(c, response, attempt) && rt.mayRetry(ctx, c, response, sent)) {
			return response, body
		}
		if body != nil {
			rt.discard(body)
		}
		if response.Outcome != encoder.NotRun {
			uncertain = true
		}
		if sent && !c.head.Keyed {
			tried = append(tried, m.ID)
		}
		if response.Outcome != encoder.Answered && !rt.mayRetry(ctx, c, response, sent) ||
			!rt.waitForRetry(ctx, response, attempt, changed) {
			return finalResponse(response, uncertain), nil
		}
	}
}

// finalResponse ensures that a call with an attempt of unknown outcome is never reported as not run. A response whose
// body was discarded for a retry that missed the deadline can't be returned any more.
func finalResponse(r encoder.Response, uncertain bool) encoder.Response {
	if r.Outcome == encoder.Answered {
		return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.DeadlineExceeded}
	}
	if uncertain {
		r.Outcome = encoder.Unknown
	}
	return r
}

func (rt *Router) discard(body ResponseBody) {
	// The attempt was abandoned; closing the body only releases its stream.
	_ = body.Close()
}

// retriableResponse reports whether a backend server shed or failed the request and another one may succeed. Keyed
// requests can run only at the owner of their key.
func (rt *Router) retriableResponse(c *call, r encoder.Response, attempt int) bool {
	return c.repeatable && r.Failed() && !c.head.Keyed && !r.Replayed && attempt+1 < rt.config.MaxFailedResponses
}

func (rt *Router) mayRetry(ctx context.Context, c *call, r encoder.Response, sent bool) bool {
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return false
	}
	switch r.Outcome {
	case encoder.NotRun:
		if r.Reason == encoder.Overloaded && sent && !c.head.Keyed {
			// Another member may have capacity. The budget prevents retries from multiplying an overload.
			return rt.spendRetry(retryCause(r))
		}
		if r.Reason == encoder.Evacuated && !sent {
			// No zone of the service is left.
			return false
		}
		return r.Reason.Transient()
	case encoder.Unknown, encoder.Answered:
		c.head.Crashes = append(c.head.Crashes, r.Crashes...)
		return c.repeatable && sent && rt.spendRetry(retryCause(r))
	}
	return false
}

// spendRetry takes a retry from the budget and counts it, or its refusal.
func (rt *Router) spendRetry(cause string) bool {
	allowed := rt.config.RetryBudget.Retry()
	name := "hibiscus_entry_retries_total"
	if !allowed {
		name = "hibiscus_entry_retries_refused_total"
	}
	rt.config.Metrics.GetOrCreateCounter(name + `{cause="` + cause + `"}`).Inc()
	return allowed
}

// retryCause returns the cause of a retry as a metric label.
func retryCause(r encoder.Response) string {
	if r.Outcome == encoder.Answered {
		return "status_" + strconv.Itoa(r.Status)
	}
	return r.Reason.String()
}

// waitForRetry waits before the next attempt for the backoff delay, or for a change of the state if that can help. It
// returns false when the call's deadline has passed or its caller has disconnected.
func (rt *Router) waitForRetry(ctx context.Context, r encoder.Response, attempt int, changed <-chan struct{}) bool {
	if r.Outcome != encoder.NotRun {
		changed = nil
	}
	timer := time.NewTimer(rt.config.Backoff(attempt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// attempt sends a call to one member, unless a recent refusal of the member applies to it.
func (rt *Router) attempt(ctx context.Context, c *call, m applier.Member) (encoder.Response, ResponseBody) {
	if wait, refused := rt.refusals.lookUp(
		m.ID, c.rank.Urgency, time.Until(c.deadline), time.Now(),
	); refused && !c.head.Nested {
		return encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Overloaded, RetryAfter: wait}, nil
	}
	reader, replayable := c.body.reader()
	if !replayable {
		return notRunResponse(encoder.RetriesExhausted), nil
	}
	head := c.head
	head.Remaining = time.Until(c.deadline)
	head.Applied = rt.config.Follower.Applied()
	head.Target = m.ID
	if head.Remaining <= 0 {
		return notRunResponse(encoder.DeadlineExceeded), nil
	}
	if watcher.SenderLeft(ctx) != watcher.NotNoticed {
		return notRunResponse(encoder.Cancelled), nil
	}
	callerContext := ctx
	ctx, release := rt.removals.watch(ctx, rt.config.Follower, m.ID)
	started := time.Now()
	if !c.head.Keyed {
		rt.config.Chooser.Started(c.head.Service, m.ID)
	}
	response, body := rt.config.Exchanger.Exchange(ctx, Attempt{Member: m, Head: head, Body: reader, Repeatable: c.repeatable})
	rt.refusals.record(m.ID, c.rank.Urgency, head.Remaining, response, time.Now())
	done := func() {
		release()
		if !c.head.Keyed {
			result := response
			if result.Outcome == encoder.Unknown && errors.Is(callerContext.Err(), context.Canceled) {
				// The caller disconnected, which tells nothing about the member.
				result.Reason = encoder.Cancelled
			}
			rt.config.Chooser.Finished(c.head.Service, m.ID, result, time.Since(started))
		}
	}
	if body == nil {
		done()
		return response, nil
	}
	return response, &observedBody{ResponseBody: body, done: done}
}

// observedBody calls done when the response has been read.
type observedBody struct {
	ResponseBody
	done func()
}

// Close closes the body and calls done once.
func (b *observedBody) Close() error {
	err := b.ResponseBody.Close()
	if b.done != nil {
		b.done()
		b.done = nil
	}
	return err
}

const copyBufferSize = 32 << 10

// copyBuffers are shared by requests, because two new buffers for each request were most of its allocations.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyFlushing copies a body and flushes after each read, so that a streamed response is not delayed.
func copyFlushing(w http.ResponseWriter, body io.Reader) (int64, error) {
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	controller := http.NewResponseController(w)
	var copied int64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			written, writeErr := w.Write(buffer[:n])
			copied += int64(written)
			if writeErr != nil {
				return copied, writeErr
			}
		}
		if err == io.EOF {
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
		if n < copyBufferSize {
			// A writer that can't flush delivers the data when the handler returns.
			_ = controller.Flush()
		}
	}
}
