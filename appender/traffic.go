package appender

import (
	"context"
	"net"

	"hibiscusline/carrier"
)

const (
	// segmentBytes is the payload of a full TCP segment on Ethernet.
	segmentBytes = 1448
	// headerBytes is the size of the IPv4 header and the TCP header with time stamps.
	headerBytes = 52
	// handshakeBytes is the size of the segments that open and close a connection.
	handshakeBytes = 7 * 60
)

// WireBytes returns an estimate of the IP traffic to and from the log service over Ethernet, in bytes: payload, TCP and
// IP headers, and one acknowledgement for every read.
func (c *Client) WireBytes() uint64 { return c.trafficBytes.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.trafficBytes.Add(handshakeBytes)
	return &countedConnection{Conn: carrier.ReportAborts(connection), client: c}, nil
}

type countedConnection struct {
	net.Conn
	client *Client
}

func wireBytes(n int) uint64 {
	segments := (n + segmentBytes - 1) / segmentBytes
	return uint64(n + segments*headerBytes)
}

// Read reads and counts the segments and their acknowledgement.
func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.client.trafficBytes.Add(wireBytes(n) + headerBytes)
	}
	return n, err
}

// Write writes and counts the segments. Their acknowledgement is carried by the response.
func (c *countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.trafficBytes.Add(wireBytes(n))
	return n, err
}
