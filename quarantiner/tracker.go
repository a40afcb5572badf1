package quarantiner

import (
	"slices"
	"sync"
	"time"

	"hibiscusline/applier"
)

// Tracker makes the quarantine of one backend server safe for concurrent use. Its times are those of package timer.
type Tracker struct {
	mu         sync.Mutex
	quarantine *Quarantiner
	// crashes counts the crashes. The failure of a request that started before the last crash is no new crash.
	crashes uint64
}

// Running is a request that was sent to the backend server.
type Running struct {
	Fingerprint uint64
	ticket      Ticket
	crashes     uint64
}

// NewTracker returns a Tracker without suspects.
func NewTracker(c Config) *Tracker { return &Tracker{quarantine: New(c)} }

// Verdict returns how a request may run, given the crashes that its sender reported with it.
func (t *Tracker) Verdict(now time.Duration, fingerprint uint64, marks []applier.InFlightCrash) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.AddCrashMarks(now, fingerprint, marks)
	return t.quarantine.Check(fingerprint)
}

// RefusedFor returns how long a refused request stays refused if no server crashes meanwhile, or zero.
func (t *Tracker) RefusedFor(now time.Duration, fingerprint uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantine.refusedFor(now, fingerprint)
}

// Start records that a request is sent to the backend server. Finish, Cancel or Crash ends it.
func (t *Tracker) Start(fingerprint uint64) Running {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Running{Fingerprint: fingerprint, ticket: t.quarantine.Start(fingerprint), crashes: t.crashes}
}

// Finish records a completed request and returns the suspects that are cleared by now.
func (t *Tracker) Finish(now time.Duration, r Running) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.Finish(now, r.ticket)
	return t.quarantine.TakeCleared()
}

// Cancel records a request that did not complete and that the backend server no longer runs.
func (t *Tracker) Cancel(r Running) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.Cancel(r.ticket)
}

// Crash records the crash in which a request failed. It returns the suspects, and false if that crash is already recorded.
func (t *Tracker) Crash(now time.Duration, r Running) (applier.Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.crashes != t.crashes {
		return applier.Suspect{}, false
	}
	t.crashes++
	record, _ := t.quarantine.Crash(now)
	return record, true
}

// Marks returns the crashes that count against a fingerprint, for other processes.
func (t *Tracker) Marks(fingerprint uint64) []applier.InFlightCrash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantine.CrashMarks(fingerprint)
}

// Merge adopts the suspects of the state and ends expired suspicions.
func (t *Tracker) Merge(now time.Duration, counts []applier.SuspectCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.MergeSuspects(now, counts)
	t.quarantine.Expire(now)
}

// Expire ends expired suspicions.
func (t *Tracker) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.Expire(now)
}

// Report is what a process tells others of one suspect.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Marks       []applier.InFlightCrash
}

const (
	// spreadTime is how long after its last crash a suspect that still runs beside others is reported. Each process that
	// learns of it reports it for that time.
	spreadTime = 5 * time.Second
	// maxReports bounds the suspects that are reported at once.
	maxReports = 32
)

// Reports returns the suspects to report to other processes, the most severe ones first: all that don't run like other
// requests, and those of crashes within spreadTime.
func (t *Tracker) Reports(now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, fingerprint := range t.quarantine.mostSevere() {
		s := t.quarantine.suspects[fingerprint]
		if len(s.marks) == 0 || t.quarantine.verdict(s) == Run && now-s.changedAt > spreadTime {
			continue
		}
		if list = append(list, Report{Fingerprint: fingerprint, Marks: slices.Clone(s.marks)}); len(list) == maxReports {
			break
		}
	}
	return list
}

// AddReports adopts what another process reports.
func (t *Tracker) AddReports(now time.Duration, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxReports)] {
		t.quarantine.AddCrashMarks(now, r.Fingerprint, r.Marks[:min(len(r.Marks), maxMarks)])
	}
}
