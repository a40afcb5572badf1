package emulator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outage says how a log fails.
type Outage uint8

// Kinds of outage.
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

// LoadReport says what a backend server's load endpoint reports.
type LoadReport uint8

// Kinds of load report.
const (
	// AccurateLoad reports the present load.
	AccurateLoad LoadReport = iota // honest
	// ConstantLoad reports the same value always.
	ConstantLoad // constant
	// LaggingLoad renews the report only once per load_lag.
	LaggingLoad // lagging
)

// Failure is the reason of a backend server's error answer.
type Failure uint8

// Reasons of error answers.
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
	// Crashed executions ended with their server's crash.
	Crashed // crashed
	// Fenced executions met a newer epoch when they were about to take effect, and had none.
	Fenced // fenced
	// Failed executions were answered with an error of the server.
	Failed // failed
)

// MarshalText writes the outage's name.
func (o Outage) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outage's name.
func (o *Outage) UnmarshalText(text []byte) error { return parseName(o, text, Hang) }

// MarshalText writes the distribution's name.
func (d Distribution) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the distribution's name.
func (d *Distribution) UnmarshalText(text []byte) error { return parseName(d, text, Lognormal) }

// MarshalText writes the report's name.
func (l LoadReport) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads the report's name.
func (l *LoadReport) UnmarshalText(text []byte) error { return parseName(l, text, LaggingLoad) }

// MarshalText writes the failure's name.
func (f Failure) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the failure's name.
func (f *Failure) UnmarshalText(text []byte) error { return parseName(f, text, InjectedFailure) }

// MarshalText writes the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the status's name.
func (s *Status) UnmarshalText(text []byte) error { return parseName(s, text, Failed) }

type enum interface {
	~uint8
	fmt.Stringer
}

func parseName[E enum](target *E, text []byte, last E) error {
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
