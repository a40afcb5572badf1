package balancer

import (
	"time"

	"hibiscusline/applier"
)

//go:generate go tool stringer -type=Policy,Outcome,Cause -linecomment -output=names.go

// Policy is the way in which a Chooser picks. The policies other than TwoChoices are baselines for measurements.
type Policy uint8

// Policies.
const (
	TwoChoices   Policy = iota // two_choices
	RoundRobin                 // round_robin
	ReportedLoad               // reported_load
)

// MarshalText writes the policy's name.
func (p Policy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Outcome is the end of one request.
type Outcome uint8

// Outcomes. Shed means that the member refused the request because it is busy, Abandoned that the caller left first.
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
	Failing Cause = iota // failing
	Slow                 // slow
	Frozen               // frozen
	causes  = iota
)

// ChooserCounts counts the events of a Chooser since it was made.
type ChooserCounts struct {
	// Ejected counts ejections by Cause.
	Ejected [causes]uint64
	// EjectionsRefused counts requests after which a member was not ejected because the share was used up.
	EjectionsRefused uint64
	// EjectionsReplaced counts members that were taken back in favour of an ejection with newer evidence.
	EjectionsReplaced uint64
}

// Candidate is a member that may get a request.
type Candidate struct {
	ID    applier.MemberID
	Zone  string
	Slots int
	// Tried means that the request was sent to the member before. Another one is preferred.
	Tried bool
	// Age is the time since the member was first seen.
	Age time.Duration
	// ReportedInFlight is the number of requests that the member reported, and ReportAge the age of that report.
	ReportedInFlight int
	ReportAge        time.Duration
}

// ChooserConfig configures a Chooser. Zero durations take the defaults.
type ChooserConfig struct {
	Policy Policy
	Seed   uint64
	// RampUp is the time in which a new member's share of requests grows to that of the others.
	RampUp time.Duration
	// FrozenAfter is the time without any finished request after which a member with requests in flight is ejected.
	FrozenAfter time.Duration
	// LocalZoneBias is how much busier than a member of another zone one of the caller's zone may look, as a share of its slots,
	// and still get the request. Bytes between zones cost more than a short wait.
	LocalZoneBias float64
}

// Limits of a Chooser.
const (
	DefaultRampUp      = 10 * time.Second
	DefaultFrozenAfter = time.Second
	// leastRamp is the share of its samples that a member accepts from the start.
	leastRamp = 0.1
	// reportWeight bounds what a load report adds to how busy a member looks, as a share of its slots. Reports lag and
	// mislead, so a wrong one may shift requests but neither attract nor repel all of them.
	reportWeight = 0.25
	// reportLife is the age at which a report counts for nothing.
	reportLife = 2 * time.Second
	// forgetAfter is the time after which an unseen member without requests in flight is forgotten.
	forgetAfter = time.Minute
)

// hint is what a candidate's load report adds to how busy it looks.
func (c Candidate) hint(inFlight int) float64 {
	if c.ReportAge < 0 || c.ReportAge >= reportLife || c.ReportedInFlight <= inFlight {
		return 0
	}
	others := float64(c.ReportedInFlight-inFlight) / float64(max(c.Slots, 1))
	return reportWeight * min(others, 1) * (1 - float64(c.ReportAge)/float64(reportLife))
}
