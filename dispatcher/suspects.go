package dispatcher

import (
	"context"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// reportTimeout bounds the time for which the answer to a request that was in flight at a crash is held back until the
// log has the suspicion. Its caller sends it again only after the answer, to a process that then knows of the crash.
const reportTimeout = 500 * time.Millisecond

// suspects shares the quarantine of one backend server between requests.
type suspects struct {
	mu         sync.Mutex
	quarantine *quarantiner.Quarantiner
	// crashes counts the crashes; a request that failed before the last one tells nothing new.
	crashes uint64
	// reported is closed when the log has the last crash.
	reported chan struct{}
}

// running is a request that was sent to the backend server.
type running struct {
	fingerprint uint64
	ticket      quarantiner.Ticket
	crashes     uint64
}

func newSuspects(self applier.MemberID) *suspects {
	return &suspects{quarantine: quarantiner.New(quarantiner.Config{Member: self}), reported: make(chan struct{})}
}

func fingerprintOf(head encoder.Request) uint64 {
	return quarantiner.Fingerprint(quarantiner.Request{
		Service: head.Service, Method: head.Method, Path: head.Path, Key: head.Key, IdempotencyKey: head.IdempotencyKey,
	})
}

// verdict says how a request may run, given the crashes that its entry knows of.
func (s *suspects) verdict(fingerprint uint64, marks []applier.CrashMark) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.AddCrashMarks(timer.Now(), fingerprint, marks)
	return s.quarantine.Check(fingerprint)
}

func (s *suspects) start(fingerprint uint64) running {
	s.mu.Lock()
	defer s.mu.Unlock()
	return running{fingerprint: fingerprint, ticket: s.quarantine.Start(fingerprint), crashes: s.crashes}
}

// finish records a completed request and returns the suspects that are now cleared.
func (s *suspects) finish(r running) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Finish(timer.Now(), r.ticket)
	return s.quarantine.TakeCleared()
}

// cancel records a request that the backend server no longer works on and that did not complete.
func (s *suspects) cancel(r running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Cancel(r.ticket)
}

// crash records a crash, unless the request failed in one that is known already. It returns the record for the log, if
// there is a new one, and the channel that is closed when the log has it.
func (s *suspects) crash(r running) (applier.Suspect, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.crashes != s.crashes {
		return applier.Suspect{}, false, s.reported
	}
	s.crashes++
	s.reported = make(chan struct{})
	record, suspected := s.quarantine.Crash(timer.Now())
	if !suspected {
		close(s.reported)
	}
	return record, suspected, s.reported
}

func (s *suspects) marks(fingerprint uint64) []applier.CrashMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.CrashMarks(fingerprint)
}

// merge brings in the suspects of the state and ends suspicions that are old enough.
func (s *suspects) merge(counts []applier.SuspectCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := timer.Now()
	s.quarantine.MergeSuspects(now, counts)
	s.quarantine.Expire(now)
}

// crashed handles a request whose backend server crashed, and returns when the log has the suspicion or the time is over.
func (d *Dispatcher) crashed(ctx context.Context, r running) {
	d.backend.lost.Store(true)
	record, fresh, reported := d.suspects.crash(r)
	if fresh {
		d.config.Metrics.GetOrCreateCounter("hibiscus_backend_crashes_total").Inc()
		go func() {
			defer close(reported)
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			d.config.Report(ctx, record)
		}()
	}
	select {
	case <-reported:
	case <-time.After(reportTimeout):
	case <-ctx.Done():
	}
}
