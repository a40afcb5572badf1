package disruptor

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// maxDatagramBytes is the size of the largest datagram; maxQueuedDatagrams limits the delayed datagrams in one
// direction of a session.
const (
	maxDatagramBytes   = 65535
	maxQueuedDatagrams = 4096
)

// session holds the upstream socket and the delay queues of one UDP client.
type session struct {
	client netip.AddrPort
	server *net.UDPConn
	queues [2]*delayQueue
	ctx    context.Context
	stop   context.CancelFunc
}

func (s *session) close() {
	s.stop()
	// An error means that the socket is already closed.
	_ = s.server.Close()
}

// receiveFromClients receives the datagrams of all clients until the proxy is closed.
func (p *Proxy) receiveFromClients() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := p.socket.ReadFromUDPAddrPort(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			// ICMP errors from a closed client appear here and don't affect other clients.
			continue
		}
		if s := p.session(client); s != nil {
			p.applyFaults(s, Upstream, buffer[:n])
		}
	}
}

// session returns the session of a client and creates it if necessary. It returns nil if the upstream address can't be
// used or the proxy is closed.
func (p *Proxy) session(client netip.AddrPort) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[client]; s != nil {
		return s
	}
	if p.closed {
		return nil
	}
	server, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.config.Upstream))
	if err != nil {
		return nil
	}
	ctx, stop := context.WithCancel(p.ctx)
	s := &session{client: client, server: server, ctx: ctx, stop: stop}
	s.queues[Upstream] = newDelayQueue(Upstream, func(data []byte) { _, _ = server.Write(data) })
	s.queues[Downstream] = newDelayQueue(Downstream, func(data []byte) {
		_, _ = p.socket.WriteToUDPAddrPort(data, client)
	})
	p.sessions[client] = s
	for _, q := range s.queues {
		p.workers.Go(func() {
			q.run(ctx, func() bool { return p.Faults(q.direction).Cut || p.blocks.has(client, q.direction) })
		})
	}
	p.workers.Go(func() { p.receiveFromUpstream(s) })
	return s
}

// receiveFromUpstream receives the upstream server's datagrams for a session until the session is closed.
func (p *Proxy) receiveFromUpstream(s *session) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := s.server.Read(buffer)
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			// The upstream server may be temporarily not listening.
			if !wait(s.ctx, time.Millisecond) {
				return
			}
			continue
		}
		p.applyFaults(s, Downstream, buffer[:n])
	}
}

// applyFaults applies the faults of a direction to a datagram of a session, and queues the copies to forward.
func (p *Proxy) applyFaults(s *session, d Direction, data []byte) {
	q := s.queues[d]
	f, _ := p.faults.get(q.direction)
	if f.Cut || p.blocks.has(s.client, q.direction) || p.faults.sampleChance(f.Loss) {
		return
	}
	copies := 1
	if p.faults.sampleChance(f.Duplication) {
		copies = 2
	}
	for range copies {
		delay := p.faults.sampleDelay(f)
		if p.faults.sampleChance(f.Reordering) {
			delay += f.ReorderingDelay
		}
		q.enqueue(time.Now().Add(delay), data, f.transmissionTime(len(data)))
	}
}
