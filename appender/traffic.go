package appender

import (
	"context"
	"net"
)

const (
	// segmentBytes is the payload of a full TCP segment on Ethernet.
	segmentBytes = 1448
	// headerBytes are those of IPv4 and of TCP with time stamps.
	headerBytes = 52
	// handshakeBytes are those of the segments that open and close a connection.
	handshakeBytes = 7 * 60
)

// Traffic returns the bytes sent to and received from the log service, as they would be on Ethernet without its frames:
// payload, headers of the segments, and one acknowledgement for every read.
func (c *Client) WireBytes() uint64 { return c.bytes.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.bytes.Add(handshakeBytes)
	return &countedConnection{Conn: connection, client: c}, nil
}

type countedConnection struct {
	net.Conn
	client *Client
}

func onWire(n int) uint64 {
	segments := (n + segmentBytes - 1) / segmentBytes
	return uint64(n + segments*headerBytes)
}

// Read reads and counts the segments and their acknowledgement.
func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.client.bytes.Add(onWire(n) + headerBytes)
	}
	return n, err
}

// Write writes and counts the segments, whose acknowledgement comes with the answer.
func (c *countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.bytes.Add(onWire(n))
	return n, err
}
