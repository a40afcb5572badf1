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
	// Listen is the address for clients. Port zero selects a free port.
	Listen netip.AddrPort
	// Upstream is the address of the upstream server.
	Upstream netip.AddrPort
	// Seed seeds the random choices. A run is reproducible as far as the order of its data is.
	Seed uint64
}

// Proxy forwards data between clients and an upstream server. Its methods are safe for concurrent use.
type Proxy struct {
	config  Config
	faults  *faultState
	blocks  blockList
	address netip.AddrPort
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	listener  *net.TCPListener
	socket    *net.UDPConn
	connPairs map[*connPair]struct{}
	sessions  map[netip.AddrPort]*session
}

// New starts a proxy. It returns an error if it can't listen.
func New(config Config) (*Proxy, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{
		config: config, faults: newFaultState(config.Seed), ctx: ctx, stop: stop,
		connPairs: map[*connPair]struct{}{}, sessions: map[netip.AddrPort]*session{},
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
		p.workers.Go(p.acceptConnections)
		return nil
	case UDP:
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.config.Listen))
		if err != nil {
			return err
		}
		p.socket, p.address = socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
		p.workers.Go(p.receiveFromClients)
		return nil
	}
	return errors.Errorf("protocol is %s; allowed: tcp, udp", p.config.Protocol)
}

// Addr returns the address for clients.
func (p *Proxy) Addr() netip.AddrPort { return p.address }

// SetFaults replaces the faults of a direction. The zero Faults removes them.
func (p *Proxy) SetFaults(d Direction, f Faults) { p.faults.set(d, f) }

// Faults returns the faults of a direction.
func (p *Proxy) Faults(d Direction) Faults {
	f, _ := p.faults.get(d)
	return f
}

// Blackhole cuts both directions, or ends the cut, and keeps the other faults.
func (p *Proxy) Blackhole(on bool) {
	for _, d := range []Direction{Upstream, Downstream} {
		f := p.Faults(d)
		f.Cut = on
		p.SetFaults(d, f)
	}
}

// Block starts or stops dropping the datagrams of one UDP client in a direction. Port zero stands for all clients of the
// address.
func (p *Proxy) Block(client netip.AddrPort, d Direction, on bool) { p.blocks.set(client, d, on) }

// Reset closes all TCP connections on both sides with RST, so that data in transit is lost, and closes all UDP
// sessions. New connections and sessions are accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.connPairs {
		pair.reset()
	}
	for _, s := range p.sessions {
		s.close()
	}
	clear(p.sessions)
}

// Silence discards all further data of the present TCP connections, in both directions, and leaves them open: the client's
// data is still acknowledged. New connections are not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.connPairs {
		pair.silent.Store(true)
	}
}

// Close stops listening, resets all connections and returns when all goroutines of the proxy have ended.
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

// wait waits for a duration. It reports false if the context ended first.
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

// waitWhileCut returns the faults of a direction as soon as it isn't cut. It reports false if the context ended.
func (p *Proxy) waitWhileCut(ctx context.Context, d Direction) (Faults, bool) {
	for {
		f, changed := p.faults.get(d)
		if !f.Cut {
			return f, ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f, false
		}
	}
}
