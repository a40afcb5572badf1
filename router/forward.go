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
)

// Body is a request's body for one attempt.
type Body = io.Reader

// ResponseBody is the body of an answer.
type ResponseBody = io.ReadCloser

// notRunYet is the answer of a call that was never sent.
func notRunYet(reason encoder.Reason) encoder.Response {
	return encoder.Response{Outcome: encoder.NotRun, Reason: reason}
}

// forward sends a call until it is answered, refused for good, or out of time.
//
// A call whose attempt has an unknown outcome is sent again only if it is repeatable, and its outcome then stays unknown
// until an attempt is answered. A call that was not run is sent again while the reason is transient.
func (rt *Router) forward(ctx context.Context, c *call) (encoder.Response, ResponseBody) {
	uncertain := false
	var tried []applier.MemberID
	for attempt := 0; ; attempt++ {
		changed := rt.config.Follower.Changed()
		m, reason := rt.target(c, tried)
		response := notRunYet(reason)
		var body ResponseBody
		sent := reason == encoder.NoReason
		if sent {
			response, body = rt.attempt(ctx, c, m)
		}
		if attempt == 0 {
			rt.config.RetryBudget.Observe(response.Outcome == encoder.Answered && !response.Failed())
		}
		if response.Outcome == encoder.Answered && !(rt.retriableAnswer(c, response, attempt) && rt.mayRetry(ctx, c, response, sent)) {
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
		if response.Outcome != encoder.Answered && !rt.mayRetry(ctx, c, response, sent) || !rt.pause(ctx, response, attempt, changed) {
			return settle(response, uncertain), nil
		}
	}
}

// settle makes sure that a call with an uncertain attempt is never reported as not run. An answer whose body was given up
// for a retry that came too late is not there any more.
func settle(r encoder.Response, uncertain bool) encoder.Response {
	if r.Outcome == encoder.Answered {
		return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.DeadlineExceeded}
	}
	if uncertain {
		r.Outcome = encoder.Unknown
	}
	return r
}

func (rt *Router) discard(body ResponseBody) {
	// The attempt is given up; closing only releases its stream.
	_ = body.Close()
}

// retriableAnswer reports whether a backend server's answer says that it shed or failed the request, and whether another
// one may do better. The owner of a key is the only one that may run its requests.
func (rt *Router) retriableAnswer(c *call, r encoder.Response, attempt int) bool {
	return c.repeatable && r.Failed() && !c.head.Keyed && !r.Replayed && attempt+1 < rt.config.MaxFailedResponses
}

func (rt *Router) mayRetry(ctx context.Context, c *call, r encoder.Response, sent bool) bool {
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return false
	}
	switch r.Outcome {
	case encoder.NotRun:
		if r.Reason == encoder.Overloaded && sent && !c.head.Keyed {
			// Another member may have room. The budget keeps a flood from multiplying.
			return rt.takeRetry(causeOf(r))
		}
		return r.Reason.Transient()
	case encoder.Unknown, encoder.Answered:
		c.head.Crashes = append(c.head.Crashes, r.Crashes...)
		return c.repeatable && sent && rt.takeRetry(causeOf(r))
	}
	return false
}

// takeRetry takes a retry from the budget and counts it, or its refusal.
func (rt *Router) takeRetry(cause string) bool {
	allowed := rt.config.RetryBudget.Retry()
	name := "hibiscus_entry_retries_total"
	if !allowed {
		name = "hibiscus_entry_retries_refused_total"
	}
	rt.config.Metrics.GetOrCreateCounter(name + `{cause="` + cause + `"}`).Inc()
	return allowed
}

// causeOf names the cause of a retry.
func causeOf(r encoder.Response) string {
	if r.Outcome == encoder.Answered {
		return "status_" + strconv.Itoa(r.Status)
	}
	return r.Reason.String()
}

// pause waits for the next attempt: until the state changes where that can help, and for the back-off at most. It
// reports false when the call's time is over.
func (rt *Router) pause(ctx context.Context, r encoder.Response, attempt int, changed <-chan struct{}) bool {
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

// attempt sends a call to one member.
func (rt *Router) attempt(ctx context.Context, c *call, m applier.Member) (encoder.Response, ResponseBody) {
	if wait, refused := rt.hints.refuses(m.ID, c.rank.Urgency, time.Until(c.deadline), time.Now()); refused && !c.head.Nested {
		return encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Overloaded, RetryAfter: wait}, nil
	}
	reader, whole := c.body.reader()
	if !whole {
		return notRunYet(encoder.RetriesExhausted), nil
	}
	head := c.head
	head.Remaining = time.Until(c.deadline)
	head.Applied = rt.config.Follower.Applied()
	head.Target = m.ID
	if head.Remaining <= 0 {
		return notRunYet(encoder.DeadlineExceeded), nil
	}
	caller := ctx
	ctx, release := rt.removed.watch(ctx, rt.config.Follower, m.ID)
	started := time.Now()
	if !c.head.Keyed {
		rt.config.Chooser.Started(c.head.Service, m.ID)
	}
	response, body := rt.config.Exchanger.Exchange(ctx, m, head, reader)
	rt.hints.learn(m.ID, c.rank.Urgency, head.Remaining, response, time.Now())
	done := func() {
		release()
		if !c.head.Keyed {
			result := response
			if result.Outcome == encoder.Unknown && errors.Is(caller.Err(), context.Canceled) {
				// The caller has left, which says nothing about the member.
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

// observedBody reports when an answer has been read.
type observedBody struct {
	ResponseBody
	done func()
}

// Close closes the body and reports.
func (b *observedBody) Close() error {
	err := b.ResponseBody.Close()
	if b.done != nil {
		b.done()
		b.done = nil
	}
	return err
}

const copyBuffer = 32 << 10

// buffers are shared by requests, since two new ones a request were most of what a request allocated.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyFlushing copies a body and flushes after each part, so that a streaming answer is not held back.
func copyFlushing(w http.ResponseWriter, body io.Reader) (int64, error) {
	pooled := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(pooled)
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
		if n < copyBuffer {
			// A writer without flushing delivers when the handler returns.
			_ = controller.Flush()
		}
	}
}
