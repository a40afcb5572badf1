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

// suspects is the quarantine of one backend server, whose crashes are reported to the log.
type suspects struct {
	*quarantiner.Tracker
	mu sync.Mutex
	// reported is closed when the last crash is in the log.
	reported chan struct{}
}

func newSuspects(self applier.MemberID) *suspects {
	return &suspects{Tracker: quarantiner.NewTracker(quarantiner.Config{Member: self}), reported: make(chan struct{})}
}

func fingerprintOf(head encoder.Request) uint64 {
	return quarantiner.Fingerprint(quarantiner.Request{
		Service: head.Service, Method: head.Method, Path: head.Path, Key: head.Key, IdempotencyKey: head.IdempotencyKey,
	})
}

// crash records a crash, unless the request failed in a crash that is already recorded. It returns the record for the
// log, whether there is one, and the channel that is closed when the crash is in the log.
func (s *suspects) crash(r quarantiner.Running) (applier.Suspect, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, isNew := s.Crash(timer.Now(), r)
	if !isNew {
		return applier.Suspect{}, false, s.reported
	}
	s.reported = make(chan struct{})
	suspected := len(record.Fingerprints) > 0
	if !suspected {
		close(s.reported)
	}
	return record, suspected, s.reported
}

// handleCrash handles a request whose backend server crashed. It returns when the suspicion is in the log, after
// reportTimeout, or when ctx ends.
func (d *Dispatcher) handleCrash(ctx context.Context, r quarantiner.Running) {
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
