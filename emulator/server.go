package emulator

import (
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hibiscusline/timer"
)

// Defaults of a backend server, after the servers of section 1 of the design page.
const (
	DefaultSlots          = 12
	DefaultMaxConnections = 130
)

const (
	defaultRestartTime = time.Second
	defaultColdFactor  = 4
	// lognormalSigma makes the 99th percentile about 3 times the mean.
	lognormalSigma = 0.65
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Service string
	// Name is the server's name in ledgers and answers.
	Name string
	// Slots and Connections are the limits of the server; zero is the default.
	Slots          int
	MaxConnections int
	// Fenced servers check the epoch of a request.
	Fenced bool
	// Fence may be shared by servers with a common store. Nil gives the server one of its own.
	Fence *Fence
	// Ledger may be shared by servers. Nil gives the server one of its own.
	Ledger *Ledger
	// Router is the local endpoint of the hibiscusd beside the server. The zero value turns announcements off.
	Router netip.AddrPort
	// Address is the announced address. Run sets it from its listener if it is not valid.
	Address netip.AddrPort
	// Seed drives service times and random failures.
	Seed uint64
	// Settings are the settings at start.
	Settings ServerSettings
}

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	config  ServerConfig
	handler http.Handler
	slots   chan struct{}

	mutex    sync.Mutex
	settings ServerSettings
	changed  chan struct{}
	life     *life
	down     bool
	managed  bool
	random   *rand.Rand
	waiting  int
	load     Load
	loadAt   time.Duration
	address  netip.AddrPort
	counts   ServerCounts
}

// life is the time between a start and a crash.
type life struct {
	started time.Duration
	crashed chan struct{}
}

// ServerCounts counts the events of a Server since it was made.
type ServerCounts struct {
	Requests           uint64 `json:"requests"`
	Shed               uint64 `json:"shed"`
	StaleEpochs        uint64 `json:"stale"`
	Crashes            uint64 `json:"crashes"`
	Connections        uint64 `json:"connections"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	Announcements      uint64 `json:"announcements"`
	// AnnouncementErrors counts announcements that failed; LastAnnouncementError is the last error, or empty.
	AnnouncementErrors    uint64 `json:"announcement_errors"`
	LastAnnouncementError string `json:"last_announcement_error"`
}

// NewServer returns a server that is up. Its handler can be served by any listener; Run also emulates connection limits
// and refused connections.
func NewServer(c ServerConfig) *Server {
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger(0)
	}
	if c.Fence == nil {
		c.Fence = &Fence{}
	}
	s := &Server{
		config: c, slots: make(chan struct{}, c.Slots), settings: c.Settings, changed: make(chan struct{}),
		life: newLife(), random: rand.New(rand.NewPCG(c.Seed, 2)), address: c.Address,
	}
	s.handler = s.routes()
	return s
}

func newLife() *life { return &life{started: timer.Now(), crashed: make(chan struct{})} }

// Handler returns the handler of the server's endpoints.
func (s *Server) Handler() http.Handler { return s.handler }

// Ledger returns the ledger that the server writes.
func (s *Server) Ledger() *Ledger { return s.config.Ledger }

// Address returns the announced address. It is not valid before Run if it was not configured.
func (s *Server) Address() netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Counts returns the counters.
func (s *Server) Counts() ServerCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Crash cuts all connections and requests. The server starts again after the restart time.
func (s *Server) Crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.counts.Crashes++
	close(s.life.crashed)
	s.signal()
	if !s.managed {
		time.AfterFunc(s.restartTime(), s.revive)
	}
}

func (s *Server) restartTime() time.Duration {
	if t := s.settings.RestartTime.Value(); t > 0 {
		return t
	}
	return defaultRestartTime
}

func (s *Server) revive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down, s.life = false, newLife()
	s.signal()
}

// signal wakes everything that waits for a change. The caller holds the mutex.
func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serviceTime draws the time that the next request occupies its slot.
func (s *Server) serviceTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean := float64(s.settings.ServiceTime)
	if timer.Now()-s.life.started < s.settings.ColdStart.Value() {
		factor := s.settings.ColdFactor
		if factor == 0 {
			factor = defaultColdFactor
		}
		mean *= factor
	}
	switch s.settings.Distribution {
	case Exponential:
		mean *= s.random.ExpFloat64()
	case Lognormal:
		mean *= math.Exp(lognormalSigma*s.random.NormFloat64() - lognormalSigma*lognormalSigma/2)
	}
	return time.Duration(mean)
}

func (s *Server) count(add func(*ServerCounts)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	add(&s.counts)
}
