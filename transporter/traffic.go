package transporter

import "github.com/quic-go/quic-go"

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// Traffic counts the packets and bytes that a process has sent and received since its start.
type Traffic struct {
	PacketsSent     uint64
	PacketsReceived uint64
	// Byte counts include the IP and UDP headers.
	BytesSent     uint64
	BytesReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
	t.BytesSent += s.BytesSent + headerBytes*s.PacketsSent
	t.BytesReceived += s.BytesReceived + headerBytes*s.PacketsReceived
}

// Traffic returns the traffic of all open and closed connections. Failed connection attempts are not included.
func (t *Transporter) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.closedTraffic
	for c := range t.open {
		sum.add(c.ConnectionStats())
	}
	return sum
}

func (t *Transporter) trackOpen(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[p.connection] = p
}

func (t *Transporter) trackClosed(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	t.closedTraffic.add(c.ConnectionStats())
}
