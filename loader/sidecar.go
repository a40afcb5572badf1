package loader

import (
	"fmt"
	"net/netip"
	"time"
)

// SidecarSettings are the settings of a hibiscusd that runs as a sidecar on the users' platform, which writes them.
type SidecarSettings struct {
	// Name is the name of the process. It stays the same across restarts.
	Name string `json:"name"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Service is the service of the backend server beside the process, and Backend the server's address.
	Service string         `json:"service"`
	Backend netip.AddrPort `json:"backend"`
	// Listen is the HTTP address for callers on this instance and for the backend server's own requests.
	Listen netip.AddrPort `json:"listen"`
	// Peer is the address for other processes.
	Peer netip.AddrPort `json:"peer"`
	// Advertise is the address that other processes use instead of Peer, if connections to it are forwarded to Peer. Empty
	// means Peer.
	Advertise netip.AddrPort `json:"advertise"`
	// Ready is the HTTP endpoint for the platform's readiness checks.
	Ready netip.AddrPort `json:"ready"`
	// Local is the HTTP endpoint for the backend server's heartbeats.
	Local netip.AddrPort `json:"local"`
	// Metrics is the HTTP endpoint for metrics and state.
	Metrics netip.AddrPort `json:"metrics"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store"`
	// Heartbeat is the interval of the backend servers' heartbeats.
	Heartbeat time.Duration `json:"heartbeat"`
	// MemoryMB is the memory limit of the process in MB, and MaxDescriptors the limit of open files and connections.
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"descriptors"`
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s. Zero means no limit.
	LinkMbps float64 `json:"link_mbps"`
	// Admission is the order in which waiting requests get the slots of the backend server: least_cost or ranked. Empty means
	// least_cost.
	Admission string `json:"admission"`
	// Grants is how keys are granted to the backend server. Empty means GrantsByHeartbeat.
	Grants GrantForm     `json:"grants"`
	Bounds BoundSettings `json:"bounds"`
}

// GrantForm is how keys are granted to a backend server.
type GrantForm string

// Forms of grants: in the responses to the server's heartbeats, or by requests to the server.
const (
	GrantsByHeartbeat GrantForm = "heartbeat"
	GrantsByRequest   GrantForm = "request"
)

// BoundSettings are the limits and deadlines that the platform sets for its instances.
type BoundSettings struct {
	// Configuration is how soon after its acknowledgement a configuration must be in force at every process.
	Configuration time.Duration `json:"configuration"`
	// Drain is how long a draining backend server still accepts new requests.
	Drain time.Duration `json:"drain"`
	// Grace is the time between the signal to stop and the forced end of the process.
	Grace time.Duration `json:"grace"`
	// RetryShare is the share of a service's requests in RetryWindow that may be retries, in addition to RetrySlack
	// retries. The limit applies to all processes together.
	RetryShare  float64       `json:"retry_share"`
	RetryWindow time.Duration `json:"retry_window"`
	RetrySlack  float64       `json:"retry_slack"`
	// MaxHold is the longest time for which a backend server may be granted keys.
	MaxHold time.Duration `json:"max_hold"`
	// Evacuation is how soon after its acknowledgement the evacuation of an availability zone must be in force at every
	// process.
	Evacuation time.Duration `json:"evacuation"`
	// ColdShare and ColdSlack bound the requests that reach a cold backend server in one second: the rate that its service
	// tolerates times ColdShare, and ColdSlack more.
	ColdShare float64 `json:"cold_share"`
	ColdSlack float64 `json:"cold_slack"`
}

// DefaultSidecarSettings returns the default settings. Names and addresses have no default.
func DefaultSidecarSettings() SidecarSettings {
	return SidecarSettings{
		Heartbeat: time.Second, MemoryMB: 256, MaxDescriptors: 4096,
		Bounds: BoundSettings{
			Configuration: 2 * time.Second,
			Drain:         2 * time.Second, Grace: 6 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
			MaxHold: 10 * time.Second, Evacuation: 5 * time.Second, ColdShare: 1.5, ColdSlack: 8,
		},
	}
}

// LoadSidecar reads the settings file of a hibiscusd sidecar and fills in defaults.
func LoadSidecar(path string) (SidecarSettings, error) {
	s := DefaultSidecarSettings()
	if err := DecodeFile(path, &s); err != nil {
		return SidecarSettings{}, err
	}
	return s, nil
}

// PeerAddress returns the address at which other processes reach this one.
func (s *SidecarSettings) PeerAddress() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Peer
}

// minConfigurationBound is the shortest time in which a configuration can be required to be in force: reads of it, from the
// store and from other processes, take turns in it.
const minConfigurationBound = 500 * time.Millisecond

// Check returns a problem for each invalid field.
func (s *SidecarSettings) Check() []Problem {
	var c fieldChecker
	c.require(s.Name != "", "name", "missing", "the name of the process")
	c.require(s.Zone != "", "zone", "missing", "the availability zone of the instance")
	c.require(s.Service != "", "service", "missing", "the service of the backend server")
	c.address("backend", s.Backend)
	c.address("listen", s.Listen)
	c.reachable("peer", s.Peer)
	if s.Advertise.IsValid() {
		c.reachable("advertise", s.Advertise)
	}
	c.address("ready", s.Ready)
	c.address("local", s.Local)
	c.address("metrics", s.Metrics)
	c.reachable("store", s.Store)
	c.duration("heartbeat", s.Heartbeat, minPollInterval, maxPollInterval)
	c.count("memory_mb", s.MemoryMB, 16, maxCount)
	c.count("descriptors", s.MaxDescriptors, 64, maxCount)
	c.require(s.LinkMbps >= 0, "link_mbps", fmt.Sprint(s.LinkMbps), "0 or more")
	c.choice("admission", s.Admission, "least_cost", "ranked")
	c.require(s.Grants == "" || s.Grants == GrantsByHeartbeat || s.Grants == GrantsByRequest, "grants", string(s.Grants),
		"heartbeat or request")
	c.duration("bounds.configuration", s.Bounds.Configuration, minConfigurationBound, maxDuration)
	c.duration("bounds.drain", s.Bounds.Drain, minPollInterval, maxDuration)
	c.duration("bounds.grace", s.Bounds.Grace, time.Second, maxDuration)
	c.require(s.Bounds.RetryShare >= 0 && s.Bounds.RetryShare <= 1, "bounds.retry_share", fmt.Sprint(s.Bounds.RetryShare), "0 to 1")
	c.duration("bounds.retry_window", s.Bounds.RetryWindow, time.Second, maxDuration)
	c.require(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", fmt.Sprint(s.Bounds.RetrySlack), "0 or more")
	c.duration("bounds.max_hold", s.Bounds.MaxHold, time.Second, maxDuration)
	c.duration("bounds.evacuation", s.Bounds.Evacuation, minConfigurationBound, maxDuration)
	c.require(s.Bounds.ColdShare >= 1, "bounds.cold_share", fmt.Sprint(s.Bounds.ColdShare), "1 or more")
	c.require(s.Bounds.ColdSlack >= 0, "bounds.cold_slack", fmt.Sprint(s.Bounds.ColdSlack), "0 or more")
	return c.problems
}
