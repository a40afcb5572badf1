package executor

import (
	"context"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/platform"
	"hibiscusline/timer"
)

// send sends an admitted request to the server once.
func (g *Executor) send(ctx context.Context, j *Job, s Server) Result {
	remaining := j.Deadline - timer.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	q := *j.Request
	q.Header, q.Detached, q.NewConn = q.Header.Clone(), j.Detached, j.Resent
	platform.SetBackendHeader(q.Header, remaining, s.Instance)
	response, err := g.pool.Exchange(ctx, g.config.Backend, &q)
	if err != nil {
		return g.failedExchange(ctx, err, s)
	}
	g.noteSlowness(timer.Now(), s, response.Header)
	switch platform.DecodeResult(response.Status, response.Header) {
	case platform.NotRun:
		if j.Keyed && response.Status == http.StatusMisdirectedRequest {
			g.config.OnKeyRefused(j.Key)
		}
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
		if left := new(carrier.SenderLeftError); errors.As(err, &left) {
			g.config.OnSenderLeft(left.Noticed)
			return Result{Outcome: NotRun, Reason: CallerDisconnected}
		}
		switch ctx.Err() {
		case context.Canceled:
			return Result{Outcome: NotRun, Reason: CallerDisconnected}
		case context.DeadlineExceeded:
			return Result{Outcome: NotRun, Reason: DeadlinePassed}
		}
		return Result{Outcome: NotRun, Reason: ConnectionFailed, RetryAfter: defaultRetryAfter}
	}
	r := Result{Outcome: Unknown, Reason: ConnectionLost, Reached: true}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.Reason = DeadlinePassed
		return r
	case errors.Is(err, context.Canceled):
		r.Reason = CallerDisconnected
		return r
	case errors.Is(err, carrier.ErrMalformedResponse):
		r.Reason = MalformedResponse
	}
	r.connectionBroke = true
	return r
}
