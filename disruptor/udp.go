package disruptor

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// maxDatagram is the largest UDP payload; maxQueued bounds the delayed datagrams of a direction of a session.
const (
	maxDatagram = 65535
	maxQueued   = 4096
)

// session is the upstream socket of one UDP client.
type session struct {
	client netip.AddrPort
	server *net.UDPConn
	lanes  [2]*lane
	ctx    context.Context
	stop   context.CancelFunc
}

func (s *session) close() {
	s.stop()
	// An error means that the socket is closed already.
	_ = s.server.Close()
}

// receive takes datagrams from clients.
func (p *Proxy) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, client, err := p.socket.ReadFromUDPAddrPort(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			// ICMP errors of a client that is gone appear here and concern no other client.
			continue
		}
		if s := p.session(client); s != nil {
			p.disturb(s, Upstream, buffer[:n])
		}
	}
}

// session returns the session of a client. It returns nil when the upstream address can't be used or the proxy is closed.
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
	s.lanes[Upstream] = newLane(Upstream, func(data []byte) { _, _ = server.Write(data) })
	s.lanes[Downstream] = newLane(Downstream, func(data []byte) { _, _ = p.socket.WriteToUDPAddrPort(data, client) })
	p.sessions[client] = s
	for _, l := range s.lanes {
		p.workers.Go(func() {
			l.run(ctx, func() bool { return p.Faults(l.direction).Cut || p.blocks.has(client, l.direction) })
		})
	}
	p.workers.Go(func() { p.answer(s) })
	return s
}

// answer takes datagrams from the upstream server.
func (p *Proxy) answer(s *session) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := s.server.Read(buffer)
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			// The upstream server may not listen at present.
			if !wait(s.ctx, time.Millisecond) {
				return
			}
			continue
		}
		p.disturb(s, Downstream, buffer[:n])
	}
}

// disturb applies the toxics of a direction to a datagram of a session.
func (p *Proxy) disturb(s *session, d Direction, data []byte) {
	l := s.lanes[d]
	t, _ := p.board.get(l.direction)
	if t.Cut || p.blocks.has(s.client, l.direction) || p.board.chance(t.Loss) {
		return
	}
	copies := 1
	if p.board.chance(t.Duplication) {
		copies = 2
	}
	for range copies {
		delay := p.board.delay(t)
		if p.board.chance(t.Reordering) {
			delay += t.ReorderingDelay
		}
		l.put(time.Now().Add(delay), data, t.transmission(len(data)))
	}
}
