package launcher

import (
	"net/netip"

	"github.com/pkg/errors"

	"hibiscusline/disruptor"
	"hibiscusline/loader"
)

// faultProxies are the proxies that inject network faults at a node: quic in front of the QUIC address, whose own
// address the process advertises, log between the process and the log service, and local between the backend server and
// the process's local endpoint.
type faultProxies struct {
	quic  *disruptor.Proxy
	log   *disruptor.Proxy
	local *disruptor.Proxy
}

// startProxies starts the proxies of a process that is about to start, and points its settings to them. It returns nil
// without Config.FaultProxies.
func (f *Fleet) startProxies(s *loader.DaemonSettings) (*faultProxies, error) {
	if !f.config.FaultProxies {
		return nil, nil
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	seed := f.config.Seed + uint64(len(f.Nodes))
	// The proxies of peers know the process by its address, since its connections may come from several ports.
	s.QUIC = netip.AddrPortFrom(loopbackAddress(len(f.Nodes)), s.QUIC.Port())
	quic, err := disruptor.New(disruptor.Config{Protocol: disruptor.UDP, Listen: loopback, Upstream: s.QUIC, Seed: seed})
	if err != nil {
		return nil, err
	}
	log, err := disruptor.New(disruptor.Config{Protocol: disruptor.TCP, Listen: loopback, Upstream: f.logAddress, Seed: seed})
	if err != nil {
		return nil, errors.WithMessage(err, closeResult(quic.Close()))
	}
	local, err := disruptor.New(disruptor.Config{Protocol: disruptor.TCP, Listen: loopback, Upstream: s.Local, Seed: seed})
	if err != nil {
		return nil, errors.WithMessage(err, closeResult((&faultProxies{quic: quic, log: log}).close()))
	}
	s.Advertise, s.Log.Address = quic.Addr(), log.Addr()
	return &faultProxies{quic: quic, log: log, local: local}, nil
}

// loopbackAddress returns an address of the loopback interface that only one node uses.
func loopbackAddress(node int) netip.Addr {
	const nodesPerNet = 250
	return netip.AddrFrom4([4]byte{127, 1, byte(node / nodesPerNet), byte(1 + node%nodesPerNet)})
}

// everyPort returns the address of all sockets from which the process dials its peers.
func (n *Node) everyPort() netip.AddrPort { return netip.AddrPortFrom(n.Settings.QUIC.Addr(), 0) }

func closeResult(err error) string {
	if err != nil {
		return "close: " + err.Error()
	}
	return "closed"
}

func (fp *faultProxies) close() error {
	if fp == nil {
		return nil
	}
	var firstErr error
	for _, p := range []*disruptor.Proxy{fp.quic, fp.log, fp.local} {
		if p == nil {
			continue
		}
		if err := p.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// BlackholeLog starts or stops holding back all traffic between the process and the log. Like the other methods that
// inject network faults, it requires Config.FaultProxies.
func (n *Node) BlackholeLog(on bool) { n.proxies.log.Blackhole(on) }

// SetLogFaults sets the faults in both directions between the process and the log.
func (n *Node) SetLogFaults(f disruptor.Faults) {
	n.proxies.log.SetFaults(disruptor.Upstream, f)
	n.proxies.log.SetFaults(disruptor.Downstream, f)
}

// BlackholeAnnouncements starts or stops holding back the announcements of the backend server to the process.
func (n *Node) BlackholeAnnouncements(on bool) { n.proxies.local.Blackhole(on) }

// announceAddress returns the address to which the backend server announces itself.
func (n *Node) announceAddress() netip.AddrPort {
	if n.proxies != nil {
		return n.proxies.local.Addr()
	}
	return n.Settings.Local
}

// PartitionFromPeers sets whether traffic from peers to the process and traffic from the process to peers is dropped.
func (n *Node) PartitionFromPeers(toProcess, fromProcess bool) {
	proxy := n.proxies.quic
	for d, cut := range map[disruptor.Direction]bool{disruptor.Upstream: toProcess, disruptor.Downstream: fromProcess} {
		f := proxy.Faults(d)
		f.Cut = cut
		proxy.SetFaults(d, f)
	}
	// The connections that the process opens go through the proxies of its peers.
	for _, other := range n.fleet.Nodes {
		if other != n {
			other.proxies.quic.Block(n.everyPort(), disruptor.Upstream, fromProcess)
			other.proxies.quic.Block(n.everyPort(), disruptor.Downstream, toProcess)
		}
	}
}

// PartitionFrom starts or stops dropping all traffic between the process and the process of another node.
func (n *Node) PartitionFrom(other *Node, on bool) {
	for client, server := range map[*Node]*Node{n: other, other: n} {
		for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
			server.proxies.quic.Block(client.everyPort(), d, on)
		}
	}
}

// SilenceConnectionTo drops all packets on the connection that the process has opened to the process of another node, in both
// directions. Packets from other sockets of the process pass.
func (n *Node) SilenceConnectionTo(other *Node) {
	for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
		other.proxies.quic.Block(n.Settings.QUIC, d, true)
	}
}

// SetPeerFaults sets the faults in both directions on the connections that peers open to the process, except Cut, which
// PartitionFromPeers sets.
func (n *Node) SetPeerFaults(f disruptor.Faults) {
	for _, d := range []disruptor.Direction{disruptor.Upstream, disruptor.Downstream} {
		f.Cut = n.proxies.quic.Faults(d).Cut
		n.proxies.quic.SetFaults(d, f)
	}
}

// advertisedAddress returns the address at which peers reach the process.
func (n *Node) advertisedAddress() netip.AddrPort {
	if n.Settings.Advertise.IsValid() {
		return n.Settings.Advertise
	}
	return n.Settings.QUIC
}
