package quarantiner

import (
	"slices"
	"time"

	"hibiscusline/applier"
)

//go:generate go tool stringer -type=Verdict -linecomment -output=names.go

// Verdict is the decision on whether and how a request may run.
type Verdict uint8

// Verdicts in ascending order of severity.
const (
	Run      Verdict = iota // run
	RunAlone                // run_alone
	Refuse                  // refuse
)

// MarshalText writes the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Limits of the table: marks that count and voided marks for each fingerprint, and cleared fingerprints that wait for
// the next record. The state lists at most 256 suspects, so no more need to be cleared.
const (
	maxMarks   = 4
	maxVoided  = 16
	maxCleared = 256
)

// suspect is the table entry of one fingerprint.
type suspect struct {
	// marks are the crashes that count.
	marks []applier.InFlightCrash
	// voided holds ids of crashes that no longer count, so that a late report of one doesn't renew the suspicion.
	voided []uint64
	// logged holds the ids of the crashes that the state listed at the last merge.
	logged []uint64
	// changedAt is when a mark was last added, or the marks were last cleared by Finish or Expire.
	changedAt time.Duration
}

// verdict returns how the request may run, if it runs alone from a number of crashes on.
func (s *suspect) verdict(crashesBeforeAlone int) Verdict {
	alone := slices.ContainsFunc(s.marks, func(m applier.InFlightCrash) bool { return m.Alone })
	switch {
	case alone && len(s.marks) > crashesBeforeAlone:
		return Refuse
	case len(s.marks) >= crashesBeforeAlone:
		return RunAlone
	}
	return Run
}

func (s *suspect) add(now time.Duration, mark applier.InFlightCrash) {
	known := func(m applier.InFlightCrash) bool { return m.Crash == mark.Crash }
	if slices.ContainsFunc(s.marks, known) || slices.Contains(s.voided, mark.Crash) {
		return
	}
	s.changedAt = now
	s.marks = append(s.marks, mark)
	if len(s.marks) > maxMarks {
		// A crash with other requests in flight is dropped first, because only a crash alone leads to a refusal.
		i := max(0, slices.IndexFunc(s.marks, func(m applier.InFlightCrash) bool { return !m.Alone }))
		s.marks = slices.Delete(s.marks, i, i+1)
	}
}

// voidMarks moves the crashes of the matching marks to voided.
func (s *suspect) voidMarks(matches func(applier.InFlightCrash) bool) {
	var kept []applier.InFlightCrash
	for _, m := range s.marks {
		if !matches(m) {
			kept = append(kept, m)
			continue
		}
		s.voided = append(s.voided, m.Crash)
	}
	s.marks = kept
	s.voided = s.voided[max(0, len(s.voided)-maxVoided):]
}

// expire ends a suspicion. A refusal becomes a suspicion with marks that aren't alone, so that the request runs alone next.
func (s *suspect) expire(now time.Duration, crashesBeforeAlone int) {
	var kept []applier.InFlightCrash
	if s.verdict(crashesBeforeAlone) == Refuse {
		for _, m := range s.marks[max(len(s.marks)-crashesBeforeAlone, 0):] {
			kept = append(kept, applier.InFlightCrash{Crash: m.Crash})
		}
	}
	s.voidMarks(func(m applier.InFlightCrash) bool {
		return !slices.ContainsFunc(kept, func(k applier.InFlightCrash) bool { return k.Crash == m.Crash })
	})
	s.marks, s.changedAt = kept, now
}
