package executor

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/platform"
	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// send sends an admitted request to the server once.
func (g *Executor) send(ctx context.Context, j *Job, s Server) Result {
	if d := watcher.SenderLeft(ctx); d != watcher.NotNoticed {
		g.reportSenderLeft(j, d)
	}
	if j.Detached {
		ctx = context.WithoutCancel(ctx)
	}
	remaining := j.Deadline - timer.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	q := *j.Request
	q.Header = q.Header.Clone()
	platform.SetBackendHeader(q.Header, remaining, s.Instance)
	response, err := g.pool.Exchange(ctx, g.config.Backend, &q)
	if err != nil {
		return g.failedExchange(ctx, err, s)
	}
	switch platform.DecodeResult(response.Status, response.Header) {
	case platform.NotRun:
		return Result{Outcome: NotRun, Reason: ServerRefused, RetryAfter: defaultRetryAfter, Reached: true}
	case platform.Malformed:
		return Result{Outcome: Unknown, Reason: MalformedResponse, Reached: true}
	case platform.Answered:
	}
	platform.StripBackendHeader(response.Header)
	return Result{Outcome: Answered, Response: response, Reached: true}
}

// failedExchange returns the result of a failed exchange with the server. The job has not run if nothing was sent.
func (g *Executor) failedExchange(ctx context.Context, err error, s Server) Result {
	var failed *carrier.ExchangeError
	if !errors.As(err, &failed) || !failed.Sent {
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.config.OnConnectionRefused(s.Instance)
		}
		if ctx.Err() != nil {
			return Result{Outcome: NotRun, Reason: CallerDisconnected}
		}
		return Result{Outcome: NotRun, Reason: ConnectionFailed, RetryAfter: defaultRetryAfter}
	}
	r := Result{Outcome: Unknown, Reason: ConnectionLost, Reached: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Reason = DeadlinePassed
	case ctx.Err() != nil:
		r.Reason = CallerDisconnected
	case errors.Is(err, carrier.ErrMalformedResponse):
		r.Reason = MalformedResponse
	}
	return r
}

// reportSenderLeft logs and counts a job whose sender has left.
func (g *Executor) reportSenderLeft(j *Job, d watcher.Departure) {
	_ = g.config.Logger.Log("event", "sender_left", "id", j.ID, "hop", "server", "noticed", d,
		"age_ms", (timer.Now() - j.Request.Received).Milliseconds(), "waited_ms", j.Request.Waited.Milliseconds(),
		"detached", j.Detached)
	if g.config.OnSenderLeft != nil {
		g.config.OnSenderLeft(d)
	}
}
