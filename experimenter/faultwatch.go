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

func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// owned is the ownership of a member at an offset.
type owned map[applier.MemberID][]applier.RangeEpoch

// watcher reads the log past all faults and compares what every process says with it.
type watcher struct {
	fleet   *launcher.Fleet
	started time.Time

	mu       sync.Mutex
	state    applier.State
	history  map[applier.Offset]owned
	versions []versionChange
	seen     map[applier.MemberID]reporter.Status
	reverted int
	lost     int
	checked  int
	// keys are those whose owners are followed, and changes the changes of their owners.
	keys    []watchedKey
	changes []ownerChange
}

type watchedKey struct{ service, key string }

// ownerChange is a change of the owner of a watched key by a record, at a time since the start.
type ownerChange struct {
	key      watchedKey
	kind     string
	from, to applier.MemberID
	at       time.Duration
}

type versionChange struct {
	version applier.Offset
	at      time.Duration
	reached map[int]time.Duration
}

const watchInterval = 20 * time.Millisecond

func newWatcher(f *launcher.Fleet, started time.Time) *watcher {
	return &watcher{fleet: f, started: started, history: map[applier.Offset]owned{}, seen: map[applier.MemberID]reporter.Status{}}
}

// run reads the log directly, so an outage doesn't hide anything from it.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		w.read()
		if i%5 == 0 {
			w.ask(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *watcher) read() {
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
			w.changes = append(w.changes, ownerChange{w.keys[i], applier.KindOf(e.Record).String(), owners[i], to, time.Since(w.started)})
		}
	}
	if w.state.Version != before {
		w.versions = append(w.versions, versionChange{w.state.Version, time.Since(w.started), map[int]time.Duration{}})
	}
	at := owned{}
	for id := range w.state.Members {
		for _, a := range w.state.Owned(id) {
			at[id] = append(at[id], applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch})
		}
	}
	w.history[offset] = at
}

func (w *watcher) ownersOfKeys() []applier.MemberID {
	owners := make([]applier.MemberID, len(w.keys))
	for i, k := range w.keys {
		a, _ := w.state.Lookup(k.service, hasher.KeyPosition(k.key))
		owners[i] = a.Owner
	}
	return owners
}

// changesOf describes the changes of a key's owner in a time.
func (w *watcher) changesOf(service, key string, from, to time.Duration) (text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.changes {
		if c.key == (watchedKey{service, key}) && c.at >= from && c.at < to {
			text += fmt.Sprintf(" (%s from %s to %s at %d ms)", c.kind, c.from, c.to, c.at.Milliseconds())
		}
	}
	return text
}

// ask asks every running process for its status.
func (w *watcher) ask(ctx context.Context) {
	var tasks sync.WaitGroup
	for i, n := range w.fleet.Nodes {
		if !n.Running() {
			continue
		}
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			if s, err := n.Status(ctx); err == nil {
				w.compare(i, s)
			}
		})
	}
	tasks.Wait()
}

func (w *watcher) compare(node int, s reporter.Status) {
	w.read()
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
	last := w.seen[s.Member]
	if s.Version < last.Version || s.Applied < last.Applied {
		w.reverted++
	}
	w.seen[s.Member] = s
	w.checked++
	// The ranges are read a moment before the offset, so that they may be those of a slightly older state.
	from := s.Applied
	if last.Applied != 0 {
		from = min(from, last.Applied)
	}
	for offset := from; offset <= s.Applied; offset++ {
		if at, known := w.history[offset]; known && slices.Equal(at[s.Member], s.Owned) {
			return
		}
	}
	w.lost++
}

// configurationLag returns the longest time that a process without fault needed to have a version in force. A process with
// a fault is counted from the fault's end. It also says which process and version that was.
func (w *watcher) configurationLag(faulted func(node int, from, to time.Duration) time.Duration, end time.Duration) (worst time.Duration, where string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.versions {
		for i := range w.fleet.Nodes {
			at, reached := v.reached[i]
			if !reached {
				at = end
			}
			if lag := at - v.at - faulted(i, v.at, at); lag > worst {
				worst = lag
				where = fmt.Sprintf("version %d of %s at process %d, reached: %t", v.version, v.at, i, reached)
			}
		}
	}
	return worst, where
}

// owner returns the process that owns a key, and the processes that guard it.
func (w *watcher) owner(service, key string) (owner *launcher.Node) {
	w.read()
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

// member returns the newest member of a process.
func (w *watcher) member(n *launcher.Node) (newest applier.Member, present bool) {
	w.read()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.state.Members {
		if m.Name == n.Name && m.Joined >= newest.Joined {
			newest, present = *m, true
		}
	}
	return newest, present
}

// guardians returns the processes that guard a process.
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
