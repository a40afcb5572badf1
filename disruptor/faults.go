package disruptor

import (
	"math/rand/v2"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Protocol,Direction -linecomment -output=names.go

// Protocol is the transport protocol of a proxy.
type Protocol uint8

// Supported transport protocols.
const (
	TCP Protocol = iota // tcp
	UDP                 // udp
)

// Direction is the direction of data through a proxy.
type Direction uint8

// Directions: Upstream is from a client to the upstream server, Downstream the reverse.
const (
	Upstream   Direction = iota // upstream
	Downstream                  // downstream
)

// Faults are the faults injected in one direction. The zero value forwards everything unchanged.
type Faults struct {
	// Latency delays data, by up to Jitter more or less. TCP data keeps its order; datagrams may be reordered.
	Latency time.Duration
	Jitter  time.Duration
	// Bandwidth is the limit in bytes per second; zero is no limit.
	Bandwidth int
	// Cut simulates a network that loses all packets: it drops datagrams, and holds back TCP data until the cut ends. A
	// client can still connect to the proxy itself.
	Cut bool
	// Reset closes a TCP connection with RST on both sides when data arrives in this direction.
	Reset bool
	// Loss is the probability, from 0 to 1, that a datagram is dropped.
	Loss float64
	// Duplication is the probability, from 0 to 1, that a datagram is forwarded twice.
	Duplication float64
	// Reordering is the probability, from 0 to 1, that a datagram is delayed by ReorderingDelay in addition, so that
	// later ones overtake it.
	Reordering      float64
	ReorderingDelay time.Duration
}

// faultState holds the faults of a proxy, by direction. The channel changed is closed and replaced at every change.
type faultState struct {
	mu      sync.Mutex
	faults  [2]Faults
	changed chan struct{}
	random  *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	return &faultState{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultState) set(d Direction, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[d] = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the faults of a direction and a channel that is closed at the next change.
func (s *faultState) get(d Direction) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[d], s.changed
}

// sampleChance reports true with the given probability.
func (s *faultState) sampleChance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// sampleDelay returns the latency with a random jitter, at least zero.
func (s *faultState) sampleDelay(f Faults) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, f.Latency-f.Jitter+time.Duration(s.random.Int64N(int64(2*f.Jitter)+1)))
}

// transmissionTime returns the time for sending size bytes at the bandwidth.
func (f Faults) transmissionTime(size int) time.Duration {
	if f.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(f.Bandwidth) * float64(time.Second))
}
