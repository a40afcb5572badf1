package launcher

import (
	"net/netip"

	"github.com/pkg/errors"

	"hibiscusline/disruptor"
	"hibiscusline/loader"
)

// network is the part of a node's traffic that can be disturbed: a proxy in front of its QUIC address, which the process
// advertises, one between it and the log, and one between its backend server and its local endpoint.
type network struct {
	quic  *disruptor.Proxy
	log   *disruptor.Proxy
	local *disruptor.Proxy
}

// disturb puts proxies around a process that is about to start.
func (f *Fleet) disturb(s *loader.DaemonSettings) (*network, error) {
	if !f.config.FaultProxies {
		return nil, nil
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	seed := f.config.Seed + uint64(len(f.Nodes))
	quic, err := disruptor.New(disruptor.Config{Protocol: disruptor.UDP, Listen: loopback, Upstream: s.QUIC, Seed: seed})
	if err != nil {
		return nil, err
	}
	log, err := disruptor.New(disruptor.Config{Protocol: disruptor.TCP, Listen: loopback, Upstream: f.address, Seed: seed})
	if err != nil {
		return nil, errors.WithMessage(err, closeText(quic.Close()))
	}
	local, err := disruptor.New(disruptor.Config{Protocol: disruptor.TCP, Listen: loopback, Upstream: s.Local, Seed: seed})
	if err != nil {
		return nil, errors.WithMessage(err, closeText((&network{quic: quic, log: log}).close()))
	}
	s.Advertise, s.Log.Address = quic.Addr(), log.Addr()
	return &network{quic: quic, log: log, local: local}, nil
}

func closeText(err error) string {
	if err != nil {
		return "close: " + err.Error()
	}
	return "closed"
}

func (w *network) close() error {
	if w == nil {
		return nil
	}
	var first error
	for _, p := range []*disruptor.Proxy{w.quic, w.log, w.local} {
		if p == nil {
			continue
		}
		if err := p.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// BlackholeLog holds back all traffic between the process and the log, or ends that. It needs Config.FaultProxies, like the
// other methods that disturb traffic.
func (n *Node) BlackholeLog(on bool) { n.network.log.Blackhole(on) }

// SetLogToxics sets toxics in both directions between the process and the log.
func (n *Node) SetLogToxics(t disruptor.Toxics) {
	n.network.log.Set(disruptor.Upstream, t)
	n.network.log.Set(disruptor.Downstream, t)
}

// BlackholeAnnouncements holds back what the backend server announces to the process, or ends that.
func (n *Node) BlackholeAnnouncements(on bool) { n.network.local.Blackhole(on) }

// announceTo returns the address to which the backend server announces itself.
func (n *Node) announceTo() netip.AddrPort {
	if n.network != nil {
		return n.network.local.Addr()
	}
	return n.Settings.Local
}

// PartitionFromPeers drops what peers send to the process, and what it sends to them, or ends that.
func (n *Node) PartitionFromPeers(toProcess, fromProcess bool) {
	own := n.network.quic
	for d, cut := range map[disruptor.Direction]bool{disruptor.Upstream: toProcess, disruptor.Downstream: fromProcess} {
		t := own.Toxics(d)
		t.Cut = cut
		own.Set(d, t)
	}
	// The connections that the process opens pass the proxies of its peers.
	for _, other := range n.fleet.Nodes {
		if other != n {
			other.network.quic.Block(n.Settings.QUIC, disruptor.Upstream, fromProcess)
			other.network.quic.Block(n.Settings.QUIC, disruptor.Downstream, toProcess)
		}
	}
}

// PartitionFrom drops all traffic between the process and another one, or ends that.
func (n *Node) PartitionFrom(other *Node, on bool) {
	for client, server := range map[*Node]*Node{n: other, other: n} {
		for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
			server.network.quic.Block(client.Settings.QUIC, d, on)
		}
	}
}

// SetPeerToxics sets toxics in both directions on the connections that peers open to the process. A cut by PartitionFromPeers stays.
func (n *Node) SetPeerToxics(t disruptor.Toxics) {
	for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
		t.Cut = n.network.quic.Toxics(d).Cut
		n.network.quic.Set(d, t)
	}
}

// advertised returns the address at which peers reach the process.
func (n *Node) advertised() netip.AddrPort {
	if n.Settings.Advertise.IsValid() {
		return n.Settings.Advertise
	}
	return n.Settings.QUIC
}
