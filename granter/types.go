package granter

import (
	"time"

	"hibiscusline/assigner"
)

// Holding is a range of keys that a backend server reports as held.
type Holding struct {
	// First and Last are inclusive.
	First, Last uint16
	Token       uint64
}

// Freed is a range of keys that a backend server has released since its last acknowledged heartbeat.
type Freed struct {
	First, Last uint16
	// Handover is the state that the next owner needs to serve the keys without a cold start.
	Handover string
}

// Heartbeat is a status report of a backend server.
type Heartbeat struct {
	Incarnation assigner.Incarnation
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	Holds    []Holding
	Freed    []Freed
}

// Grant is a range of keys that a backend server may hold.
type Grant struct {
	Holding
	Handover string
}

// Response is the response to a heartbeat.
type Response struct {
	// Renews is false if the server must leave its grants unchanged.
	Renews bool
	Grants []Grant
	// HoldTime is the validity of all grants, counted from when the heartbeat was sent.
	HoldTime time.Duration
	// Released lists the slices with a target that the server has released.
	Released []assigner.Released
}

// Config configures a Granter.
type Config struct {
	// ByCalls means that keys are granted by calls to the server and not by responses to its heartbeats.
	ByCalls bool
	// Member is the name of the sidecar process.
	Member string
	// LeaseTerm is how long grants may be valid after the start of the table read that they are based on.
	LeaseTerm time.Duration
	// HoldTime is the maximum validity of a grant.
	HoldTime time.Duration
	// MaxHold is the maximum validity of grants given by an earlier process of the same name.
	MaxHold time.Duration
	// Started is the time at which the process started.
	Started time.Duration
}

// Limits on grants and responses.
const (
	// minClockRate is the lowest supported rate of a backend server's clock relative to real time. A grant may remain
	// valid longer than granted by the inverse of the rate.
	minClockRate = 0.98
	// minHoldTime is the shortest useful validity of a grant: the server drops its keys when a grant expires.
	minHoldTime = 300 * time.Millisecond
	// maxResponseBytes limits the size of a heartbeat response. The server accepts at most 4 KiB.
	maxResponseBytes = 3800
	// grantBytes is the maximum encoded size of a grant without handover, for tokens below 65,536.
	grantBytes = 11
	// smallTokens is the bound from which a token takes largeTokenBytes more.
	smallTokens     = 1 << 16
	largeTokenBytes = 2
)

// maxRealDuration returns the longest real time for which a grant may remain valid on a slow clock.
func maxRealDuration(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) / minClockRate)
}
