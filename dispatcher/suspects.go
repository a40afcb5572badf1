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

// reportTimeout bounds the time for which the response to a request that was in flight during a crash is held back
// until the suspicion is in the log. The caller resends the request only after this response, and the process that
// receives it then knows of the crash.
const reportTimeout = 500 * time.Millisecond

// suspects makes the quarantine of one backend server safe for concurrent use.
type suspects struct {
	mu         sync.Mutex
	quarantine *quarantiner.Quarantiner
	// crashes counts the crashes. The failure of a request that started before the last crash is no new crash.
	crashes uint64
	// reported is closed when the last crash is in the log.
	reported chan struct{}
}

// runningRequest is a request that was sent to the backend server.
type runningRequest struct {
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

// verdict returns how a request may run, given the crashes that its entry process reported with it.
func (s *suspects) verdict(fingerprint uint64, marks []applier.InFlightCrash) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.AddCrashMarks(timer.Now(), fingerprint, marks)
	return s.quarantine.Check(fingerprint)
}

func (s *suspects) start(fingerprint uint64) runningRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return runningRequest{fingerprint: fingerprint, ticket: s.quarantine.Start(fingerprint), crashes: s.crashes}
}

// finish records a completed request and returns the suspects that are cleared by now.
func (s *suspects) finish(r runningRequest) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Finish(timer.Now(), r.ticket)
	return s.quarantine.TakeCleared()
}

// cancel records a request that did not complete and that the backend server no longer runs.
func (s *suspects) cancel(r runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Cancel(r.ticket)
}

// crash records a crash, unless the request failed in a crash that is already recorded. It returns the record for the
// log, whether there is one, and the channel that is closed when the crash is in the log.
func (s *suspects) crash(r runningRequest) (applier.Suspect, bool, chan struct{}) {
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

func (s *suspects) marks(fingerprint uint64) []applier.InFlightCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.CrashMarks(fingerprint)
}

// merge merges the suspects of the state and ends expired suspicions.
func (s *suspects) merge(counts []applier.SuspectCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := timer.Now()
	s.quarantine.MergeSuspects(now, counts)
	s.quarantine.Expire(now)
}

// handleCrash handles a request whose backend server crashed. It returns when the suspicion is in the log, after
// reportTimeout, or when ctx ends.
func (d *Dispatcher) handleCrash(ctx context.Context, r runningRequest) {
	d.backend.lost.Store(true)
	record, isNew, reported := d.suspects.crash(r)
	if isNew {
		d.config.Metrics.GetOrCreateCounter("hibiscus_backend_crashes_total").Inc()
		go func() {
			defer close(reported)
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			d.config.ReportSuspects(ctx, record)
		}()
	}
	select {
	case <-reported:
	case <-time.After(reportTimeout):
	case <-ctx.Done():
	}
}
