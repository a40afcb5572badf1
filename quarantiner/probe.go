package quarantiner

import (
	"net"
	"net/netip"
	"time"
)

// Probes after a broken connection. A crashing server may close its connections shortly before its listener. A single
// probe missed such crashes, and the request then crashed one more server.
const (
	crashProbes        = 4
	crashProbeInterval = 15 * time.Millisecond
)

// ProbeConnections returns the error of the first probe that can't connect to a server, each within a timeout, or nil. With such an
// error, the server may have crashed if the connections of its requests broke as well.
func ProbeConnections(address netip.AddrPort, timeout time.Duration) error {
	for i := range crashProbes {
		if i > 0 {
			time.Sleep(crashProbeInterval)
		}
		connection, err := net.DialTimeout("tcp", address.String(), timeout)
		if err != nil {
			return err
		}
		// No data was sent on the connection.
		_ = connection.Close()
	}
	return nil
}
