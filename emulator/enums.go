package emulator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outage is the way in which a Log fails all calls.
type Outage uint8

// Kinds of outage: Refuse answers with status 503, Hang sends no response until the outage ends.
const (
	NoOutage Outage = iota // none
	Refuse                 // refuse
	Hang                   // hang
)

// Distribution is the distribution of service times around their mean.
type Distribution uint8

// Distributions of service times.
const (
	Fixed       Distribution = iota // fixed
	Exponential                     // exponential
	Lognormal                       // lognormal
)

// LoadReport selects what a backend server's /load endpoint reports.
type LoadReport uint8

// Kinds of load report.
const (
	// AccurateLoad reports the current load.
	AccurateLoad LoadReport = iota // honest
	// ConstantLoad always reports the setting load_value.
	ConstantLoad // constant
	// LaggingLoad repeats the last report until it is load_lag old.
	LaggingLoad // lagging
)

// Failure is the reason in a backend server's error response.
type Failure uint8

// Reasons of error responses.
const (
	BadRequest      Failure = iota + 1 // bad_request
	Shed                               // shed
	StaleEpoch                         // stale_epoch
	DeadlinePassed                     // deadline_passed
	InjectedFailure                    // failing
)

// Status is the state of an execution.
type Status uint8

// States of an execution.
const (
	Running   Status = iota // running
	Completed               // completed
	// Cancelled executions were stopped by their caller or their deadline.
	Cancelled // cancelled
	// Crashed executions were aborted by a crash of their server.
	Crashed // crashed
	// Fenced executions had no effect: the range had been seen with a newer epoch when they were about to commit.
	Fenced // fenced
	// Failed executions ended with an injected error of the server.
	Failed // failed
)

// MarshalText writes the outage's name.
func (o Outage) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outage's name.
func (o *Outage) UnmarshalText(text []byte) error { return parseEnum(o, text, Hang) }

// MarshalText writes the distribution's name.
func (d Distribution) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the distribution's name.
func (d *Distribution) UnmarshalText(text []byte) error { return parseEnum(d, text, Lognormal) }

// MarshalText writes the report's name.
func (l LoadReport) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads the report's name.
func (l *LoadReport) UnmarshalText(text []byte) error { return parseEnum(l, text, LaggingLoad) }

// MarshalText writes the failure's name.
func (f Failure) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the failure's name.
func (f *Failure) UnmarshalText(text []byte) error { return parseEnum(f, text, InjectedFailure) }

// MarshalText writes the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the status's name.
func (s *Status) UnmarshalText(text []byte) error { return parseEnum(s, text, Failed) }

type enum interface {
	~uint8
	fmt.Stringer
}

func parseEnum[E enum](target *E, text []byte, last E) error {
	var known []string
	for candidate := E(0); candidate <= last; candidate++ {
		if candidate.String() == string(text) {
			*target = candidate
			return nil
		}
		known = append(known, candidate.String())
	}
	return errors.Errorf("unknown name %q; allowed: %q", text, known)
}
