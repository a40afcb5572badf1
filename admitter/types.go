package admitter

import "time"

//go:generate go tool stringer -type=Policy,Reason -linecomment -output=names.go

// Policy is the order in which requests get slots. The policies other than Ranked are baselines for measurements.
type Policy uint8

// Policies.
const (
	Ranked      Policy = iota // ranked
	SingleQueue               // single_queue
	Unlimited                 // unlimited
)

// MarshalText writes the policy's name.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Reason says why a request was refused.
type Reason uint8

// Reasons of refusals.
const (
	QueueFull           Reason = iota // queue_full
	DeadlineUnreachable               // deadline_unreachable
	Draining                          // draining
	Cancelled                         // cancelled
	UnknownRank                       // unknown_rank
	reasonCount
)

// MarshalText writes the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Rank is a class of work. The lowest Urgency value is served first.
type Rank struct {
	Name    string
	Urgency int
	// Floor is the share of slot time, from 0 to 1, that the rank gets at least while it has waiting work.
	Floor float64
	// Target is the latency within which a request of the rank should be answered.
	Target time.Duration
}

// Config configures an Admitter.
type Config struct {
	// Slots is the number of requests that may run at once. Zero refuses every request as draining.
	Slots int
	Ranks []Rank
	// QueueLimit bounds the waiting requests of one rank, once for nested ones and once for all others. Values below
	// one are taken as one.
	QueueLimit int
	// NestedShare is the share of slots that only nested requests may use, at least one slot. Zero reserves none, for
	// servers that no running request calls back. A server with one slot reserves none either. Reserved slots stay idle
	// without nested requests: one of 12 costs a twelfth of the goodput in a flood.
	NestedShare float64
	Policy      Policy
}

// Event is something that the admitter must react to. The types of this package that implement it are the only ones.
type Event interface{ event() }

// Arrive is a request that asks for a slot. An id that is waiting or running already is ignored.
type Arrive struct {
	ID   uint64
	Rank string
	// Deadline is the time by which the request must have finished, or zero for none.
	Deadline time.Duration
	// Nested marks a request made on behalf of one that holds a slot of this service.
	Nested bool
	// Exclusive marks a request that may crash the server and therefore runs only while nothing else runs.
	Exclusive bool
}

// Finish reports that a started request no longer uses its slot. Completed is false when it failed or was abandoned, so
// that its duration says little about the service time.
type Finish struct {
	ID        uint64
	Completed bool
}

// Cancel withdraws a waiting request. A request that runs already keeps its slot until Finish.
type Cancel struct{ ID uint64 }

// Tick makes the admitter look at the clock. It should come every few milliseconds while requests wait.
type Tick struct{}

// Resize sets the number of slots. Zero refuses all waiting and new requests as draining; running ones go on.
type Resize struct{ Slots int }

// Reconfigure replaces the ranks. Waiting requests of a rank that no longer exists are refused.
type Reconfigure struct{ Ranks []Rank }

func (Arrive) event()      {}
func (Finish) event()      {}
func (Cancel) event()      {}
func (Tick) event()        {}
func (Resize) event()      {}
func (Reconfigure) event() {}

// Action is an order of the admitter to its caller. Every request that arrives gets exactly one.
type Action interface{ action() }

// Start gives a slot to a request. The caller reports the end with Finish.
type Start struct{ ID uint64 }

// Refuse ends a request that did not run. RetryAfter is the time after which another try may succeed.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Start) action()  {}
func (Refuse) action() {}
