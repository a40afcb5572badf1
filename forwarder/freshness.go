package forwarder

import "time"

// Freshness is what a process knows of how current its routes are.
type Freshness struct {
	// CompleteAt is a time at which no newer configuration was published, or zero if none is known.
	CompleteAt time.Duration
	// Newer is the version of a newer configuration that another process has, or zero.
	Newer uint64
}
