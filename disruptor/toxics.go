package disruptor

import (
	"math/rand/v2"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Protocol,Direction -linecomment -output=names.go

// Protocol is the transport protocol of a proxy.
type Protocol uint8

// Protocols.
const (
	TCP Protocol = iota // tcp
	UDP                 // udp
)

// Direction is the way that data takes.
type Direction uint8

// Directions.
const (
	Upstream   Direction = iota // upstream
	Downstream                  // downstream
)

// Faults are the faults of one direction. The zero value passes everything on unchanged.
type Faults struct {
	// Latency delays data, by up to Jitter more or less. TCP data keeps its order; datagrams may overtake one another.
	Latency time.Duration
	Jitter  time.Duration
	// Bandwidth is the number of bytes passed on per second, or zero for no limit.
	Bandwidth int
	// Cut drops datagrams, and holds back TCP data until the cut ends, as a network that loses all packets does. A client
	// can still connect to the proxy itself.
	Cut bool
	// Reset ends a TCP connection with RST on both sides when data arrives in this direction.
	Reset bool
	// Loss is the share of datagrams dropped, from 0 to 1.
	Loss float64
	// Duplication is the share of datagrams passed on twice.
	Duplication float64
	// Reordering is the share of datagrams that are held back for ReorderingDelay, so that later ones overtake them.
	Reordering      float64
	ReorderingDelay time.Duration
}

// switchboard holds the toxics of a proxy. Waiters on changed see every change.
type switchboard struct {
	mu      sync.Mutex
	toxics  [2]Faults
	changed chan struct{}
	random  *rand.Rand
}

func newSwitchboard(seed uint64) *switchboard {
	return &switchboard{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *switchboard) set(d Direction, t Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toxics[d] = t
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the toxics of a direction and a channel that is closed at the next change.
func (s *switchboard) get(d Direction) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toxics[d], s.changed
}

// chance reports true for the given share of calls.
func (s *switchboard) chance(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

// delay returns the latency with jitter.
func (s *switchboard) delay(t Faults) time.Duration {
	if t.Jitter <= 0 {
		return t.Latency
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, t.Latency-t.Jitter+time.Duration(s.random.Int64N(int64(2*t.Jitter)+1)))
}

// transmission is the time that a number of bytes takes at the bandwidth.
func (t Faults) transmission(size int) time.Duration {
	if t.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(t.Bandwidth) * float64(time.Second))
}
