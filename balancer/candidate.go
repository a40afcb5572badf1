package balancer

import (
	"time"

	"hibiscusline/applier"
)

//go:generate go tool stringer -type=Policy,Outcome,Cause -linecomment -output=names.go

// Policy is the algorithm by which a Chooser selects members. The policies other than TwoChoices are baselines for
// measurements.
type Policy uint8

// Policies.
const (
	TwoChoices   Policy = iota // two_choices
	RoundRobin                 // round_robin
	ReportedLoad               // reported_load
)

// MarshalText writes the policy's name.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Outcome is the result of one request.
type Outcome uint8

// Outcomes. Shed means that the member rejected the request because it was overloaded, Abandoned that the caller
// disconnected before the response.
const (
	Success   Outcome = iota // success
	Failure                  // failure
	Shed                     // shed
	Timeout                  // timeout
	Abandoned                // abandoned
)

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Cause is the reason of an ejection.
type Cause uint8

// Causes of ejections.
const (
	Failing    Cause = iota // failing
	Slow                    // slow
	Frozen                  // frozen
	causeCount = iota
)

// ChooserCounts counts the ejections of a Chooser since its creation.
type ChooserCounts struct {
	// Ejected counts ejections by Cause.
	Ejected [causeCount]uint64
	// EjectionsRefused counts requests after which a member qualified for ejection but the limit on ejected members
	// was reached.
	EjectionsRefused uint64
	// EjectionsReplaced counts members that were readmitted to make room for a more recent ejection.
	EjectionsReplaced uint64
}

// Candidate is a member that is eligible for a request.
type Candidate struct {
	ID    applier.MemberID
	Zone  string
	Slots int
	// Tried means that an earlier attempt of the request was sent to the member. Untried members are preferred.
	Tried bool
	// Age is the time since this process first saw the member.
	Age time.Duration
	// ReportedInFlight is the number of requests in flight in the member's last load report, and ReportAge the age of
	// that report, negative if there is none.
	ReportedInFlight int
	ReportAge        time.Duration
	// ColdWait is how long a request would wait because the member's backend server is cold and has no room, or zero.
	ColdWait time.Duration
	// Expected is how long work is expected to take at the member now, or zero if that is unknown.
	Expected time.Duration
}

// ChooserConfig configures a Chooser. Zero durations select the defaults.
type ChooserConfig struct {
	Policy Policy
	Seed   uint64
	// RampUp is the time over which a new member's share of requests grows to that of the other members.
	RampUp time.Duration
	// FrozenAfter is the time without a completed request after which a member with requests in flight is ejected.
	FrozenAfter time.Duration
	// LocalZoneBias is the additional load, as a share of its slots, up to which a member of the caller's zone is
	// preferred to a member of another zone. Traffic between zones costs more than a short wait.
	LocalZoneBias float64
}

// Defaults and limits of a Chooser.
const (
	DefaultRampUp      = 10 * time.Second
	DefaultFrozenAfter = time.Second
	// minRampShare is the share of its samples that a new member accepts from the start.
	minRampShare = 0.1
	// reportWeight is the most that a load report adds to a member's load score, in requests per slot. Reports lag and
	// can be wrong, so a wrong report may shift some requests but must not attract or repel all of them.
	reportWeight = 0.25
	// maxReportAge is the age from which a load report is ignored. Its weight decreases linearly until then.
	maxReportAge = 2 * time.Second
	// memberExpiry is the time after which the record of a member that is no longer a candidate and has no requests in
	// flight is deleted.
	memberExpiry = time.Minute
)

// reportPenalty is the part of a candidate's load score that comes from its load report, given its speed as a multiple of the
// others'.
func (c Candidate) reportPenalty(inFlight int, speed float64) float64 {
	if c.ReportAge < 0 || c.ReportAge >= maxReportAge || c.ReportedInFlight <= inFlight {
		return 0
	}
	others := float64(c.ReportedInFlight-inFlight) / float64(max(c.Slots, 1)) / speed
	return reportWeight * min(others, 1) * (1 - float64(c.ReportAge)/float64(maxReportAge))
}
