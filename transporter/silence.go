package transporter

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"hibiscusline/waiter"
)

// servedAgain is the promise that rests on a connection that answers: a key is served again after a fault.
var servedAgain = waiter.Promise{Name: "served_again", Within: 2 * time.Second}

// probeInterval is the time between two probes of a connection on which an answer is awaited and nothing arrives.
const probeInterval = 100 * time.Millisecond

// silentIntervals is the number of intervals after which such a connection counts as silent. A process acknowledges a probe
// within milliseconds, however long its answer takes.
var silentIntervals = int(servedAgain.Hedge(waiter.Hold{}, 0).Overdue / probeInterval)

// AwaitedStream is a stream that this process opened and on which it awaits an answer.
type AwaitedStream struct {
	*Stream
	peer *peer
}

// await counts a stream as awaited until its Release.
func (p *peer) await(s *Stream) *AwaitedStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &AwaitedStream{Stream: s, peer: p}
	p.awaited[a] = false
	return a
}

// CancelIfSilent makes the stream fail when its connection counts as silent. Otherwise it goes on waiting for an answer that
// may still come, as it must for a message that can't be sent again.
func (a *AwaitedStream) CancelIfSilent() {
	a.peer.mu.Lock()
	defer a.peer.mu.Unlock()
	if a.peer.silent {
		a.cancel()
		return
	}
	a.peer.awaited[a] = true
}

// Release cancels what is left of the stream.
func (a *AwaitedStream) Release() {
	a.peer.mu.Lock()
	delete(a.peer.awaited, a)
	a.peer.mu.Unlock()
	a.cancel()
}

func (a *AwaitedStream) cancel() {
	a.CancelRead(ResetCancelled)
	a.CancelWrite(ResetCancelled)
}

// watchSilence replaces connections that have gone silent. Without it, all requests to a process would wait until the idle
// timeout when the connection to it no longer carries packets and doesn't end.
func (t *Transporter) watchSilence() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-ticker.C:
		}
		for _, p := range t.openPeers() {
			if p.fallsSilent() {
				t.replace(p)
			}
		}
	}
}

func (t *Transporter) openPeers() []*peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]*peer, 0, len(t.open))
	for _, p := range t.open {
		peers = append(peers, p)
	}
	return peers
}

// fallsSilent is called in each interval. It probes the connection if an answer is awaited, and reports whether the
// connection counts as silent from now on. It counts intervals rather than time, since a process that was stopped for a
// while has not read what has arrived.
func (p *peer) fallsSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.awaited) == 0 || p.silent {
		p.quietIntervals = 0
		return false
	}
	if received := p.connection.ConnectionStats().PacketsReceived; received != p.received {
		p.received, p.quietIntervals = received, 0
		return false
	}
	p.quietIntervals++
	if p.quietIntervals < silentIntervals {
		p.probe()
		return false
	}
	p.silent = true
	for a, cancel := range p.awaited {
		if cancel {
			a.cancel()
		}
	}
	return true
}

// probe sends an empty datagram, which the peer acknowledges.
func (p *peer) probe() {
	select {
	case p.datagrams <- nil:
	default:
		// QUIC itself repeats packets that are not acknowledged.
	}
}

// replace dials a new connection in place of a silent one, which stays open for the answers that are still awaited on it. The
// new one has a socket of its own, because the path may be silent for all packets between the two addresses.
func (t *Transporter) replace(silent *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silences.Add(1)
	if t.peers[silent.address] != silent {
		return
	}
	p := newPeer(silent.address)
	t.peers[p.address] = p
	t.tasks.Go(func() { t.dial(p, t.dialFromOwnSocket) })
}

// dialFromOwnSocket dials a connection from a socket that only this connection uses.
func (t *Transporter) dialFromOwnSocket(ctx context.Context, address netip.AddrPort) (*quic.Conn, *quic.Transport, error) {
	listen := netip.AddrPortFrom(t.config.Listen.Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, nil, err
	}
	own := &quic.Transport{Conn: socket}
	connection, err := own.Dial(ctx, net.UDPAddrFromAddrPort(address), t.config.Credentials.client(), quicConfig())
	if err != nil {
		return nil, nil, errors.WithMessage(err, closeResult(closeOwn(own)))
	}
	return connection, own, nil
}

// closeOwn closes the transport of one connection, and its socket.
func closeOwn(own *quic.Transport) error {
	if err := own.Close(); err != nil {
		return err
	}
	return own.Conn.Close()
}
