package admitter

import (
	"time"

	"hibiscusline/limiter"
)

//go:generate go tool stringer -type=Policy,Reason,Benefit -linecomment -output=names.go

// Policy determines the order in which requests get slots. Ranked serves each rank in order of arrival, and LeastCost delays
// and refuses in each rank what costs callers least. The others serve as baselines for measurements.
type Policy uint8

// Policies.
const (
	Ranked      Policy = iota // ranked
	SingleQueue               // single_queue
	Unlimited                 // unlimited
	LeastCost                 // least_cost
)

// ranked reports whether the policy serves the ranks in order of urgency.
func (p Policy) ranked() bool { return p == Ranked || p == LeastCost }

// MarshalText returns the name of the policy.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Reason is the cause of a refusal.
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

// MarshalText returns the name of the reason.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Rank is a priority class of requests. Ranks with lower Urgency values are served first.
type Rank struct {
	Name    string
	Urgency int
	// Floor is the minimum share of slot time, from 0 to 1, that the rank gets while it has waiting requests.
	Floor float64
	// Target is the latency within which requests of the rank should be answered.
	Target time.Duration
}

// Config configures an Admitter.
type Config struct {
	// Slots is the number of requests that may run at once. Zero refuses every request as draining.
	Slots int
	Ranks []Rank
	// QueueLimit limits the waiting requests of one rank. Nested requests and all others are counted separately. Values
	// below one count as one.
	QueueLimit int
	// NestedShare is the fraction of slots that only nested requests may use, at least one slot. Zero reserves none,
	// for servers that no running request calls back. Nor does a server with a single slot reserve any. Reserved slots
	// stay idle without nested requests: one slot of 12 costs a twelfth of the goodput in an overload.
	NestedShare float64
	Policy      Policy
	// Pace bounds the starts on a cold server.
	Pace limiter.Config
}

// Event is an input of Admitter.Step. Only the types of this package implement it.
type Event interface{ event() }

// Arrive reports a request that asks for a slot. The event is ignored if a request with the same ID is waiting or
// running.
type Arrive struct {
	ID   uint64
	Rank string
	// Deadline is the time by which the request must have finished. Zero means none.
	Deadline time.Duration
	// Nested marks a request made on behalf of another request that holds a slot of this service.
	Nested bool
	// Exclusive marks a request that may crash the server and therefore runs only while no other request runs.
	Exclusive bool
}

// Finish reports that a started request no longer uses its slot. Completed is false if the request failed or was
// abandoned, in which case its duration says little about the service time.
type Finish struct {
	ID        uint64
	Completed bool
}

// Cancel withdraws a waiting request. A running request keeps its slot until Finish.
type Cancel struct{ ID uint64 }

// Tick makes the admitter refuse expired requests and start waiting ones. It should come every few milliseconds while
// requests wait.
type Tick struct{}

// Resize sets the number of slots. Zero refuses all waiting and new requests as draining; running ones continue.
type Resize struct{ Slots int }

// Reconfigure replaces the ranks. Waiting requests of a removed rank are refused.
type Reconfigure struct{ Ranks []Rank }

func (Arrive) event()      {}
func (Finish) event()      {}
func (Cancel) event()      {}
func (Tick) event()        {}
func (Resize) event()      {}
func (Reconfigure) event() {}

// Action is an output of Admitter.Step that the caller carries out. Every request that arrives gets exactly one.
type Action interface{ action() }

// Start gives a slot to a request. The caller reports the end of the request with Finish.
type Start struct {
	ID uint64
	// Benefit is what the response is expected to be worth to its caller.
	Benefit Benefit
}

// Refuse rejects a request without running it. RetryAfter is the time after which a retry may succeed, or zero.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Start) action()  {}
func (Refuse) action() {}
