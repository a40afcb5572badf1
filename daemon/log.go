package daemon

import (
	"cmp"
	"context"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pkg/errors"

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
		d.firstKept.Store(uint64(b.FirstRetained))
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
		d.ingest(follower.Batch{FirstRetained: 1, Next: records.Start, Start: records.Start, Records: records.Records})
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
	if d.state.InstallState(state) {
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
