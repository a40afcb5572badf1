package experimenter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
	"hibiscusline/launcher"
	"hibiscusline/reporter"
)

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ownership holds the owned ranges of each member at an offset of the log.
type ownership map[applier.MemberID][]applier.RangeEpoch

// watcher follows the log, unaffected by any fault, and compares the status of every process with it.
type watcher struct {
	fleet   *launcher.Fleet
	started time.Time

	mu               sync.Mutex
	state            applier.State
	history          map[applier.Offset]ownership
	versions         []versionChange
	lastStatus       map[applier.MemberID]reporter.Status
	revertedVersions int
	lostAssignments  int
	statusesChecked  int
	// watchedKeys are the keys whose owners are tracked, and ownerChanges the changes of their owners.
	watchedKeys  []watchedKey
	ownerChanges []ownerChange
}

type watchedKey struct{ service, key string }

// ownerChange is a change of a watched key's owner by a record of some kind, at a time since the start of the load.
type ownerChange struct {
	key      watchedKey
	kind     string
	from, to applier.MemberID
	at       time.Duration
}

// versionChange is a new configuration version, with the time at which each process first reported it or a later one.
// The processes are given by index, and times are since the start of the load.
type versionChange struct {
	version applier.Offset
	at      time.Duration
	reached map[int]time.Duration
}

const watchInterval = 20 * time.Millisecond

func newWatcher(f *launcher.Fleet, started time.Time) *watcher {
	return &watcher{
		fleet: f, started: started, history: map[applier.Offset]ownership{},
		lastStatus: map[applier.MemberID]reporter.Status{},
	}
}

// run reads the log and polls the processes until the context ends. It reads from the emulator without a connection, so
// records remain visible during an outage of the log.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		w.readLog()
		if i%5 == 0 {
			w.pollStatuses(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *watcher) readLog() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		b := w.fleet.Log.Read(launcher.Stream, uint64(w.state.Applied)+1, 100)
		if len(b.Records) == 0 {
			return
		}
		for i, data := range b.Records {
			w.apply(applier.Offset(b.Start)+applier.Offset(i), data)
		}
	}
}

func (w *watcher) apply(offset applier.Offset, data []byte) {
	e, err := applier.Decode(data)
	if err != nil {
		w.state.Skip(offset)
		return
	}
	before := w.state.Version
	owners := w.ownersOfKeys()
	w.state.Apply(offset, e)
	for i, to := range w.ownersOfKeys() {
		if to != owners[i] {
			w.ownerChanges = append(w.ownerChanges, ownerChange{
				w.watchedKeys[i], applier.KindOf(e.Record).String(), owners[i], to, time.Since(w.started),
			})
		}
	}
	if w.state.Version != before {
		w.versions = append(w.versions, versionChange{w.state.Version, time.Since(w.started), map[int]time.Duration{}})
	}
	owned := ownership{}
	for id := range w.state.Members {
		for _, a := range w.state.Owned(id) {
			owned[id] = append(owned[id], applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch})
		}
	}
	w.history[offset] = owned
}

func (w *watcher) ownersOfKeys() []applier.MemberID {
	owners := make([]applier.MemberID, len(w.watchedKeys))
	for i, k := range w.watchedKeys {
		a, _ := w.state.Lookup(k.service, hasher.KeyPosition(k.key))
		owners[i] = a.Owner
	}
	return owners
}

// changesOf describes the changes of a key's owner in [from, to).
func (w *watcher) changesOf(service, key string, from, to time.Duration) (text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.ownerChanges {
		if c.key == (watchedKey{service, key}) && c.at >= from && c.at < to {
			text += fmt.Sprintf(" (%s from %s to %s at %d ms)", c.kind, c.from, c.to, c.at.Milliseconds())
		}
	}
	return text
}

// pollStatuses gets the status of every running process and checks it.
func (w *watcher) pollStatuses(ctx context.Context) {
	var tasks sync.WaitGroup
	for i, n := range w.fleet.Nodes {
		if !n.Running() {
			continue
		}
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			if s, err := n.Status(ctx); err == nil {
				w.checkStatus(i, s)
			}
		})
	}
	tasks.Wait()
}

// checkStatus checks that a status doesn't go back to an older version or offset than the last one, and that its owned
// ranges are those that the log assigns to the member at some offset since then.
func (w *watcher) checkStatus(node int, s reporter.Status) {
	w.readLog()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.versions {
		if _, known := w.versions[i].reached[node]; !known && s.Version >= w.versions[i].version {
			w.versions[i].reached[node] = time.Since(w.started)
		}
	}
	if s.Member == 0 {
		return
	}
	last := w.lastStatus[s.Member]
	if s.Version < last.Version || s.Applied < last.Applied {
		w.revertedVersions++
	}
	w.lastStatus[s.Member] = s
	w.statusesChecked++
	// A process reads its ranges before its offset, so the ranges may be those of a slightly older state.
	from := s.Applied
	if last.Applied != 0 {
		from = min(from, last.Applied)
	}
	for offset := from; offset <= s.Applied; offset++ {
		if owned, known := w.history[offset]; known && slices.Equal(owned[s.Member], s.Owned) {
			return
		}
	}
	w.lostAssignments++
}

// configurationLag returns the longest time until a process had a new configuration version in force, without the time
// in which the process had faults, and describes the version and process concerned.
func (w *watcher) configurationLag(
	faultTime func(node int, from, to time.Duration) time.Duration, end time.Duration,
) (longest time.Duration, where string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.versions {
		for i := range w.fleet.Nodes {
			at, reached := v.reached[i]
			if !reached {
				at = end
			}
			if lag := at - v.at - faultTime(i, v.at, at); lag > longest {
				longest = lag
				where = fmt.Sprintf("version %d of %s at process %d, reached: %t", v.version, v.at, i, reached)
			}
		}
	}
	return longest, where
}

// owner returns the process that owns a key, or nil if none does.
func (w *watcher) owner(service, key string) (owner *launcher.Node) {
	w.readLog()
	w.mu.Lock()
	defer w.mu.Unlock()
	a, found := w.state.Lookup(service, hasher.KeyPosition(key))
	if !found || w.state.Members[a.Owner] == nil {
		return nil
	}
	return w.node(w.state.Members[a.Owner].Name)
}

func (w *watcher) node(name string) *launcher.Node {
	for _, n := range w.fleet.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// member returns the member that joined last of those that a process has had.
func (w *watcher) member(n *launcher.Node) (newest applier.Member, present bool) {
	w.readLog()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.state.Members {
		if m.Name == n.Name && m.Joined >= newest.Joined {
			newest, present = *m, true
		}
	}
	return newest, present
}

// guardians returns the processes that are guardians of a process.
func (w *watcher) guardians(n *launcher.Node) []*launcher.Node {
	m, present := w.member(n)
	if !present {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var guardians []*launcher.Node
	for _, id := range m.Guardians {
		if g, known := w.state.Members[id]; known {
			guardians = append(guardians, w.node(g.Name))
		}
	}
	return guardians
}
