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

// keepCheckpoints appends the state as a checkpoint while this process holds that duty.
func (d *Daemon) keepCheckpoints(ctx context.Context) {
	const (
		interval   = time.Second
		minRecords = 2000
		minAge     = 10 * time.Minute
		// Readers of the log get each checkpoint, so a large one is written less often: at most 1 kB a second.
		agePerRange     = 50 * time.Millisecond
		rangesPerRecord = 4
	)
	written := time.Now()
	tuned := 0
	every(ctx, interval, func() {
		var due bool
		var pieces []applier.Checkpoint
		ready, self := d.state.Ready(), d.self()
		if d.isOldest() {
			// The oldest member need not be a reader of its zone, and would not learn what the log has dropped.
			d.kick()
		}
		d.state.View(func(s *applier.State) {
			if ranges := rangesOf(s); ranges != tuned {
				tuned = ranges
				tuneCollector(ranges)
			}
			if s.Oldest() != self || s.Applied == 0 || !ready || time.Since(written) < 5*interval {
				return
			}
			since := s.Applied - s.CheckpointAsOf
			// The checkpoint itself consists of records, so a fleet without changes writes one only for its age.
			lost := s.CheckpointAsOf+1 < applier.Offset(d.firstKept.Load())
			ranges := rangesOf(s)
			age := max(minAge, agePerRange*time.Duration(ranges))
			due = since > applier.Offset(max(minRecords, ranges/rangesPerRecord)) || lost || since > 1 && time.Since(written) > age
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
		written = time.Now()
		for _, piece := range pieces {
			if _, err := d.client.Append(ctx, appender.NewEnvelope(piece)); err != nil {
				d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
				return
			}
		}
		d.metrics.GetOrCreateCounter("hibiscus_checkpoints_total").Inc()
	})
}

func rangesOf(s *applier.State) int {
	ranges := 0
	for _, assignments := range s.Assignments {
		ranges += len(assignments)
	}
	return ranges
}
