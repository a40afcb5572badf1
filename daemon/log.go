package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
)

const (
	readLimit = 500
	// readerCheck is the time after which a process looks again whether it is one of its zone's readers.
	readerCheck = time.Second
	// readersPerZone is the number of members in a zone that poll the log; two, so that the loss of one delays nothing.
	readersPerZone = 2
	// silence is the time without any peer after which a process polls the log itself.
	silence = 3 * time.Second
	// peerInterval is the time between two attempts to learn the state from the peers of the settings.
	peerInterval = 200 * time.Millisecond
)

// kick makes the process read the log now.
func (d *Daemon) kick() {
	select {
	case d.kicks <- struct{}{}:
	default:
	}
}

// followLog polls the log while this process is one of its zone's readers, and whenever it is kicked.
func (d *Daemon) followLog(ctx context.Context) {
	ticker := time.NewTicker(d.config.Settings.Log.PollInterval)
	defer ticker.Stop()
	var reader bool
	var checked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.kicks:
		case <-ticker.C:
			// The check looks at every member, which costs more than a poll in a large fleet.
			if time.Since(checked) > readerCheck {
				reader, checked = d.isReader(), time.Now()
			}
			if !reader {
				continue
			}
		}
		d.readLog(ctx)
	}
}

// readLog reads until this process has applied what the log has.
func (d *Daemon) readLog(ctx context.Context) {
	for {
		from := d.state.NextOffset()
		b, err := d.client.Read(ctx, from, readLimit)
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_log_read_errors_total").Inc()
			if !d.state.Ready() {
				d.learnFromPeers(ctx)
			}
			return
		}
		d.firstKept.Store(uint64(b.First))
		d.ingest(b)
		if len(b.Records) == 0 || d.state.NextOffset() >= b.Next || d.state.NextOffset() == from {
			break
		}
	}
	if !d.state.Ready() {
		d.learnFromPeers(ctx)
	}
}

func (d *Daemon) ingest(b follower.Batch) {
	wasReady := d.state.Ready()
	results, err := d.state.Ingest(b)
	if !wasReady && d.state.Ready() {
		releaseMemory()
	}
	if err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_log_batches_refused_total").Inc()
	}
	d.metrics.GetOrCreateCounter("hibiscus_records_applied_total").Add(len(results))
}

// isReader reports whether this process polls the log. Readers are the first members of the zone by a hash, so that the
// duty is spread when members come and go.
func (d *Daemon) isReader() bool {
	id := d.self()
	if id == 0 || !d.state.Ready() || time.Since(d.started)-time.Duration(d.heard.Load()) > silence {
		return true
	}
	var zone []applier.MemberID
	present := false
	d.state.View(func(s *applier.State) {
		_, present = s.Members[id]
		for _, m := range s.Members {
			if m.Zone == d.config.Settings.Zone && m.Status == applier.Active {
				zone = append(zone, m.ID)
			}
		}
	})
	if !present {
		return true
	}
	slices.SortFunc(zone, func(a, b applier.MemberID) int { return cmp.Compare(readerHash(a), readerHash(b)) })
	return slices.Contains(zone[:min(readersPerZone, len(zone))], id)
}

// readerHash orders the members of a zone. Member ids are random, so any fixed mixing serves.
func readerHash(id applier.MemberID) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	return uint64(id) * multiplier
}

// followPeers fetches records from peers that announced a higher offset.
func (d *Daemon) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-d.behind:
			// Several peers announce each record, and the first of them has sent it by now.
			if peer.applied <= d.state.Applied() {
				continue
			}
			if err := d.fetch(ctx, peer.address); err != nil {
				d.metrics.GetOrCreateCounter("hibiscus_peer_fetch_errors_total").Inc()
			}
		}
	}
}

func (d *Daemon) fetch(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for {
		records, err := ask[encoder.Records](ctx, d, address, encoder.Fetch{From: d.state.Applied() + 1})
		if err != nil {
			return err
		}
		if records.Trimmed {
			return d.fetchState(ctx, address)
		}
		if len(records.Records) == 0 {
			return nil
		}
		d.ingest(follower.Batch{First: 1, Next: records.Start, Start: records.Start, Records: records.Records})
		if len(records.Records) < fetchLimit {
			return nil
		}
	}
}

func (d *Daemon) fetchState(ctx context.Context, address netip.AddrPort) error {
	answer, err := ask[encoder.State](ctx, d, address, encoder.StateQuery{})
	if err != nil {
		return err
	}
	if len(answer.Encoded) == 0 {
		return errors.New("peer has no state")
	}
	state, err := applier.DecodeState(answer.Encoded)
	if err != nil {
		return err
	}
	if d.state.Adopt(state) {
		releaseMemory()
	}
	return nil
}

// tuneCollector sets how far the heap grows between two collections: by some 12 MB, whatever the size of the state. Go's
// default, the double of what is live, exceeded 64 MB with 176,000 ranges while large configurations were published. Half
// of what is live, which keeps that within the limit, made small fleets spend up to 40% more CPU on a request.
func tuneCollector(ranges int) {
	const (
		garbage  = 12 << 20
		live     = 5 << 20
		perRange = 100
	)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(100 * garbage / (live + perRange*ranges))
	}
}

// releaseMemory returns the memory in which a state was read, several times its size, to the system.
func releaseMemory() { go debug.FreeOSMemory() }

// learnFromPeers asks the peers of the settings for their state while the log can't give it.
func (d *Daemon) learnFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, address := range d.config.Settings.Peers {
		if address == d.address() {
			continue
		}
		if err := d.fetchState(ctx, address); err == nil {
			d.log("state", "learned the state from a peer", "peer", address, "applied", d.state.Applied())
			return
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(peerInterval):
	}
}

// appendOnce appends a record without waiting for its effect. The core packages ask again when it is lost.
func (d *Daemon) appendOnce(r applier.Record) {
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	d.tasks.Go(func() {
		if _, err := d.client.Append(context.Background(), appender.NewEnvelope(r)); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		d.kick()
	})
}

// appendLease appends a record of the lease machine, and again while the log fails. The machine's own back-off is longer
// than two seconds, so that the loss of a zone doesn't flood the log, but an owner that was lost in an outage of the log
// must be replaced within two seconds of its return. Repetitions end after the machine's longest back-off, when it asks again.
func (d *Daemon) appendLease(r applier.Record) {
	const (
		interval = 500 * time.Millisecond
		limit    = 16 * time.Second
	)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	e := appender.NewEnvelope(r)
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		for began := time.Now(); ; {
			_, err := d.client.Append(ctx, e)
			d.kick()
			if err == nil {
				return
			}
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
			if time.Since(began) > limit {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval/2 + rand.N(interval/2)):
			}
		}
	})
}

// commit appends a record until it was applied here, and returns what became of it.
func (d *Daemon) commit(ctx context.Context, r applier.Record) (applier.Result, error) {
	const resend = 500 * time.Millisecond
	e := appender.NewEnvelope(r)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	for {
		if _, err := d.client.Append(ctx, e); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		timeout := time.After(resend)
		for waiting := true; waiting; {
			changed := d.state.Changed()
			var result applier.Result
			var found bool
			d.state.View(func(s *applier.State) { result, found = s.ResultOf(e.ID) })
			if found {
				return result, nil
			}
			d.kick()
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			case <-ctx.Done():
				return applier.Result{}, errors.Wrapf(ctx.Err(), "%s record may or may not be in the log", applier.KindOf(r))
			}
		}
	}
}

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
			if pieces, err = s.Checkpoints(appender.NewEnvelope(applier.Checkpoint{}).ID); err != nil {
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
