package quarantiner

import (
	"slices"
	"time"

	"hibiscusline/applier"
)

//go:generate go tool stringer -type=Verdict -linecomment -output=names.go

// Verdict says how a request may run.
type Verdict uint8

// Verdicts in ascending order of severity.
const (
	Run      Verdict = iota // run
	RunAlone                // run_alone
	Refuse                  // refuse
)

// MarshalText writes the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Bounds of what is kept: crashes that count and that no longer count for each fingerprint, and clearances that wait for
// the next record, of which the state lists at most 256.
const (
	maxMarks   = 4
	maxVoid    = 16
	maxCleared = 256
)

// suspect is what is known of one fingerprint.
type suspect struct {
	// marks are the crashes that count.
	marks []applier.InFlightCrash
	// void holds crashes that no longer count, so that a late report of one doesn't bring the suspicion back.
	void []uint64
	// logged holds the crashes that the log listed last.
	logged  []uint64
	changed time.Duration
}

func (s *suspect) verdict() Verdict {
	alone := slices.ContainsFunc(s.marks, func(m applier.InFlightCrash) bool { return m.Alone })
	switch {
	case alone && len(s.marks) > 1:
		return Refuse
	case len(s.marks) > 0:
		return RunAlone
	}
	return Run
}

func (s *suspect) add(now time.Duration, mark applier.InFlightCrash) {
	known := func(m applier.InFlightCrash) bool { return m.Crash == mark.Crash }
	if slices.ContainsFunc(s.marks, known) || slices.Contains(s.void, mark.Crash) {
		return
	}
	s.changed = now
	s.marks = append(s.marks, mark)
	if len(s.marks) > maxMarks {
		// A crash in a crowd is dropped first, because only a crash alone leads to a refusal.
		i := max(0, slices.IndexFunc(s.marks, func(m applier.InFlightCrash) bool { return !m.Alone }))
		s.marks = slices.Delete(s.marks, i, i+1)
	}
}

// clear voids the marks that fit.
func (s *suspect) clear(fits func(applier.InFlightCrash) bool) {
	var left []applier.InFlightCrash
	for _, m := range s.marks {
		if !fits(m) {
			left = append(left, m)
			continue
		}
		s.void = append(s.void, m.Crash)
	}
	s.marks = left
	s.void = s.void[max(0, len(s.void)-maxVoid):]
}

// expire ends a suspicion. Of a refusal it leaves one crash in a crowd, so that the request runs alone next.
func (s *suspect) expire(now time.Duration) {
	var kept []applier.InFlightCrash
	if s.verdict() == Refuse {
		kept = []applier.InFlightCrash{{Crash: s.marks[len(s.marks)-1].Crash}}
	}
	s.clear(func(m applier.InFlightCrash) bool { return len(kept) == 0 || m.Crash != kept[0].Crash })
	s.marks, s.changed = kept, now
}
