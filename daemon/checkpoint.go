package daemon

import (
	"context"
	"time"

	"hibiscusline/appender"
	"hibiscusline/applier"
)

func (d *Daemon) isOldest() bool {
	var oldest applier.MemberID
	d.state.View(func(s *applier.State) { oldest = s.Oldest() })
	return oldest != 0 && oldest == d.self()
}

// writeCheckpoints appends checkpoints of the state to the log while this process is the oldest member.
func (d *Daemon) writeCheckpoints(ctx context.Context) {
	const (
		interval   = time.Second
		minRecords = 2000
		minAge     = 10 * time.Minute
		// Every reader of the log receives each checkpoint, so large ones are written less often: at most 1 kB/s.
		agePerRange     = 50 * time.Millisecond
		rangesPerRecord = 4
	)
	lastWritten := time.Now()
	tunedRanges := 0
	every(ctx, interval, func() {
		var due bool
		var pieces []applier.Checkpoint
		ready, self := d.state.Ready(), d.self()
		if d.isOldest() {
			// The oldest member may not be a reader of its zone; without this read it would not notice that the log has
			// dropped records.
			d.triggerRead()
		}
		d.state.View(func(s *applier.State) {
			if ranges := countRanges(s); ranges != tunedRanges {
				tunedRanges = ranges
				tuneGC(ranges)
			}
			if s.Oldest() != self || s.Applied == 0 || !ready || time.Since(lastWritten) < 5*interval {
				return
			}
			newRecords := s.Applied - s.CheckpointAsOf
			// A checkpoint itself adds records to the log. Without other changes, a new one is therefore written only
			// because of its age.
			trimmed := s.CheckpointAsOf+1 < applier.Offset(d.firstRetained.Load())
			ranges := countRanges(s)
			maxAge := max(minAge, agePerRange*time.Duration(ranges))
			due = newRecords > applier.Offset(max(minRecords, ranges/rangesPerRecord)) || trimmed ||
				newRecords > 1 && time.Since(lastWritten) > maxAge
			if !due {
				return
			}
			var err error
			if pieces, err = s.CheckpointRecords(appender.NewEnvelope(applier.Checkpoint{}).ID); err != nil {
				d.log("state", "checkpoint failed", "err", err)
			}
		})
		if !due {
			return
		}
		lastWritten = time.Now()
		for _, piece := range pieces {
			if _, err := d.client.Append(ctx, appender.NewEnvelope(piece)); err != nil {
				d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
				return
			}
		}
		d.metrics.GetOrCreateCounter("hibiscus_checkpoints_total").Inc()
	})
}

func countRanges(s *applier.State) int {
	ranges := 0
	for _, assignments := range s.Assignments {
		ranges += len(assignments)
	}
	return ranges
}
