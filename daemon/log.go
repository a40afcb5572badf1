package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/hedger"
)

const (
	maxReadRecords = 500
	// readerTurn is the time for which a member is its zone's second reader. A reader that gets no answers from the log delays
	// records by one turn, and a configuration must be in force within 4 s.
	readerTurn = time.Second
	// peerSilenceTimeout is the time without a datagram from any peer after which a process polls the log itself.
	peerSilenceTimeout = 2 * time.Second
	// fetchOverdue is the time without an answer from a peer after which records are fetched from the next one as well. A
	// record passes up to seven processes on its way and must have reached all within 4 s.
	fetchOverdue = 200 * time.Millisecond
	// fetchAttempts is the number of peers that are asked for records.
	fetchAttempts = 5
	// peerRetryInterval is the time between two attempts to fetch the state from the peers in the settings.
	peerRetryInterval = 200 * time.Millisecond
)

// triggerRead makes the process read the log now.
func (d *Daemon) triggerRead() {
	select {
	case d.readTrigger <- struct{}{}:
	default:
	}
}

// followLog polls the log while this process is one of its zone's readers, and reads it whenever triggerRead is called.
func (d *Daemon) followLog(ctx context.Context) {
	ticker := time.NewTicker(d.config.Settings.Log.PollInterval)
	defer ticker.Stop()
	var reader bool
	var checked int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.readTrigger:
		case <-ticker.C:
			// The check iterates over all members, which costs more than a poll in a large fleet.
			if turn := time.Now().UnixNano() / int64(readerTurn); turn != checked {
				reader, checked = d.isReader(turn), turn
			}
			if !reader {
				continue
			}
		}
		d.readLog(ctx)
	}
}

// readLog reads until this process has applied all records of the log.
func (d *Daemon) readLog(ctx context.Context) {
	for {
		from := d.state.NextOffset()
		b, err := d.client.Read(ctx, from, maxReadRecords)
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_log_read_errors_total").Inc()
			if !d.state.Ready() {
				d.fetchStateFromPeers(ctx)
			}
			return
		}
		d.firstRetained.Store(uint64(b.FirstRetained))
		d.ingest(b)
		if len(b.Records) == 0 || d.state.NextOffset() >= b.Next || d.state.NextOffset() == from {
			break
		}
	}
	if !d.state.Ready() {
		d.fetchStateFromPeers(ctx)
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

// isReader reports whether this process polls the log. The readers of a zone are the first of its members in the order of a
// hash, so that the work is spread as members join and leave, and each of the others in turn. If only fixed members read, and
// all of them get no answers from the log, the others would wait for them without end.
func (d *Daemon) isReader(turn int64) bool {
	id := d.self()
	if id == 0 || !d.state.Ready() || time.Since(d.started)-time.Duration(d.lastHeard.Load()) > peerSilenceTimeout {
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
	i := slices.Index(zone, id)
	return i == 0 || i > 0 && int64(i-1) == turn%int64(len(zone)-1)
}

// readerHash determines the order of the members of a zone. Member IDs are random, so any fixed mixing function is
// sufficient.
func readerHash(id applier.MemberID) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	return uint64(id) * multiplier
}

// followPeers fetches records from peers that announced a higher offset. While one doesn't answer, others are asked.
func (d *Daemon) followPeers(ctx context.Context) {
	config := hedger.Config{Overdue: fetchOverdue, Interval: fetchOverdue, Attempts: fetchAttempts}
	for {
		var asked sync.Map
		first, err := d.nextAheadPeer(ctx, &asked)
		if err != nil {
			return
		}
		_, err = hedger.Do(ctx, config, func(ctx context.Context, a hedger.Attempt) (netip.AddrPort, error) {
			peer := first
			if a.Number > 0 {
				var err error
				if peer, err = d.nextAheadPeer(ctx, &asked); err != nil {
					return peer, err
				}
			}
			return peer, d.fetch(ctx, peer, a.Progress)
		})
		if err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_peer_fetch_errors_total").Inc()
		}
	}
}

// nextAheadPeer waits for a peer that has announced records that this process lacks and that has not been asked for them.
func (d *Daemon) nextAheadPeer(ctx context.Context, asked *sync.Map) (netip.AddrPort, error) {
	for {
		select {
		case <-ctx.Done():
			return netip.AddrPort{}, ctx.Err()
		case peer := <-d.aheadPeers:
			// Several peers announce each record, and it may have been fetched from the first of them already.
			if peer.applied <= d.state.Applied() {
				continue
			}
			if _, again := asked.LoadOrStore(peer.address, true); !again {
				return peer.address, nil
			}
		}
	}
}

// fetch fetches and applies the records that this process lacks. It calls begun when the peer has answered.
func (d *Daemon) fetch(ctx context.Context, address netip.AddrPort, begun func()) error {
	ctx, cancel := inForce.Answer().Context(ctx)
	defer cancel()
	for {
		records, err := call[encoder.Records](ctx, d, inForce.Answer(), address, encoder.Fetch{From: d.state.Applied() + 1})
		if err != nil {
			return err
		}
		begun()
		if records.Trimmed {
			return d.fetchState(ctx, address)
		}
		if len(records.Records) == 0 {
			return nil
		}
		d.ingest(follower.Batch{FirstRetained: 1, Next: records.Start, Start: records.Start, Records: records.Records})
		if len(records.Records) < maxFetchRecords {
			return nil
		}
	}
}

func (d *Daemon) fetchState(ctx context.Context, address netip.AddrPort) error {
	response, err := call[encoder.State](ctx, d, stateFromPeer.Answer(), address, encoder.StateQuery{})
	if err != nil {
		return err
	}
	if len(response.Encoded) == 0 {
		return errors.New("peer returned no state")
	}
	state, err := applier.DecodeState(response.Encoded)
	if err != nil {
		return err
	}
	if d.state.InstallState(state) {
		releaseMemory()
	}
	return nil
}

// tuneGC limits the growth of the heap between two garbage collections to about 12 MB, regardless of the size of the
// state. Go's default of twice the live heap exceeded 64 MB with 176,000 ranges while large configurations were
// published. Half of the live heap stays below that limit, but made small fleets use up to 40% more CPU time per
// request.
func tuneGC(ranges int) {
	const (
		garbageBytes  = 12 << 20
		baseLiveBytes = 5 << 20
		bytesPerRange = 100
	)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(100 * garbageBytes / (baseLiveBytes + bytesPerRange*ranges))
	}
}

// releaseMemory returns unused memory to the operating system. Decoding a state needs several times its size.
func releaseMemory() { go debug.FreeOSMemory() }

const (
	// stateTimeout bounds the wait for the state from one peer.
	stateTimeout = time.Second
	// peerOverdue is the time without an answer from the first peer after which the next one is asked as well.
	peerOverdue = 400 * time.Millisecond
)

// fetchStateFromPeers fetches the state from a peer in the settings while it is not available from the log. A peer that
// doesn't answer doesn't keep it from asking others. The order is random, so that each peer is asked at some time.
func (d *Daemon) fetchStateFromPeers(ctx context.Context) {
	ctx, cancel := stateFromPeer.Answer().Context(ctx)
	defer cancel()
	own := d.address()
	peers := slices.DeleteFunc(slices.Clone(d.config.Settings.Peers), func(p netip.AddrPort) bool { return p == own })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) > 0 {
		config := hedger.Config{Overdue: peerOverdue, Interval: stateTimeout, Attempts: len(peers)}
		if len(peers) == 1 {
			config.Overdue = stateTimeout
		}
		peer, err := hedger.Do(ctx, config, func(ctx context.Context, a hedger.Attempt) (netip.AddrPort, error) {
			return d.fetchStateFromAny(ctx, peers[a.Number:])
		})
		if err == nil {
			d.log("state", "learned the state from a peer", "peer", peer, "applied", d.state.Applied())
			return
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(peerRetryInterval):
	}
}

// fetchStateFromAny asks peers in sequence and returns the first that has the state.
func (d *Daemon) fetchStateFromAny(ctx context.Context, peers []netip.AddrPort) (netip.AddrPort, error) {
	var lastErr error
	for _, peer := range peers {
		if lastErr = d.fetchState(ctx, peer); lastErr == nil {
			return peer, nil
		}
	}
	return netip.AddrPort{}, lastErr
}
