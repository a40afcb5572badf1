package granter

import (
	"time"

	"hibiscusline/assigner"
)

// Holding is a range of keys that a backend server says it holds.
type Holding struct {
	// First and Last are inclusive.
	First, Last uint16
	Token       uint64
}

// Freed is a range of keys that a backend server has released since its last acknowledged heartbeat.
type Freed struct {
	First, Last uint16
	// Handover is what the next holder needs to serve the keys without a cold start.
	Handover string
}

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	Incarnation assigner.Incarnation
	// Sequence rises with each heartbeat of an incarnation.
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
	// Renews is false when the response must leave the server's grants as they are.
	Renews bool
	Grants []Grant
	// HoldTime is how long all grants hold, from when the heartbeat was sent.
	HoldTime time.Duration
	// Released lists the slices that the server has given back and that have a target.
	Released []assigner.Released
}

// Config configures a Granter.
type Config struct {
	Member string
	// LeaseTerm is the time after a read of the table during which grants of it may hold.
	LeaseTerm time.Duration
	// HoldTime is the longest time of a grant.
	HoldTime time.Duration
	// MaxHold bounds the time for which an earlier process at this place can have granted keys.
	MaxHold time.Duration
	// Started is the time at which the process started.
	Started time.Duration
}

// Bounds of a grant.
const (
	// clockRate is the least rate of a backend server's clock. A grant may hold longer than granted by its inverse.
	clockRate = 0.98
	// minHold is the shortest grant that is worth giving: the server drops what it holds when a grant ends.
	minHold = 300 * time.Millisecond
	// maxBytes bounds the response to a heartbeat; the server takes at most 4 KiB.
	maxBytes = 3800
	// grantBytes is the size of a grant without handover in a response, at most for tokens below 65,536.
	grantBytes = 11
)

// longest returns how long a grant may hold by true time.
func longest(hold time.Duration) time.Duration { return time.Duration(float64(hold) / clockRate) }
