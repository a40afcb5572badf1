package disruptor

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config configures a Proxy.
type Config struct {
	Protocol Protocol
	// Listen is the address for clients. Port zero takes a free one.
	Listen   netip.AddrPort
	Upstream netip.AddrPort
	// Seed makes the random choices of a run repeatable, as far as the order of data is.
	Seed uint64
}

// Proxy passes data on between clients and an upstream server. Its methods are safe for concurrent use.
type Proxy struct {
	config  Config
	board   *switchboard
	blocks  blocks
	address netip.AddrPort
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	listener *net.TCPListener
	socket   *net.UDPConn
	links    map[*link]struct{}
	sessions map[netip.AddrPort]*session
}

// New starts a proxy. It returns an error if it can't listen.
func New(config Config) (*Proxy, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{
		config: config, board: newSwitchboard(config.Seed), ctx: ctx, stop: stop,
		links: map[*link]struct{}{}, sessions: map[netip.AddrPort]*session{},
	}
	if err := p.listen(); err != nil {
		stop()
		return nil, errors.Wrapf(err, "listen on %s %s", config.Protocol, config.Listen)
	}
	return p, nil
}

func (p *Proxy) listen() error {
	switch p.config.Protocol {
	case TCP:
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.config.Listen))
		if err != nil {
			return err
		}
		p.listener, p.address = listener, listener.Addr().(*net.TCPAddr).AddrPort()
		p.workers.Go(p.accept)
		return nil
	case UDP:
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.config.Listen))
		if err != nil {
			return err
		}
		p.socket, p.address = socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
		p.workers.Go(p.receive)
		return nil
	}
	return errors.Errorf("protocol %s is not known", p.config.Protocol)
}

// Addr returns the address for clients.
func (p *Proxy) Addr() netip.AddrPort { return p.address }

// SetFaults replaces the toxics of a direction. The zero Toxics removes them.
func (p *Proxy) SetFaults(d Direction, t Faults) { p.board.set(d, t) }

// Faults returns the toxics of a direction.
func (p *Proxy) Faults(d Direction) Faults {
	t, _ := p.board.get(d)
	return t
}

// Blackhole cuts both directions, or ends the cut, and leaves other toxics as they are.
func (p *Proxy) Blackhole(on bool) {
	for _, d := range []Direction{Upstream, Downstream} {
		t := p.Faults(d)
		t.Cut = on
		p.SetFaults(d, t)
	}
}

// Block drops the datagrams of one UDP client in a direction, or ends that.
func (p *Proxy) Block(client netip.AddrPort, d Direction, on bool) { p.blocks.set(client, d, on) }

// Reset ends all TCP connections on both sides with RST, so that data in transit is lost, and forgets all UDP sessions.
// New ones are accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
	for _, s := range p.sessions {
		s.close()
	}
	clear(p.sessions)
}

// Close resets all connections, stops listening and returns when all goroutines of the proxy have ended.
func (p *Proxy) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	p.mu.Unlock()
	p.stop()
	var err error
	if p.listener != nil {
		err = p.listener.Close()
	}
	if p.socket != nil {
		err = p.socket.Close()
	}
	p.Reset()
	p.workers.Wait()
	return errors.Wrap(err, "close proxy")
}

// wait returns after a duration, or false at the end of the context.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForCut returns the toxics of a direction once it isn't cut, or false at the end of the context.
func (p *Proxy) waitForCut(ctx context.Context, d Direction) (Faults, bool) {
	for {
		t, changed := p.board.get(d)
		if !t.Cut {
			return t, ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return t, false
		}
	}
}
