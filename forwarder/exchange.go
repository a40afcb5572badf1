package forwarder

import (
	"context"
	"time"

	"hibiscusline/balancer"
	"hibiscusline/carrier"
	"hibiscusline/gatekeeper"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// busyLinkLife bounds how long a member isn't asked because its link had no room. Each refusal takes part of that link too.
const busyLinkLife = 80 * time.Millisecond

// pass passes the request to a member and waits for the result.
func (p *forwarding) pass(ctx context.Context, m registrar.Member) gatekeeper.Result {
	p.tried = append(p.tried, m.Name)
	p.lastMember = m.Name
	id := memberID(m.Name)
	began := timer.Now()
	p.service.mu.Lock()
	p.service.chooser.Started(id)
	p.service.mu.Unlock()
	r := p.exchange(ctx, m)
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	now := timer.Now()
	p.service.chooser.Finished(now, id, outcomeOf(r), now-began)
	if r.Load.Slots > 0 {
		p.service.loads[m.Name] = load{Load: r.Load, at: now}
	}
	if r.Reason == gatekeeper.LinkBusy {
		p.service.busyLinks[linkRank{m.Name, p.match.Rank}] = now + min(r.RetryAfter, busyLinkLife)
	}
	if r.Reached {
		p.sends++
		if p.sends == 1 {
			p.service.resends.Observe(true)
			p.service.repeats.Observe(true)
		}
	}
	if r.Outcome == gatekeeper.Answered {
		p.answered = &r
	}
	if r.Outcome == gatekeeper.Unknown && p.unknown == gatekeeper.NoReason {
		p.unknown = r.Reason
	}
	return r
}

func outcomeOf(r gatekeeper.Result) balancer.Outcome {
	switch {
	case r.Outcome == gatekeeper.Answered && r.Response.Status < 500:
		return balancer.Success
	case r.Reason == gatekeeper.CallerGone:
		return balancer.Abandoned
	case r.Reason == gatekeeper.DeadlinePassed:
		return balancer.Timeout
	case r.Outcome == gatekeeper.NotRun:
		return balancer.Shed
	}
	return balancer.Failure
}

func (p *forwarding) exchange(ctx context.Context, m registrar.Member) gatekeeper.Result {
	f := p.forwarder
	if m.Name == f.config.Member {
		return f.config.Local.Run(ctx, p.job)
	}
	response, err := f.config.Peers.Exchange(ctx, m.Peer, gatekeeper.EncodeJob(p.job))
	if err != nil {
		return p.lost(ctx, m, err)
	}
	r, err := gatekeeper.DecodeResult(response)
	if err != nil {
		_ = f.config.Logger.Log("event", "peer_answer_malformed", "id", p.job.ID, "member", m.Name, "error", err)
		return gatekeeper.Result{Outcome: gatekeeper.Unknown, Reason: gatekeeper.SpoiledAnswer, Reached: true}
	}
	return r
}

// lost returns the result of a request whose exchange with a peer failed.
func (p *forwarding) lost(ctx context.Context, m registrar.Member, err error) gatekeeper.Result {
	if Unsent(err) {
		if ctx.Err() == nil {
			p.forwarder.config.Peers.MarkDown(m.Peer)
		}
		return gatekeeper.Result{Outcome: gatekeeper.NotRun, Reason: gatekeeper.PeerUnreachable, RetryAfter: unreadyRetryAfter}
	}
	r := gatekeeper.Result{Outcome: gatekeeper.Unknown, Reason: gatekeeper.ConnectionLost, Reached: true}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		r.Reason = gatekeeper.DeadlinePassed
	case context.Canceled:
		r.Reason = gatekeeper.CallerGone
	}
	return r
}

// failed reports whether a server's answer is a failure of its own.
func failed(r *carrier.Response) bool { return r.Status >= 500 }

// again reports whether the request may and should be passed to another member.
func (p *forwarding) again(ctx context.Context, r gatekeeper.Result) bool {
	if ctx.Err() != nil || timer.Now() >= p.job.Deadline {
		return false
	}
	switch r.Outcome {
	case gatekeeper.Answered:
		if !failed(r.Response) || p.match.Route.Kind == matcher.NonIdempotent {
			return false
		}
	case gatekeeper.Unknown:
		if p.match.Route.Kind == matcher.NonIdempotent {
			return false
		}
	case gatekeeper.NotRun:
		if !r.Reached {
			return r.Reason != gatekeeper.CallerGone && r.Reason != gatekeeper.DeadlineTooClose
		}
	}
	if p.sends >= p.match.Route.Attempts {
		return false
	}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	if r.Outcome == gatekeeper.NotRun {
		return p.service.resends.Allow(timer.Now())
	}
	return p.service.repeats.Allow(timer.Now())
}
