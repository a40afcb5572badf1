package generator

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// Arrivals is the distribution of the times between requests.
type Arrivals uint8

// Distributions of the times between requests.
const (
	Poisson Arrivals = iota // poisson
	Fixed                   // fixed
)

// MarshalText writes the name.
func (a Arrivals) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads the name.
func (a *Arrivals) UnmarshalText(text []byte) error {
	switch string(text) {
	case Poisson.String():
		*a = Poisson
	case Fixed.String():
		*a = Fixed
	default:
		return errors.Errorf("unknown arrivals %q; allowed: poisson, fixed", text)
	}
	return nil
}

// Defaults and limits of a configuration.
const (
	defaultTimeout     = 2 * time.Second
	defaultBodySize    = 64
	defaultMaxInFlight = 20_000
	// defaultMaxConnections keeps four entries within 4,096 file descriptors. Without a limit the transport dials for
	// each request that finds no idle connection, and a burst at the start used up 20,000 descriptors.
	defaultMaxConnections = 1024
	defaultMaxNotRunIDs   = 1 << 20
	maxKeys               = 1 << 22
	maxDuration           = time.Hour
)

// Config configures a run.
type Config struct {
	// Entries are the addresses of hibiscusd processes. Each request goes to a random one.
	Entries  []netip.AddrPort   `json:"entries"`
	Duration validator.Duration `json:"duration"`
	// Seed seeds arrivals, keys and the choice of entries. Request ids still differ between runs.
	Seed     uint64   `json:"seed"`
	Arrivals Arrivals `json:"arrivals"`
	Streams  []Stream `json:"streams"`
	// MaxInFlight bounds the requests in flight (20,000 if zero). Requests beyond it are counted as overflow.
	MaxInFlight int `json:"max_in_flight"`
	// MaxConnections bounds the connections to one entry (1,024 if zero). Requests beyond it wait for a connection, and
	// the wait counts as latency.
	MaxConnections int `json:"max_connections"`
	// Retries is how often a non-repeatable request that was not answered is retried with its Idempotency-Key, each
	// time at the next entry after RetryDelay.
	Retries    int                `json:"resends"`
	RetryDelay validator.Duration `json:"resend_delay"`
	// MaxNotRunIDs bounds the length of Report.NotRunIDs (1,048,576 if zero).
	MaxNotRunIDs int `json:"max_ids"`
	// Direct counts responses without Hibiscus-Outcome as answered, for runs against backend servers without a router.
	Direct bool `json:"direct"`
}

// Stream is a sequence of similar requests.
type Stream struct {
	Name string `json:"name"`
	// Rank is the rank under which the stream is reported. It isn't sent to the router.
	Rank string `json:"rank"`
	// Rate is in requests per second.
	Rate    float64 `json:"rate"`
	Service string  `json:"service"`
	// Method is GET if empty.
	Method string `json:"method"`
	Path   string `json:"path"`
	// KeyCount is the number of keys; zero sends no key. A key is KeyPrefix followed by a number from 0, the most
	// popular key first.
	KeyCount  int    `json:"keys"`
	KeyPrefix string `json:"key_prefix"`
	// ZipfExponent is the Zipf exponent of the keys' popularity; zero makes all equally popular.
	ZipfExponent float64 `json:"skew"`
	// NonRepeatable requests carry a unique Idempotency-Key, the same for all their attempts.
	NonRepeatable bool `json:"non_repeatable"`
	// BodySize is in bytes. Zero is 64, or no body for GET and HEAD.
	BodySize int `json:"body_size"`
	// Timeout is sent as Hibiscus-Timeout-Ms (2 s if zero). The client waits a second longer for the response.
	Timeout validator.Duration `json:"timeout"`
	// LatencyTarget is the latency up to which a response counts as within target; zero counts all.
	LatencyTarget validator.Duration `json:"target"`
	// Start and Stop bound the stream's part of the run. A zero Stop is the end of the run.
	Start validator.Duration `json:"start"`
	Stop  validator.Duration `json:"stop"`
}

func (c Config) withDefaults() Config {
	streams := make([]Stream, len(c.Streams))
	for i, s := range c.Streams {
		if s.Method == "" {
			s.Method = "GET"
		}
		if s.Timeout == 0 {
			s.Timeout = validator.Duration(defaultTimeout)
		}
		if s.BodySize == 0 && s.hasBody() {
			s.BodySize = defaultBodySize
		}
		if s.Stop == 0 || s.Stop > c.Duration {
			s.Stop = c.Duration
		}
		if s.Rank == "" {
			s.Rank = s.Name
		}
		streams[i] = s
	}
	c.Streams = streams
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.MaxNotRunIDs == 0 {
		c.MaxNotRunIDs = defaultMaxNotRunIDs
	}
	return c
}

func (s Stream) hasBody() bool { return s.Method != "GET" && s.Method != "HEAD" }

func (c Config) check() error {
	switch {
	case len(c.Entries) == 0:
		return errors.New("entries is empty; allowed: at least one address")
	case c.Duration <= 0 || c.Duration.Value() > maxDuration:
		return errors.Errorf("duration is %s; allowed: above 0 s, up to %s", c.Duration.Value(), maxDuration)
	case len(c.Streams) == 0:
		return errors.New("streams is empty; allowed: at least one stream")
	case c.MaxInFlight < 0, c.MaxConnections < 0, c.Retries < 0, c.RetryDelay < 0, c.MaxNotRunIDs < 0:
		return errors.New("max_in_flight, max_connections, resends, resend_delay and max_ids must not be negative")
	}
	for _, e := range c.Entries {
		if !e.IsValid() {
			return errors.New("entries has an invalid address; allowed: IP address and port")
		}
	}
	names := map[string]bool{}
	for _, s := range c.Streams {
		if names[s.Name] {
			return errors.Errorf("stream %s: the name is used twice", s.Name)
		}
		names[s.Name] = true
		if err := s.check(); err != nil {
			return errors.Wrapf(err, "stream %s", s.Name)
		}
	}
	return nil
}

func (s Stream) check() error {
	switch {
	case s.Name == "":
		return errors.New("name is empty")
	case s.Rate <= 0:
		return errors.Errorf("rate is %g; allowed: above 0", s.Rate)
	case !strings.HasPrefix(s.Path, "/"):
		return errors.Errorf("path is %q; allowed: a path that starts with /", s.Path)
	case s.KeyCount < 0 || s.KeyCount > maxKeys:
		return errors.Errorf("keys is %d; allowed: 0 to %d", s.KeyCount, maxKeys)
	case s.ZipfExponent < 0:
		return errors.Errorf("skew is %g; allowed: 0 or more", s.ZipfExponent)
	case s.BodySize < 0 || s.BodySize > emulator.MaxBodyBytes:
		return errors.Errorf("body_size is %d; allowed: 0 to %d", s.BodySize, emulator.MaxBodyBytes)
	case s.BodySize > 0 && !s.hasBody():
		return errors.Errorf("body_size is %d; allowed: 0 for %s", s.BodySize, s.Method)
	case s.Timeout < 0, s.LatencyTarget < 0, s.Start < 0, s.Stop < 0:
		return errors.New("timeout, target, start and stop must not be negative")
	}
	return nil
}
