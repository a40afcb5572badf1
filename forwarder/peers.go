package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"hibiscusline/carrier"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

const (
	peerConnectTimeout = 400 * time.Millisecond
	peerIdleTimeout    = 30 * time.Second
	peerMaxIdle        = 64
	peerMaxBody        = 64 << 20
	// probeInterval is the wait between probes of an unreachable peer.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * time.Millisecond
	// peerStallTimeout is the time without any response after which a peer is probed. A frozen process still accepts
	// connections.
	peerStallTimeout = 700 * time.Millisecond
	// maxProbes bounds the probes of an unreachable peer. After that it counts as reachable until a request to it fails
	// again.
	maxProbes = 240
)

// PeersConfig configures Peers.
type PeersConfig struct {
	// Probe sends a health probe to a peer. It returns an error if the peer doesn't respond.
	Probe func(ctx context.Context, peer netip.AddrPort) error
	// OnChange is called when a peer becomes unreachable, or reachable again. In the second case, after is how long it
	// was unreachable.
	OnChange func(peer netip.AddrPort, reachable bool, after time.Duration)
	// Budget bounds the memory of large responses. Nil means no bound beyond the limit for one response.
	Budget *carrier.Budget
}

// Peers tracks the other sidecars and their reachability. It is safe for concurrent use.
type Peers struct {
	config PeersConfig
	pool   *carrier.Pool
	mu     sync.Mutex
	states map[netip.AddrPort]*peerState
}

type peerState struct {
	stall carrier.StallDetector
	// downSince is the time at which the peer became unreachable, or zero.
	downSince time.Duration
	// probing means that a probe of a stalled peer is in progress.
	probing bool
}

// NewPeers returns Peers that considers every sidecar reachable.
func NewPeers(c PeersConfig) *Peers {
	return &Peers{
		config: c, states: map[netip.AddrPort]*peerState{},
		pool: carrier.NewPool(carrier.PoolConfig{
			ConnectTimeout: peerConnectTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: peerMaxIdle, MaxBody: peerMaxBody,
			Budget: c.Budget,
		}),
	}
}

// state returns the state of a peer. The caller holds mu.
func (p *Peers) state(peer netip.AddrPort) *peerState {
	s, known := p.states[peer]
	if !known {
		s = &peerState{}
		p.states[peer] = s
	}
	return s
}

// DownFor returns how long a peer has been unreachable, or zero.
func (p *Peers) DownFor(peer netip.AddrPort) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.states[peer]
	if !known || s.downSince == 0 {
		return 0
	}
	return max(timer.Now()-s.downSince, 1)
}

// MarkDown marks a peer as unreachable and starts to probe it.
func (p *Peers) MarkDown(peer netip.AddrPort) {
	p.mu.Lock()
	s := p.state(peer)
	alreadyDown := s.downSince != 0
	if !alreadyDown {
		s.downSince = timer.Now()
	}
	p.mu.Unlock()
	if alreadyDown {
		return
	}
	p.pool.CloseIdle(peer)
	p.config.OnChange(peer, false, 0)
	go p.probeUntilReachable(peer)
}

// probe reports whether a peer responds to a health probe.
func (p *Peers) probe(peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return p.config.Probe(ctx, peer) == nil
}

// probeUntilReachable probes a peer until it responds or maxProbes is reached, and then marks it as reachable.
func (p *Peers) probeUntilReachable(peer netip.AddrPort) {
	for range maxProbes {
		time.Sleep(probeInterval)
		if p.probe(peer) {
			break
		}
	}
	p.mu.Lock()
	s := p.state(peer)
	after := timer.Now() - s.downSince
	s.downSince, s.stall = 0, carrier.StallDetector{}
	p.mu.Unlock()
	p.config.OnChange(peer, true, after)
}

// Check probes a peer in the background, unless a probe is in progress, and marks it as unreachable if it doesn't
// respond.
func (p *Peers) Check(peer netip.AddrPort) {
	p.mu.Lock()
	s := p.state(peer)
	startProbe := !s.probing && s.downSince == 0
	s.probing = s.probing || startProbe
	p.mu.Unlock()
	if !startProbe {
		return
	}
	go func() {
		alive := p.probe(peer)
		p.mu.Lock()
		s.probing = false
		p.mu.Unlock()
		if !alive {
			p.MarkDown(peer)
		}
	}()
}

// Exchange sends a caller's request, whose deadline ends ctx, to a peer once. A peer that hasn't responded to anything for
// peerStallTimeout is probed. Errors are those of carrier.Pool.
func (p *Peers) Exchange(ctx context.Context, peer netip.AddrPort, q *carrier.Request) (*carrier.Response, error) {
	p.mu.Lock()
	s := p.state(peer)
	s.stall.Started(timer.Now())
	stalled := s.stall.Stalled(timer.Now(), peerStallTimeout)
	p.mu.Unlock()
	if stalled {
		p.Check(peer)
	}
	r, err := p.pool.Exchange(ctx, peer, q)
	p.mu.Lock()
	s.stall.Ended(timer.Now(), err == nil)
	p.mu.Unlock()
	return r, err
}

// ExchangeUntracked sends a request of the process itself to a peer once, without regard to the reachability of the peer and
// without effect on it. The answer may never come, so the wait has a bound.
func (p *Peers) ExchangeUntracked(
	ctx context.Context, peer netip.AddrPort, b waiter.Bound, q *carrier.Request,
) (*carrier.Response, error) {
	ctx, progress, cancel := b.Start(ctx)
	defer cancel()
	onProgress := q.OnProgress
	q.OnProgress = func() {
		progress()
		if onProgress != nil {
			onProgress()
		}
	}
	return p.pool.Exchange(ctx, peer, q)
}
