package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"hibiscusline/carrier"
	"hibiscusline/timer"
)

const (
	peerConnectTimeout = 400 * time.Millisecond
	peerIdleTimeout    = 30 * time.Second
	peerMaxIdle        = 64
	peerMaxBody        = 64 << 20
	// probeInterval is the pause between attempts to reach a process that was unreachable.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one attempt.
	probeTimeout = 600 * time.Millisecond
	// peerSilentAfter is the time without any answer after which a process is probed. A process that stands still takes
	// connections all the same.
	peerSilentAfter = 700 * time.Millisecond
	// maxProbes ends the attempts to reach a process that is gone for good; a request to it starts them again.
	maxProbes = 240
)

// PeersConfig configures Peers.
type PeersConfig struct {
	// Probe asks a process for a sign of incarnation.
	Probe func(ctx context.Context, peer netip.AddrPort) error
	// OnChange is called with each peer that becomes unreachable, or reachable again after a time.
	OnChange func(peer netip.AddrPort, reachable bool, after time.Duration)
}

// Peers are the other processes and whether they can be reached. It is safe for concurrent use.
type Peers struct {
	config PeersConfig
	pool   *carrier.Pool
	mu     sync.Mutex
	states map[netip.AddrPort]*peerState
}

type peerState struct {
	silence carrier.Silence
	// down is the time at which the peer became unreachable, or zero.
	down time.Duration
	// checking means that a probe looks whether a silent peer is alive.
	checking bool
}

// NewPeers returns Peers that take every process for reachable.
func NewPeers(c PeersConfig) *Peers {
	return &Peers{
		config: c, states: map[netip.AddrPort]*peerState{},
		pool: carrier.NewPool(carrier.PoolConfig{
			ConnectTimeout: peerConnectTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: peerMaxIdle, MaxBody: peerMaxBody,
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

// DownFor returns for how long a peer has been unreachable, or zero.
func (p *Peers) DownFor(peer netip.AddrPort) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.states[peer]
	if !known || s.down == 0 {
		return 0
	}
	return max(timer.Now()-s.down, 1)
}

// MarkDown notes that a peer couldn't be reached and tries to reach it until it can.
func (p *Peers) MarkDown(peer netip.AddrPort) {
	p.mu.Lock()
	s := p.state(peer)
	known := s.down != 0
	if !known {
		s.down = timer.Now()
	}
	p.mu.Unlock()
	if known {
		return
	}
	p.pool.Forget(peer)
	p.config.OnChange(peer, false, 0)
	go p.recover(peer)
}

// probe reports whether a peer gives a sign of incarnation.
func (p *Peers) probe(peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return p.config.Probe(ctx, peer) == nil
}

// recover tries to reach a peer until it can.
func (p *Peers) recover(peer netip.AddrPort) {
	for range maxProbes {
		time.Sleep(probeInterval)
		if p.probe(peer) {
			break
		}
	}
	p.mu.Lock()
	s := p.state(peer)
	after := timer.Now() - s.down
	s.down, s.silence = 0, carrier.Silence{}
	p.mu.Unlock()
	p.config.OnChange(peer, true, after)
}

// Check probes a peer and marks it as unreachable if it gives no sign of incarnation, unless that is under way.
func (p *Peers) Check(peer netip.AddrPort) {
	p.mu.Lock()
	s := p.state(peer)
	idle := !s.checking && s.down == 0
	s.checking = s.checking || idle
	p.mu.Unlock()
	if !idle {
		return
	}
	go func() {
		alive := p.probe(peer)
		p.mu.Lock()
		s.checking = false
		p.mu.Unlock()
		if !alive {
			p.MarkDown(peer)
		}
	}()
}

// Exchange sends a request to a peer once. A peer that has answered nothing for a while is checked.
func (p *Peers) Exchange(ctx context.Context, peer netip.AddrPort, q *carrier.Request) (*carrier.Response, error) {
	p.mu.Lock()
	s := p.state(peer)
	s.silence.Sent(timer.Now())
	silent := s.silence.Silent(timer.Now(), peerSilentAfter)
	p.mu.Unlock()
	if silent {
		p.Check(peer)
	}
	r, err := p.pool.Exchange(ctx, peer, q)
	p.mu.Lock()
	s.silence.Ended(timer.Now(), err == nil)
	p.mu.Unlock()
	return r, err
}

// ExchangeUntracked sends a request to a peer once, whatever is known of the peer.
func (p *Peers) ExchangeUntracked(ctx context.Context, peer netip.AddrPort, q *carrier.Request) (*carrier.Response, error) {
	return p.pool.Exchange(ctx, peer, q)
}
