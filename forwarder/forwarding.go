package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/gatekeeper"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// forwarding is one caller's request while it is forwarded.
type forwarding struct {
	forwarder *Forwarder
	match     matcher.Match
	version   uint64
	service   *service
	job       *gatekeeper.Job
	hasKey    bool

	// tried holds the members to which the request was passed.
	tried []string
	// sends counts the servers that may have received the request.
	sends int
	// unknown is the reason of an earlier send whose outcome is unknown. The request must not be called not run any more.
	unknown gatekeeper.Reason
	// answered is an earlier answer of a server, which was a failure of its own.
	answered   *gatekeeper.Result
	lastMember string
	// linkFree is the earliest time at which a member that was left out for its link is asked again, or zero.
	linkFree time.Duration
}

// Bounds of one request.
const (
	// maxHops bounds the processes to which a request is passed.
	maxHops = 4
	// keyWaitShare is the part of the target that a request waits for a key that moves.
	keyWaitShare = 0.12
	// keyPause is the wait before the owner of a key is looked up again.
	keyPause = 20 * time.Millisecond
	// keyRetryAfter is the advice for a key that moves.
	keyRetryAfter = 250 * time.Millisecond
)

// run passes the request on until it is answered or must be given up. A request that a server has answered isn't called not
// run, whatever becomes of a further try.
func (p *forwarding) run(ctx context.Context) gatekeeper.Result {
	last := p.tries(ctx)
	if last.Outcome != gatekeeper.Answered && p.answered != nil {
		return *p.answered
	}
	return last
}

func (p *forwarding) tries(ctx context.Context) gatekeeper.Result {
	if p.match.Service.Keyed {
		return p.runKeyed(ctx)
	}
	var last gatekeeper.Result
	for hop := 0; hop < maxHops; hop++ {
		m, found := p.choose()
		if !found {
			if hop > 0 {
				return last
			}
			if p.linkFree != 0 {
				return gatekeeper.Result{Outcome: gatekeeper.NotRun, Reason: gatekeeper.LinkBusy, RetryAfter: max(p.linkFree-timer.Now(), 0)}
			}
			return gatekeeper.Result{Outcome: gatekeeper.NotRun, Reason: gatekeeper.NoServer, RetryAfter: unreadyRetryAfter}
		}
		last = p.pass(ctx, m)
		if !p.again(ctx, last) {
			return last
		}
	}
	return last
}

// runKeyed passes the request to the owner of its key. While the key has none, it waits a little.
func (p *forwarding) runKeyed(ctx context.Context) gatekeeper.Result {
	last := gatekeeper.Result{Outcome: gatekeeper.NotRun, Reason: gatekeeper.NotOwner, RetryAfter: keyRetryAfter}
	if !p.hasKey {
		last.Reason = gatekeeper.NoServer
		return last
	}
	waitUntil := p.job.Request.Received + time.Duration(keyWaitShare*float64(p.match.Route.Target))
	for hop := 0; hop < maxHops; {
		if m, found := p.owner(); found {
			last = p.pass(ctx, m)
			hop++
			if !p.again(ctx, last) {
				return last
			}
		}
		moving := last.Outcome == gatekeeper.NotRun && !last.Reached
		if moving && last.Reason == gatekeeper.NotOwner && p.lastMember != "" && p.forwarder.config.Refresh != nil {
			p.forwarder.config.Refresh(p.lastMember)
		}
		if moving && timer.Now() >= waitUntil {
			last.RetryAfter = max(last.RetryAfter, keyRetryAfter)
			return last
		}
		if moving && !timer.Sleep(ctx, keyPause) {
			return last
		}
	}
	return last
}

// owner returns the member that owns the request's key.
func (p *forwarding) owner() (registrar.Member, bool) {
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
	if !found || m.Peer != p.self() && p.forwarder.config.Peers.DownFor(m.Peer) > 0 {
		return registrar.Member{}, false
	}
	return m, true
}

func (p *forwarding) self() netip.AddrPort {
	return p.forwarder.config.View().Members[p.forwarder.config.Member].Peer
}

// choose returns a member of the service that should get the request.
func (p *forwarding) choose() (registrar.Member, bool) {
	now := timer.Now()
	var candidates []balancer.Candidate
	byID := map[applier.MemberID]registrar.Member{}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	v := p.forwarder.config.View()
	for _, m := range v.ByService[p.match.Service.Name] {
		if m.State != registrar.Ready || m.Stopping || p.wasTried(m.Name) || p.forwarder.config.Peers.DownFor(m.Peer) > 0 {
			continue
		}
		if free := p.service.busyLinks[linkRank{m.Name, p.match.Rank}]; now < free {
			if p.linkFree == 0 || free < p.linkFree {
				p.linkFree = free
			}
			continue
		}
		c := balancer.Candidate{ID: memberID(m.Name), Zone: m.Zone, Slots: m.Slots}
		seen, known := p.service.seen[m.Name]
		if !known {
			seen = now
			p.service.seen[m.Name] = now
		}
		c.Age = now - seen
		if l, known := p.service.loads[m.Name]; known {
			c.ReportedInFlight, c.ReportAge = l.Running+l.Waiting, now-l.at
		}
		byID[c.ID] = m
		candidates = append(candidates, c)
	}
	// Each process takes the requests of the callers on its instance, so the processes of a zone stand for its demand.
	p.service.chooser.SetZoneWeights(v.ByZone)
	id, found := p.service.chooser.Pick(now, candidates, p.forwarder.config.Zone)
	if !found {
		return registrar.Member{}, false
	}
	return byID[id], true
}

func (p *forwarding) wasTried(name string) bool {
	for _, t := range p.tried {
		if t == name {
			return true
		}
	}
	return false
}

func memberID(name string) applier.MemberID { return applier.MemberID(xxhash.Sum64String(name)) }
