package reporter

import (
	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// Status is the state of a process as GET /status returns it.
type Status struct {
	Member  applier.MemberID `json:"member"`
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Service string           `json:"service"`
	// Version is the version of the configuration in force at the process.
	Version applier.Offset `json:"version"`
	// Applied is the last offset that the process has applied.
	Applied applier.Offset `json:"applied"`
	Lease   Lease          `json:"lease"`
	// Owned lists the ranges that the state at Applied assigns to the process.
	Owned []applier.RangeEpoch `json:"owned"`
	// Draining means that the process accepts no new work.
	Draining bool `json:"draining"`
	// EvacuatedZones lists the evacuated availability zones in the state at Applied.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// Lease is the state of a process's lease.
type Lease struct {
	Held bool `json:"held"`
	// RemainingMs is the time in milliseconds for which the process may serve without a further promise from its
	// guardians.
	RemainingMs int64 `json:"remaining_ms"`
	// Exempt means that the process serves without a lease, because no other member can guard it.
	Exempt bool `json:"exempt,omitempty"`
}

// MoveRequest asks the owner of a position to move the range that contains it to another member.
type MoveRequest struct {
	Service  string           `json:"service"`
	Position hasher.Position  `json:"position"`
	To       applier.MemberID `json:"to"`
}

// ErrorResponse is the body of every response whose status is not 2xx.
type ErrorResponse struct {
	Message string `json:"message"`
}
