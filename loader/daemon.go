package loader

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DaemonSettings are the settings of one hibiscusd.
type DaemonSettings struct {
	// Name identifies the process to operators. It stays the same across restarts.
	Name string `json:"name"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Listen is the HTTP address for callers.
	Listen netip.AddrPort `json:"listen"`
	// QUIC is the UDP address for other processes. They learn it from the log, so it must not be a wildcard address.
	QUIC netip.AddrPort `json:"quic"`
	// Advertise is the address that other processes use instead of QUIC, if packets to it are forwarded to QUIC. Empty
	// means QUIC.
	Advertise netip.AddrPort `json:"advertise"`
	// Local is the HTTP endpoint for the backend server beside the process. It must be on loopback, since it accepts
	// announcements without authentication.
	Local netip.AddrPort `json:"local"`
	// Admin is the HTTP endpoint for operators: metrics, dump, status, drain and move. Others learn it from the log, so
	// it must not be a wildcard address.
	Admin netip.AddrPort `json:"admin"`
	Log   LogSettings    `json:"log"`
	// Peers are QUIC addresses of processes to fetch the state from when the log is not reachable.
	Peers  []netip.AddrPort `json:"peers"`
	TLS    TLSSettings      `json:"tls"`
	Limits LimitSettings    `json:"limits"`
	// DrainTimeout bounds how long a graceful shutdown waits for requests in flight.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// Baseline is for experiments only.
	Baseline BaselineSettings `json:"baseline"`
}

// BaselineSettings replace policies by simpler ones that experiments compare them with. The zero value keeps the normal
// policies. They are not meant for production, and the operators' documentation leaves them out.
type BaselineSettings struct {
	// Admission is least_cost, ranked, single_queue or unlimited. Empty means least_cost.
	Admission string `json:"admission"`
	// Chooser is two_choices, round_robin or reported_load. Empty means two_choices.
	Chooser string `json:"chooser"`
	// Static disables moves of ranges that balance load.
	Static bool `json:"static"`
	// UnlimitedRetries disables the retry budget.
	UnlimitedRetries bool `json:"unlimited_retries"`
}

// LogSettings locate the platform's log.
type LogSettings struct {
	Address      netip.AddrPort `json:"address"`
	Stream       string         `json:"stream"`
	PollInterval time.Duration  `json:"poll_interval"`
}

// TLSSettings are paths of PEM files.
type TLSSettings struct {
	// CA is the file of the authorities that sign the certificates of other processes.
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// LimitSettings bound the resources that callers can make the process use.
type LimitSettings struct {
	MaxHeaderBytes int `json:"max_header_bytes"`
	// ReplayLimit is the size in bytes of the largest request body that is buffered for a retry.
	ReplayLimit int `json:"replay_limit"`
	// QueueLimit is the largest number of requests that wait for the backend server.
	QueueLimit int `json:"queue_limit"`
	// DefaultTimeout applies to requests without Hibiscus-Timeout-Ms.
	DefaultTimeout time.Duration `json:"default_timeout"`
	// MaxConnections is the largest number of open connections from callers.
	MaxConnections int `json:"max_connections"`
}

// DefaultDaemonSettings returns the default settings. Name, zone, addresses other than Local, and TLS files have none.
func DefaultDaemonSettings() DaemonSettings {
	return DaemonSettings{
		Local: netip.MustParseAddrPort("127.0.0.1:7400"),
		Log:   LogSettings{Stream: "hibiscusline", PollInterval: 250 * time.Millisecond},
		Limits: LimitSettings{
			MaxHeaderBytes: 32 << 10, ReplayLimit: 64 << 10, QueueLimit: 1024,
			DefaultTimeout: 10 * time.Second, MaxConnections: 4096,
		},
		DrainTimeout: 30 * time.Second,
	}
}

// LoadDaemon reads the settings file of a hibiscusd and fills in defaults.
func LoadDaemon(path string) (DaemonSettings, error) {
	s := DefaultDaemonSettings()
	if err := DecodeFile(path, &s); err != nil {
		return DaemonSettings{}, err
	}
	return s, nil
}

// Bounds of settings. They reject values that can only be mistakes, such as a poll interval that overloads the log.
const (
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = time.Minute
	maxDuration     = time.Hour
	maxByteLimit    = 16 << 20
	maxCount        = 1 << 20
)

// Check returns a problem for each invalid field.
func (s *DaemonSettings) Check() []Problem {
	var c fieldChecker
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	c.address("listen", s.Listen)
	c.reachable("quic", s.QUIC)
	if s.Advertise.IsValid() {
		c.reachable("advertise", s.Advertise)
	}
	c.address("local", s.Local)
	c.require(!s.Local.IsValid() || s.Local.Addr().IsLoopback(), "local", s.Local.String(), "a loopback address, such as 127.0.0.1")
	c.reachable("admin", s.Admin)
	c.distinct(map[string]netip.AddrPort{"listen": s.Listen, "local": s.Local, "admin": s.Admin}, "listen", "local", "admin")
	c.reachable("log.address", s.Log.Address)
	c.name("log.stream", s.Log.Stream)
	c.duration("log.poll_interval", s.Log.PollInterval, minPollInterval, maxPollInterval)
	for i, peer := range s.Peers {
		c.reachable(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.file("tls.ca", s.TLS.CA)
	c.file("tls.certificate", s.TLS.Certificate)
	c.file("tls.key", s.TLS.Key)
	c.count("limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1<<10, maxByteLimit)
	c.count("limits.replay_limit", s.Limits.ReplayLimit, 0, maxByteLimit)
	c.count("limits.queue_limit", s.Limits.QueueLimit, 1, maxCount)
	c.duration("limits.default_timeout", s.Limits.DefaultTimeout, time.Millisecond, maxDuration)
	c.count("limits.max_connections", s.Limits.MaxConnections, 1, maxCount)
	c.duration("drain_timeout", s.DrainTimeout, 0, maxDuration)
	c.choice("baseline.admission", s.Baseline.Admission, "least_cost", "ranked", "single_queue", "unlimited")
	c.choice("baseline.chooser", s.Baseline.Chooser, "two_choices", "round_robin", "reported_load")
	return c.problems
}

type fieldChecker struct{ problems []Problem }

func (c *fieldChecker) require(holds bool, path, value, allowed string) {
	if !holds {
		c.problems = append(c.problems, Problem{Path: path, Value: value, Allowed: allowed})
	}
}

func (c *fieldChecker) name(path, value string) {
	invalid := strings.IndexFunc(value, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' && r != '-'
	})
	shown := strconv.Quote(value)
	if value == "" {
		shown = "missing"
	}
	c.require(value != "" && len(value) <= 64 && invalid < 0, path, shown, "1 to 64 characters of a-z, 0-9, _ and -")
}

func (c *fieldChecker) file(path, value string) {
	c.require(value != "", path, "missing", "the path of a PEM file")
}

func (c *fieldChecker) address(path string, a netip.AddrPort) {
	if !a.IsValid() {
		c.require(false, path, "missing", textForms[addrPortType])
		return
	}
	c.require(a.Port() != 0, path, a.String(), "a port from 1 to 65535")
}

// reachable checks an address that processes connect to, which can't be a wildcard address.
func (c *fieldChecker) reachable(path string, a netip.AddrPort) {
	c.address(path, a)
	c.require(!a.IsValid() || !a.Addr().IsUnspecified(), path, a.String(), "the address of one interface, not of all")
}

func (c *fieldChecker) distinct(addresses map[string]netip.AddrPort, paths ...string) {
	for i, path := range paths {
		for _, other := range paths[:i] {
			same := addresses[path].IsValid() && addresses[path] == addresses[other]
			c.require(!same, path, addresses[path].String(), "an address that "+other+" doesn't have")
		}
	}
}

func (c *fieldChecker) duration(path string, value, least, most time.Duration) {
	c.require(value >= least && value <= most, path, value.String(), fmt.Sprintf("%s to %s", least, most))
}

func (c *fieldChecker) count(path string, value, least, most int) {
	c.require(value >= least && value <= most, path, strconv.Itoa(value), fmt.Sprintf("%d to %d", least, most))
}

// choice checks that a value is one of the allowed names or empty, which means the default.
func (c *fieldChecker) choice(path, value string, allowed ...string) {
	c.require(value == "" || slices.Contains(allowed, value), path, strconv.Quote(value), strings.Join(allowed, ", "))
}
