package assigner_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/assigner"
)

// eraState is what a process knows of the eras of the store.
type eraState struct {
	era   uint64
	since time.Duration
	// unconfirmed means that the store isn't known to have a record of the process of the era.
	unconfirmed bool
}

// goingBack is the state of a store that may come back from an older copy.
type goingBack struct {
	era uint64
	// mark is the latest era that is marked.
	mark    uint64
	history []storeCopy
	appends []lateAppend
	answers []lateAnswer
	// layout is a table that divides the keys as all do.
	layout *assigner.Table
}

// storeCopy is the content of the store at a time.
type storeCopy struct {
	at           time.Duration
	stored       *assigner.Table
	changes      int
	mark         uint64
	incarnations map[string]published
}

// lateAppend is a conditional append that takes effect later.
type lateAppend struct {
	due   time.Duration
	end   int
	table *assigner.Table
}

// readState is the content of the answer to a read.
type readState struct {
	era     uint64
	table   *assigner.Table
	end     int
	began   time.Duration
	records map[string]published
}

// lateAnswer is an answer to a read that arrives later.
type lateAnswer struct {
	due   time.Duration
	to    *process
	state readState
}

func (p *process) state() readState {
	return readState{era: p.era, table: p.table, end: p.end, began: p.readBegan, records: p.records}
}

// keys returns a table that divides the keys as the stored one does, or nil.
func (w *system) keys() *assigner.Table {
	if w.goingBack != nil {
		return w.goingBack.layout
	}
	return w.stored
}

func (p *process) confirmedInEra(records map[string]published) bool {
	if c, found := records[p.name]; found && c.epoch == p.epoch {
		p.unconfirmed = false
	}
	return !p.unconfirmed
}

// readEra gives a process the content of the store, maybe late.
func (w *system) readEra(p *process, took time.Duration) {
	s := readState{era: w.goingBack.era, table: w.stored, end: w.changes, began: w.now - took, records: maps.Clone(w.incarnations)}
	if w.chance(0.1) {
		due := w.now + time.Duration(w.random.IntN(3000))*time.Millisecond
		w.goingBack.answers = append(w.goingBack.answers, lateAnswer{due: due, to: p, state: s})
		return
	}
	w.observe(p, s)
}

// observe lets a process learn the content of an answer, unless it is of an earlier era or has less than the process knows.
func (w *system) observe(p *process, s readState) {
	if s.era < p.era || s.era == p.era && s.end < p.end {
		return
	}
	if s.era > p.era {
		p.eraState = eraState{era: s.era, since: w.now, unconfirmed: true}
		p.epoch++
		p.suspectedAt = map[assigner.Suspicion]time.Duration{}
		p.granter.Enter(w.now, s.era)
	}
	w.learn(p, s.table, s.end, s.began, s.records)
}

// append appends a table, maybe late, on the condition that the store ends where the process's view does.
func (w *system) append(p *process, t *assigner.Table) {
	a := lateAppend{due: w.now, end: p.end, table: t}
	if w.chance(0.15) {
		a.due += time.Duration(w.random.IntN([]int{4000, 4000, 20000}[w.random.IntN(3)])) * time.Millisecond
		w.goingBack.appends = append(w.goingBack.appends, a)
		return
	}
	w.land(a)
}

// land lets an append take effect.
func (w *system) land(a lateAppend) {
	g := w.goingBack
	if a.end != w.changes {
		return
	}
	w.changes++
	if a.table.Era < g.mark {
		return
	}
	if a.table.Era == g.era && g.mark < g.era {
		w.changes++
		g.mark = g.era
	}
	w.stored = a.table
	if g.layout == nil {
		g.layout = a.table
	}
}

// planEra makes the changes that a new era needs. It reports whether the process may make no others.
func (w *system) planEra(p *process) bool {
	t := p.table
	if w.goingBack == nil || t == nil || t.Era == p.era && !t.Settling {
		return false
	}
	owner := assigner.Owner{Member: p.name, Incarnation: p.granter.Incarnation()}
	if t.Era < p.era {
		t = assigner.Open(t, p.era)
		if next := assigner.ApplyClaims(t, owner, p.granter.Unwritten(t)); next != nil {
			t = next
		}
		w.append(p, t)
		return true
	}
	if next := assigner.ApplyClaims(t, owner, p.granter.Unwritten(t)); next != nil {
		w.append(p, next)
		return true
	}
	if w.now-p.since > leaseTerm {
		w.append(p, assigner.Settle(t))
		return true
	}
	return false
}

// keepCopy keeps a copy of the store for a time.
func (w *system) keepCopy() {
	if w.stored == nil {
		return
	}
	g := w.goingBack
	g.history = append(g.history, storeCopy{
		at: w.now, stored: w.stored, changes: w.changes, mark: g.mark, incarnations: maps.Clone(w.incarnations),
	})
	g.history = slices.DeleteFunc(g.history, func(c storeCopy) bool { return w.now-c.at > 6*time.Second })
}

// goBack lets the store come back from one of its copies. Some processes may be cut from it, and some or all restarted.
func (w *system) goBack() {
	g := w.goingBack
	if len(g.history) == 0 {
		return
	}
	n := w.random.IntN(len(g.history))
	c := g.history[n]
	g.history = g.history[:n+1]
	w.stored, w.changes, g.mark, w.incarnations = c.stored, c.changes, c.mark, maps.Clone(c.incarnations)
	g.era++
	all := w.chance(0.1)
	for _, p := range w.processes {
		switch {
		case all:
			w.startProcess(p)
		case w.chance(0.3):
			p.partitioned = !p.partitioned
		case w.chance(0.1):
			p.alive = false
		}
	}
}

// arrive lets late appends take effect and late answers arrive.
func (w *system) arrive() {
	g := w.goingBack
	g.appends = slices.DeleteFunc(g.appends, func(a lateAppend) bool {
		if a.due <= w.now {
			w.land(a)
		}
		return a.due <= w.now
	})
	g.answers = slices.DeleteFunc(g.answers, func(a lateAnswer) bool {
		if a.due <= w.now && a.to.alive {
			w.observe(a.to, a.state)
		}
		return a.due <= w.now
	})
}

// TestOneHolderOverEras guards against two holders of a key, tokens that don't rise and keys that nobody is granted any more,
// when the store comes back from an older copy in any order with moves, takeovers, restarts and partitions.
func TestOneHolderOverEras(t *testing.T) {
	for name, byCalls := range map[string]bool{"heartbeats": false, "calls": true} {
		t.Run(name, func(t *testing.T) { checkOneHolderOverEras(t, byCalls) })
	}
}

func checkOneHolderOverEras(t *testing.T, byCalls bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSystem(t, byCalls)
		w.goingBack = &goingBack{}
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 160 {
			w.stepOverEras()
			if w.chance(0.4) {
				w.injectFault(w.processes[w.random.IntN(len(w.processes))])
			}
			if w.chance(0.06) {
				w.goBack()
			}
		}
		w.recoverOverEras()
	})
}

func (w *system) stepOverEras() {
	for _, p := range w.processes {
		w.arrive()
		w.act(p)
		w.check()
	}
	w.keepCopy()
	w.now += time.Duration(w.random.IntN(900)) * time.Millisecond
	w.check()
}

// recoverOverEras requires that all keys are granted some time after the last fault.
func (w *system) recoverOverEras() {
	w.reliable = true
	for _, p := range w.processes {
		p.partitioned = false
		if !p.alive {
			w.startProcess(p)
		}
		if !p.server.alive {
			w.startServer(p)
		}
	}
	held := 0
	for range 400 {
		w.stepOverEras()
		if held = 0; w.keys() == nil {
			continue
		}
		for _, p := range w.processes {
			held += len(p.server.holds)
		}
		if held == len(w.keys().Slices) {
			return
		}
	}
	require.Fail(w.t, "keys are not granted", "%d slices held", held)
}
