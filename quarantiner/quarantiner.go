package quarantiner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/applier"
)

// Config configures a Quarantiner. Zero fields select the defaults.
type Config struct {
	// Member is the member id of this process. It makes the ids of crashes unique.
	Member applier.MemberID
	// MaxSuspects is the largest number of fingerprints in the table (default 4,096). It must exceed the number of
	// suspects that the state lists (256).
	MaxSuspects int
	// CrashesBeforeAlone is the number of crashes from which on a request runs alone (default 1).
	CrashesBeforeAlone int
	// Expiry is the time without a crash after which a suspicion ends (default 10 minutes).
	Expiry time.Duration
}

// Ticket identifies one request in flight.
type Ticket struct {
	fingerprint uint64
	generation  uint64
}

// Quarantiner tracks the requests in flight on one backend server and the suspects of all servers.
type Quarantiner struct {
	config Config
	// generation counts the crashes of the backend server.
	generation uint64
	// inFlight holds the number of requests in flight by fingerprint.
	inFlight map[uint64]int
	suspects map[uint64]*suspect
	// cleared holds the fingerprints that TakeCleared returns next.
	cleared []uint64
}

// New returns a Quarantiner without suspects.
func New(config Config) *Quarantiner {
	config.MaxSuspects = cmp.Or(config.MaxSuspects, 4096)
	config.CrashesBeforeAlone = cmp.Or(config.CrashesBeforeAlone, 1)
	config.Expiry = cmp.Or(config.Expiry, 10*time.Minute)
	return &Quarantiner{config: config, inFlight: map[uint64]int{}, suspects: map[uint64]*suspect{}}
}

// Check returns whether a request may run, must run alone, or is refused.
func (q *Quarantiner) Check(fingerprint uint64) Verdict {
	if s := q.suspects[fingerprint]; s != nil {
		return q.verdict(s)
	}
	return Run
}

func (q *Quarantiner) verdict(s *suspect) Verdict { return s.verdict(q.config.CrashesBeforeAlone) }

// refusedFor returns how long a refused request stays refused if no server crashes meanwhile, or zero.
func (q *Quarantiner) refusedFor(now time.Duration, fingerprint uint64) time.Duration {
	s := q.suspects[fingerprint]
	if s == nil || q.verdict(s) != Refuse {
		return 0
	}
	return max(s.changedAt+q.config.Expiry-now, 0)
}

// MayStart reports whether a request may start now, given the requests in flight: a suspect needs an idle server, and
// no other request starts while a suspect is running.
func (q *Quarantiner) MayStart(fingerprint uint64) bool {
	if len(q.inFlight) == 0 {
		return q.Check(fingerprint) != Refuse
	}
	if q.Check(fingerprint) != Run {
		return false
	}
	for running := range q.inFlight {
		if q.Check(running) != Run {
			return false
		}
	}
	return true
}

// Start records that a request was sent to the backend server. Its ticket must end in Finish or Cancel.
func (q *Quarantiner) Start(fingerprint uint64) Ticket {
	q.inFlight[fingerprint]++
	return Ticket{fingerprint: fingerprint, generation: q.generation}
}

// Finish records that the backend server completed a request, which clears its marks. A ticket from before a crash is
// ignored, because a request may crash its server while the response is in transit.
func (q *Quarantiner) Finish(now time.Duration, t Ticket) {
	if !q.end(t) {
		return
	}
	s := q.suspects[t.fingerprint]
	if s == nil || len(s.marks) == 0 {
		return
	}
	s.voidMarks(func(applier.InFlightCrash) bool { return true })
	s.changedAt = now
	q.cleared = append(q.cleared, t.fingerprint)
	q.cleared = q.cleared[max(0, len(q.cleared)-maxCleared):]
}

// Cancel records that a request ended without completing; its marks stay. It must be called only when the backend
// server no longer works on the request.
func (q *Quarantiner) Cancel(t Ticket) { q.end(t) }

func (q *Quarantiner) end(t Ticket) bool {
	if t.generation != q.generation || q.inFlight[t.fingerprint] == 0 {
		return false
	}
	q.inFlight[t.fingerprint]--
	if q.inFlight[t.fingerprint] == 0 {
		delete(q.inFlight, t.fingerprint)
	}
	return true
}

// Crash records that the backend server crashed. It returns the record for the log, or false if no request was in
// flight.
func (q *Quarantiner) Crash(now time.Duration) (applier.Suspect, bool) {
	q.generation++
	if len(q.inFlight) == 0 {
		return applier.Suspect{}, false
	}
	record := applier.Suspect{
		Member: q.config.Member, Fingerprints: slices.Sorted(maps.Keys(q.inFlight)), Crash: q.crashID(),
	}
	clear(q.inFlight)
	mark := applier.InFlightCrash{Crash: record.Crash, Alone: len(record.Fingerprints) == 1}
	for _, fingerprint := range record.Fingerprints {
		q.AddCrashMarks(now, fingerprint, []applier.InFlightCrash{mark})
	}
	return record, true
}

func (q *Quarantiner) crashID() uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(q.config.Member))
	binary.LittleEndian.PutUint64(buffer[8:], q.generation)
	return xxhash.Sum64(buffer[:])
}

// CrashMarks returns the crashes that count against a fingerprint, for other processes.
func (q *Quarantiner) CrashMarks(fingerprint uint64) []applier.InFlightCrash {
	if s := q.suspects[fingerprint]; s != nil {
		return slices.Clone(s.marks)
	}
	return nil
}

// AddCrashMarks adds crashes that another process reported.
func (q *Quarantiner) AddCrashMarks(now time.Duration, fingerprint uint64, marks []applier.InFlightCrash) {
	if len(marks) == 0 {
		return
	}
	s := q.suspectOf(fingerprint)
	for _, mark := range marks {
		s.add(now, mark)
	}
}

// MergeSuspects adopts the suspects of the state. A suspect that the state no longer lists was cleared by another
// process. A refusal stays until it expires, because the state also drops suspects when its list is full.
func (q *Quarantiner) MergeSuspects(now time.Duration, counts []applier.SuspectCount) {
	listed := make(map[uint64]bool, len(counts))
	for _, c := range counts {
		listed[c.Fingerprint] = true
		q.AddCrashMarks(now, c.Fingerprint, c.Recent)
		if s := q.suspects[c.Fingerprint]; s != nil {
			s.logged = s.logged[:0]
			for _, mark := range c.Recent {
				s.logged = append(s.logged, mark.Crash)
			}
		}
	}
	for fingerprint, s := range q.suspects {
		if len(s.logged) > 0 && !listed[fingerprint] && q.verdict(s) != Refuse {
			s.voidMarks(func(m applier.InFlightCrash) bool { return slices.Contains(s.logged, m.Crash) })
			s.logged = nil
		}
	}
}

// TakeCleared returns the suspects that completed in this process since the last call, for the Cleared field of the
// next record.
func (q *Quarantiner) TakeCleared() []uint64 {
	cleared := q.cleared
	q.cleared = nil
	return cleared
}

// Expire ends suspicions whose last change is at least Expiry ago.
func (q *Quarantiner) Expire(now time.Duration) {
	for fingerprint, s := range q.suspects {
		if now-s.changedAt < q.config.Expiry {
			continue
		}
		if len(s.marks) == 0 && len(s.logged) == 0 {
			delete(q.suspects, fingerprint)
			continue
		}
		s.expire(now, q.config.CrashesBeforeAlone)
	}
}

// suspectOf returns the entry of a fingerprint, which it creates if necessary. When the table is full, the new entry
// replaces the least severe one, and among several of these the oldest.
func (q *Quarantiner) suspectOf(fingerprint uint64) *suspect {
	if s := q.suspects[fingerprint]; s != nil {
		return s
	}
	if len(q.suspects) >= q.config.MaxSuspects {
		delete(q.suspects, q.leastSevere())
	}
	s := &suspect{}
	q.suspects[fingerprint] = s
	return s
}

func (q *Quarantiner) leastSevere() uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(q.suspects)), q.compare)
}

// mostSevere returns the fingerprints of all suspects, the most severe and newest first.
func (q *Quarantiner) mostSevere() []uint64 {
	list := slices.SortedFunc(maps.Keys(q.suspects), q.compare)
	slices.Reverse(list)
	return list
}

// compare compares the suspects of two fingerprints by severity, and those of the same severity by age.
func (q *Quarantiner) compare(a, b uint64) int {
	x, y := q.suspects[a], q.suspects[b]
	return cmp.Or(cmp.Compare(q.verdict(x), q.verdict(y)), cmp.Compare(x.changedAt, y.changedAt), cmp.Compare(a, b))
}
