package transporter

import "github.com/quic-go/quic-go"

// headerBytes are those of IPv4 and UDP.
const headerBytes = 28

// Traffic is what a process has sent and received since its start.
type Traffic struct {
	PacketsSent     uint64
	PacketsReceived uint64
	// Bytes include the headers of IP and UDP.
	BytesSent     uint64
	BytesReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
	t.BytesSent += s.BytesSent + headerBytes*s.PacketsSent
	t.BytesReceived += s.BytesReceived + headerBytes*s.PacketsReceived
}

// Traffic returns the traffic of all connections, those that have ended included. Failed attempts to connect are not
// counted.
func (t *Transporter) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.ended
	for c := range t.open {
		sum.add(c.ConnectionStats())
	}
	return sum
}

func (t *Transporter) noteOpen(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = struct{}{}
}

func (t *Transporter) noteEnded(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	t.ended.add(c.ConnectionStats())
}
