package forwarder

import (
	"context"

	"github.com/pkg/errors"

	"hibiscusline/balancer"
	"hibiscusline/carrier"
	"hibiscusline/estimator"
	"hibiscusline/executor"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// attempt forwards the request to a member and records the result for load balancing and retries.
func (p *forwardedRequest) attempt(ctx context.Context, m registrar.Member) executor.Result {
	p.job.Resent = p.sends > 0 && p.wasTried(m.Name)
	p.tried = append(p.tried, m.Name)
	p.lastMember = m.Name
	quarantine, fingerprint := p.forwarder.config.Quarantine, p.job.Fingerprint()
	p.job.Crashes = quarantine.Marks(fingerprint)
	id := memberID(m.Name)
	start := timer.Now()
	p.service.mu.Lock()
	p.service.chooser.Started(id)
	p.service.cold.send(m.Name, start)
	p.service.mu.Unlock()
	r := p.send(ctx, m)
	// This process adopts the crashes that the result reports.
	quarantine.Verdict(timer.Now(), fingerprint, r.Crashes)
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	now := timer.Now()
	p.service.chooser.Finished(now, id, balancerOutcome(r), now-start)
	if r.Load.Slots > 0 {
		p.service.loads[m.Name] = reportedLoad{Load: r.Load, reportedAt: now}
		p.service.estimator.Report(now, m.Name, estimator.Report{ServiceTime: r.Load.ServiceTime, Slowness: r.Load.Slowness})
	}
	p.service.cold.record(m.Name, now, p.job.Priority, r)
	p.service.linkRefusals.record(refusalKey{m.Name, p.match.Rank}, now, r)
	if r.Reached {
		p.sends++
		if p.sends == 1 {
			p.service.transparentRetries.Observe(true)
			p.service.retries.Observe(true)
		}
	}
	if r.Outcome == executor.Answered {
		p.lastAnswered = &r
		p.service.estimator.Observe(now, m.Name, now-start)
	}
	if r.Outcome == executor.Unknown && p.unknownReason == executor.NoReason {
		p.unknownReason = r.Reason
	}
	return r
}

func balancerOutcome(r executor.Result) balancer.Outcome {
	switch {
	case r.Outcome == executor.Answered && r.Response.Status < 500:
		return balancer.Success
	case r.Reason == executor.CallerDisconnected:
		return balancer.Abandoned
	case r.Reason == executor.DeadlinePassed:
		return balancer.Timeout
	case r.Reason == executor.Poison:
		// It says nothing about the member.
		return balancer.Abandoned
	case r.Outcome == executor.NotRun:
		return balancer.Shed
	}
	return balancer.Failure
}

func (p *forwardedRequest) send(ctx context.Context, m registrar.Member) executor.Result {
	f := p.forwarder
	if m.Name == f.config.Member {
		return f.config.Local.Run(ctx, p.job)
	}
	response, err := f.config.Peers.Exchange(ctx, m.Peer, executor.EncodeJob(p.job))
	if err != nil {
		return p.failedExchange(ctx, m, err)
	}
	r, err := executor.DecodeResult(response)
	if err != nil {
		_ = f.config.Logger.Log("event", "peer_answer_malformed", "id", p.job.ID, "member", m.Name, "error", err)
		return executor.Result{Outcome: executor.Unknown, Reason: executor.MalformedResponse, Reached: true}
	}
	return r
}

// failedExchange returns the result of a failed exchange with a peer.
func (p *forwardedRequest) failedExchange(ctx context.Context, m registrar.Member, err error) executor.Result {
	if left := new(carrier.SenderLeftError); errors.As(err, &left) {
		p.forwarder.config.OnSenderLeft(left.Noticed)
		return executor.Result{Outcome: executor.NotRun, Reason: executor.CallerDisconnected}
	}
	if Unsent(err) {
		if ctx.Err() == nil {
			p.forwarder.config.Peers.MarkDown(m.Peer)
		}
		return executor.Result{
			Outcome: executor.NotRun, Reason: executor.PeerUnreachable, RetryAfter: notReadyRetryAfter,
		}
	}
	r := executor.Result{Outcome: executor.Unknown, Reason: executor.ConnectionLost, Reached: true}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.Reason = executor.DeadlinePassed
	case context.Canceled:
		r.Reason = executor.CallerDisconnected
	}
	return r
}

// isServerError reports whether a response has a 5xx status.
func isServerError(r *carrier.Response) bool { return r.Status >= 500 }

// shouldRetry reports whether the request may be forwarded to another member after a result.
func (p *forwardedRequest) shouldRetry(ctx context.Context, r executor.Result) bool {
	if ctx.Err() != nil || timer.Now() >= p.job.Deadline || r.Reason == executor.Poison {
		return false
	}
	switch r.Outcome {
	case executor.Answered:
		if !isServerError(r.Response) || !p.match.Route.Kind.Repeatable() {
			return false
		}
	case executor.Unknown:
		if !p.match.Route.Kind.Repeatable() {
			return false
		}
	case executor.NotRun:
		if !r.Reached {
			return r.Reason != executor.CallerDisconnected && (r.Reason != executor.DeadlineTooClose || refusedCold(r))
		}
	}
	if p.sends >= p.match.Route.Attempts {
		return false
	}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	if r.Outcome == executor.NotRun {
		return p.service.transparentRetries.Allow(timer.Now())
	}
	return p.service.retries.Allow(timer.Now())
}
