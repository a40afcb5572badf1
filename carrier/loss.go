package carrier

import (
	"net/netip"
	"sync"

	"hibiscusline/timer"
)

// liveConns holds the connections of a Pool with MayDial that this end has not closed, idle or in use, except those whose
// loss was noticed. Its mutex may be locked while that of the Pool is, not the other way round.
type liveConns struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]map[*poolConn]struct{}
}

func (p *Pool) track(to netip.AddrPort, c *poolConn) {
	if p.config.MayDial == nil {
		return
	}
	p.live.mu.Lock()
	defer p.live.mu.Unlock()
	if p.live.conns[to] == nil {
		p.live.conns[to] = map[*poolConn]struct{}{}
	}
	p.live.conns[to][c] = struct{}{}
}

// forget is called before this end closes a connection.
func (p *Pool) forget(to netip.AddrPort, c *poolConn) {
	if p.config.MayDial == nil {
		return
	}
	p.live.mu.Lock()
	defer p.live.mu.Unlock()
	delete(p.live.conns[to], c)
}

// HasOpen reports whether there is a connection to an address, idle or in use, that the other end has not closed. The Pool
// must have MayDial.
func (p *Pool) HasOpen(to netip.AddrPort) bool { return p.checkLoss(to) }

// checkDial returns an error if a connection to an address may not be opened or used.
func (p *Pool) checkDial(to netip.AddrPort) error {
	if p.config.MayDial == nil {
		return nil
	}
	return p.config.MayDial(p.checkLoss(to))
}

// checkLoss reports whether a connection to an address is open, and calls OnAllClosed if the other end has closed the last
// ones. Nobody else sees that they are gone before OnAllClosed has returned.
func (p *Pool) checkLoss(to netip.AddrPort) (open bool) {
	if p.config.MayDial == nil {
		return false
	}
	p.forgetExpired(to)
	p.live.mu.Lock()
	defer p.live.mu.Unlock()
	lost := false
	for c := range p.live.conns[to] {
		if isEstablished(c.net) {
			open = true
			continue
		}
		delete(p.live.conns[to], c)
		lost = true
	}
	if lost && !open && p.config.OnAllClosed != nil {
		p.config.OnAllClosed()
	}
	return open
}

// forgetExpired excludes idle connections that the other end may have closed because nobody used them.
func (p *Pool) forgetExpired(to netip.AddrPort) {
	now := timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		if c.expires <= now {
			p.forget(to, c)
		}
	}
}
