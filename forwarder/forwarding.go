package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/executor"
	"hibiscusline/matcher"
	"hibiscusline/quarantiner"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// forwardedRequest is a caller's request while it is forwarded.
type forwardedRequest struct {
	forwarder *Forwarder
	match     matcher.Match
	version   uint64
	service   *serviceState
	job       *executor.Job
	hasKey    bool

	// tried holds the names of the members that the request was forwarded to.
	tried []string
	// sends counts the servers that may have received the request.
	sends int
	// unknownReason is the reason of the first attempt with unknown outcome. After it, the request must not be reported
	// as not run.
	unknownReason executor.Reason
	// lastAnswered is the latest result with a response. A further attempt follows only if that was a server error.
	lastAnswered *executor.Result
	lastMember   string
	// evacuated means that a member was skipped because its availability zone is evacuated.
	evacuated bool
	// refusedBy is, of the refusals for which members were skipped, the one whose member expects room first.
	refusedBy *refusal
}

// Limits of one request.
const (
	// maxTries bounds how often a request is forwarded, whether or not it reaches a server.
	maxTries = 4
	// ownerWaitShare is the part of the latency target that a request may wait for a moving key.
	ownerWaitShare = 0.12
	// ownerPollInterval is the wait before the owner of a key is looked up again.
	ownerPollInterval = 20 * time.Millisecond
	// ownerRetryAfter is the retry delay sent to callers while a key moves.
	ownerRetryAfter = 250 * time.Millisecond
)

// forward forwards the request until it is answered or must be given up. If a server has answered it, that response is
// returned even if a later attempt fails without one, since the request has run.
func (p *forwardedRequest) forward(ctx context.Context) executor.Result {
	quarantine := p.forwarder.config.Quarantine
	if quarantine.Verdict(timer.Now(), p.job.Fingerprint(), nil) == quarantiner.Refuse {
		return executor.PoisonRefusal(quarantine, p.job)
	}
	last := p.tryMembers(ctx)
	if last.Outcome != executor.Answered && p.lastAnswered != nil {
		return *p.lastAnswered
	}
	return last
}

func (p *forwardedRequest) tryMembers(ctx context.Context) executor.Result {
	if p.match.Service.Keyed {
		return p.tryKeyOwner(ctx)
	}
	var last executor.Result
	for try := 0; try < maxTries; try++ {
		m, found := p.pickMember()
		if !found {
			if try > 0 {
				return last
			}
			if p.refusedBy != nil {
				return p.refusedBy.result(timer.Now())
			}
			reason := executor.NoServer
			if p.evacuated {
				reason = executor.Evacuated
			}
			return executor.Result{Outcome: executor.NotRun, Reason: reason, RetryAfter: notReadyRetryAfter}
		}
		last = p.attempt(ctx, m)
		if !p.shouldRetry(ctx, last) {
			return last
		}
	}
	return last
}

// tryKeyOwner forwards the request to the owner of its key. It waits briefly while the key has no owner.
func (p *forwardedRequest) tryKeyOwner(ctx context.Context) executor.Result {
	last := executor.Result{Outcome: executor.NotRun, Reason: executor.NotOwner, RetryAfter: ownerRetryAfter}
	if !p.hasKey {
		last.Reason = executor.NoServer
		return last
	}
	waitUntil := p.job.Request.Received + time.Duration(ownerWaitShare*float64(p.match.Route.Target))
	for try := 0; try < maxTries; {
		if m, found := p.keyOwner(); found {
			if e, refused := p.refusedByColdOwner(m.Name); refused {
				return e.result(timer.Now())
			}
			last = p.attempt(ctx, m)
			try++
			if !p.shouldRetry(ctx, last) || refusedCold(last) {
				return last
			}
		} else if p.evacuated && last.Outcome == executor.NotRun {
			last.Reason = executor.Evacuated
			if p.allKeysRefused() {
				return last
			}
		}
		notReached := last.Outcome == executor.NotRun && !last.Reached
		if notReached && last.Reason == executor.NotOwner && p.lastMember != "" && p.forwarder.config.Refresh != nil {
			p.forwarder.config.Refresh(p.lastMember)
		}
		if notReached && timer.Now() >= waitUntil {
			last.RetryAfter = max(last.RetryAfter, ownerRetryAfter)
			return last
		}
		if notReached && !timer.Sleep(ctx, ownerPollInterval) {
			return last
		}
	}
	return last
}

// keyOwner returns the reachable member that owns the request's key.
func (p *forwardedRequest) keyOwner() (registrar.Member, bool) {
	v := p.forwarder.config.View()
	t := v.Tables[p.match.Service.Name]
	if t == nil {
		return registrar.Member{}, false
	}
	o, found := t.OwnerOf(t.SliceOf(p.job.Key))
	if !found {
		return registrar.Member{}, false
	}
	m, found := v.Members[o.Member]
	p.evacuated = found && p.forwarder.config.KeysRefused(m.Zone)
	if !found || p.evacuated || m.Peer != p.ownPeer() && p.forwarder.config.Peers.DownFor(m.Peer) > 0 {
		return registrar.Member{}, false
	}
	return m, true
}

// allKeysRefused reports whether no key can move to a server that gets requests, since all zones are evacuated.
func (p *forwardedRequest) allKeysRefused() bool {
	for _, m := range p.forwarder.config.View().ByService[p.match.Service.Name] {
		if !p.forwarder.config.Evacuated(m.Zone) {
			return false
		}
	}
	return true
}

func (p *forwardedRequest) ownPeer() netip.AddrPort {
	return p.forwarder.config.View().Members[p.forwarder.config.Member].Peer
}

// pickMember returns the member of the service that the load balancer chooses for the request.
func (p *forwardedRequest) pickMember() (registrar.Member, bool) {
	now := timer.Now()
	var candidates []balancer.Candidate
	byID := map[applier.MemberID]registrar.Member{}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	v := p.forwarder.config.View()
	p.service.ages.observe(now, v.ByService[p.match.Service.Name])
	for _, m := range v.ByService[p.match.Service.Name] {
		if m.State != registrar.Ready || m.Stopping || p.wasTried(m.Name) || p.forwarder.config.Peers.DownFor(m.Peer) > 0 {
			continue
		}
		if p.forwarder.config.Evacuated(m.Zone) {
			p.evacuated = true
			continue
		}
		if e, refused := p.service.cold.lookUp(m.Name, now, p.job.Priority); refused {
			p.noteRefusal(e)
			continue
		}
		if e, refused := p.service.linkRefusals.lookUp(refusalKey{m.Name, p.match.Rank}, now); refused {
			p.noteRefusal(e)
			continue
		}
		c := balancer.Candidate{ID: memberID(m.Name), Zone: m.Zone, Slots: m.Slots}
		c.Age = p.service.ages.of(now, m.Name)
		if at := p.forwarder.config.RestoredAt(m.Zone); at != 0 {
			c.Age = min(c.Age, ageSinceRestore(now-at, p.match.Service))
		}
		c.Expected = p.service.estimator.Expected(now, m.Name)
		c.ColdWait = p.coldWait(now, m, len(v.Members))
		if l, known := p.service.loads[m.Name]; known {
			c.ReportedInFlight, c.ReportAge = l.Running+l.Waiting, now-l.reportedAt
		}
		byID[c.ID] = m
		candidates = append(candidates, c)
	}
	// Each sidecar receives the requests of the callers on its instance, so the number of sidecars in a zone represents
	// its demand.
	p.service.chooser.SetZoneWeights(v.ByZone)
	id, found := p.service.chooser.Pick(now, candidates, p.forwarder.config.Zone)
	if !found {
		return registrar.Member{}, false
	}
	return byID[id], true
}

// noteRefusal keeps the refusal whose member expects room first.
func (p *forwardedRequest) noteRefusal(e refusal) {
	if p.refusedBy == nil || e.retryAt < p.refusedBy.retryAt {
		p.refusedBy = &e
	}
}

// refusedByColdOwner returns the refusal by the owner of the request's key that applies to the request, if there is one.
func (p *forwardedRequest) refusedByColdOwner(member string) (refusal, bool) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	return p.service.cold.lookUp(member, timer.Now(), p.job.Priority)
}

func (p *forwardedRequest) wasTried(name string) bool {
	for _, t := range p.tried {
		if t == name {
			return true
		}
	}
	return false
}

func memberID(name string) applier.MemberID { return applier.MemberID(xxhash.Sum64String(name)) }
