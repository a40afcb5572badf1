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

// Defaults of a backend server, equal to the servers in section 1 of the design page.
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
	// Name is the server's name in ledgers and responses.
	Name string
	// Slots bounds the requests that run at the same time, MaxConnections the open connections. Zero is the default.
	Slots          int
	MaxConnections int
	// Fenced servers reject requests with an outdated epoch.
	Fenced bool
	// Fence may be shared by servers with a common store. Nil creates one for this server.
	Fence *Fence
	// Ledger may be shared by servers. Nil creates one for this server.
	Ledger *Ledger
	// Router is the local endpoint of the hibiscusd process on the server's machine. The zero value turns announcements
	// off.
	Router netip.AddrPort
	// Address is the announced address. Run sets it from its listener if it is not valid.
	Address netip.AddrPort
	// Seed seeds the random service times and failures.
	Seed uint64
	// Settings are the initial settings.
	Settings ServerSettings
}

// Server emulates a backend server. It is safe for concurrent use.
type Server struct {
	config  ServerConfig
	handler http.Handler
	slots   chan struct{}

	mutex       sync.Mutex
	settings    ServerSettings
	changed     chan struct{}
	incarnation *incarnation
	down        bool
	// ownsListener is set by Run, which then restarts the server after a crash instead of a timer.
	ownsListener bool
	random       *rand.Rand
	waiting      int
	lastLoad     Load
	lastLoadAt   time.Duration
	address      netip.AddrPort
	counts       ServerCounts
}

// incarnation is the period between a start and the next crash, which closes crashed. The field started is a time of
// package timer.
type incarnation struct {
	started time.Duration
	crashed chan struct{}
}

// ServerCounts counts the events of a Server since its creation.
type ServerCounts struct {
	Requests           uint64 `json:"requests"`
	Shed               uint64 `json:"shed"`
	StaleEpochs        uint64 `json:"stale"`
	Crashes            uint64 `json:"crashes"`
	Connections        uint64 `json:"connections"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	Announcements      uint64 `json:"announcements"`
	// AnnouncementErrors counts failed announcements; LastAnnouncementError is the error of the last announcement,
	// empty if it succeeded.
	AnnouncementErrors    uint64 `json:"announcement_errors"`
	LastAnnouncementError string `json:"last_announcement_error"`
}

// NewServer returns a running server. Its handler can be served by any listener; Run also emulates connection limits
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
		incarnation: newIncarnation(), random: rand.New(rand.NewPCG(c.Seed, 2)), address: c.Address,
	}
	s.handler = s.routes()
	return s
}

func newIncarnation() *incarnation {
	return &incarnation{started: timer.Now(), crashed: make(chan struct{})}
}

// Handler returns the handler of the server's endpoints.
func (s *Server) Handler() http.Handler { return s.handler }

// Ledger returns the ledger that the server writes.
func (s *Server) Ledger() *Ledger { return s.config.Ledger }

// Address returns the announced address. Unless it was configured, it is invalid before Run.
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

// Crash aborts all connections and requests. The server restarts after the restart time.
func (s *Server) Crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.counts.Crashes++
	close(s.incarnation.crashed)
	s.notifyChange()
	if !s.ownsListener {
		time.AfterFunc(s.restartTime(), s.restart)
	}
}

func (s *Server) restartTime() time.Duration {
	if t := s.settings.RestartTime.Value(); t > 0 {
		return t
	}
	return defaultRestartTime
}

func (s *Server) restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down, s.incarnation = false, newIncarnation()
	s.notifyChange()
}

// notifyChange wakes all goroutines that wait for a change of the state or the settings. The caller holds the mutex.
func (s *Server) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serviceTime draws the time for which the next request occupies its slot.
func (s *Server) serviceTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean := float64(s.settings.ServiceTime)
	if timer.Now()-s.incarnation.started < s.settings.ColdStart.Value() {
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
