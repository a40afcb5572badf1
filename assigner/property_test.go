package assigner_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/assigner"
	"hibiscusline/granter"
)

const (
	leaseTerm = 12 * time.Second
	holdTime  = 8 * time.Second
	maxHold   = 10 * time.Second
)

// server is a backend server that holds grants by its own clock, which may run slow.
type server struct {
	incarnation assigner.Incarnation
	sequence    uint64
	alive       bool
	// holds maps a slice to the token under which it is held.
	holds     map[int]uint64
	grantsEnd time.Duration
	clockRate float64
	// highestTokens maps a slice to the highest token under which the server has held it.
	highestTokens map[int]uint64
	freed         []granter.Freed
	// ends maps a slice to the end of its grant, and late holds the grants that are applied later. They are used if grants
	// are made by calls.
	ends map[int]time.Duration
	late []lateGrant
}

// process is the sidecar process of a server with its copy of the table.
type process struct {
	name        string
	granter     *granter.Granter
	table       *assigner.Table
	alive       bool
	partitioned bool
	ended       bool
	epoch       int
	server      *server
	suspectedAt map[assigner.Suspicion]time.Duration
	// end is the number of changes of the store that the process has read. readBegan is the start time of the read that
	// returned the last of them, made by this process or by the one that relayed it. records holds the member records
	// that the read returned.
	end       int
	readBegan time.Duration
	records   map[string]published
	// inFlight is a member record that has been sent and is not stored yet.
	inFlight *published
	// release is a release of slices that waits for the store, or nil.
	release *waitingRelease
	// connected is the server that the connections for calls lead to, and calls holds the calls in flight.
	connected *server
	calls     []sentCall
	// eraState is the state of a process whose store may go back.
	eraState
	// lateBeats holds heartbeats of this server and of earlier ones that arrive late.
	lateBeats []granter.Heartbeat
}

// waitingRelease is a release that was found by a heartbeat and is built anew at each attempt to store it.
type waitingRelease struct {
	owner assigner.Owner
	list  []assigner.Released
}

// published is a member record.
type published struct {
	candidate assigner.Candidate
	epoch     int
	revision  uint64
}

// system simulates a store, processes and servers under a common clock.
type system struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	stored *assigner.Table
	// changes counts the changes of the table and of the member records.
	changes      int
	incarnations map[string]published
	processes    []*process
	// byCalls means that grants are made by calls.
	byCalls bool
	// reliable means that calls don't fail.
	reliable bool
	// tokens maps a slice to its last holder and token.
	tokens   map[int]lastToken
	lastBorn int64
	// goingBack is the state of a store that may go back, or nil.
	goingBack *goingBack
}

type lastToken struct {
	incarnation assigner.Incarnation
	token       uint64
}

func newSystem(t *rapid.T, byCalls bool) *system {
	w := &system{t: t, byCalls: byCalls, now: time.Minute, incarnations: map[string]published{}, tokens: map[int]lastToken{}}
	for _, name := range []string{"a", "b", "c"} {
		p := &process{name: name, server: &server{}}
		w.processes = append(w.processes, p)
		w.startServer(p)
		w.startProcess(p)
	}
	return w
}

func (w *system) startServer(p *process) {
	w.lastBorn++
	p.server = &server{
		incarnation: assigner.Incarnation{Instance: "i-" + p.name, Born: w.lastBorn}, alive: true,
		holds: map[int]uint64{}, highestTokens: map[int]uint64{}, ends: map[int]time.Duration{},
		clockRate: []float64{0.98, 1}[w.lastBorn%2],
	}
}

func (w *system) startProcess(p *process) {
	p.alive, p.ended, p.table, p.end, p.records, p.release = true, false, nil, 0, nil, nil
	p.connected, p.calls = nil, nil
	p.epoch++
	p.suspectedAt = map[assigner.Suspicion]time.Duration{}
	p.granter = granter.New(granter.Config{
		Member: p.name, LeaseTerm: leaseTerm, HoldTime: holdTime, MaxHold: maxHold, Started: w.now, ByCalls: w.byCalls,
	})
	p.granter.Revoke()
	p.eraState = eraState{}
}

// change stores the next table of a process, on the condition that the process has read all changes.
func (w *system) change(p *process, next *assigner.Table) {
	if w.goingBack != nil {
		w.append(p, next)
		return
	}
	w.stored = next
	w.changes++
}

// read gives a process the stored table, as returned by a read that began earlier by the given duration.
func (w *system) read(p *process, took time.Duration) {
	if !p.alive || p.partitioned {
		return
	}
	if w.goingBack != nil {
		w.readEra(p, took)
		return
	}
	w.learn(p, w.stored, w.changes, w.now-took, maps.Clone(w.incarnations))
}

// relay lets a process, which may be cut off from the store, learn what another one has read, unless its own state is
// newer. Its lease then runs from the start of the read of the other process.
func (w *system) relay(p, from *process) {
	if !p.alive || !from.alive || p == from || from.records == nil {
		return
	}
	if w.goingBack != nil {
		w.observe(p, from.state())
		return
	}
	if from.end < p.end {
		return
	}
	w.learn(p, from.table, from.end, from.readBegan, from.records)
}

func (w *system) learn(p *process, t *assigner.Table, end int, readBegan time.Duration, records map[string]published) {
	p.table, p.end, p.readBegan, p.records = t, end, readBegan, records
	if w.goingBack == nil || p.confirmedInEra(records) {
		p.granter.Observe(t, readBegan)
	} else {
		p.granter.AdoptUnverified(t)
	}
	if c, found := records[p.name]; found && c.epoch == p.epoch && !c.candidate.Ended && !p.ended {
		p.granter.Confirm(c.candidate.Owner.Incarnation, c.revision)
	}
	if t == nil {
		return
	}
	for _, s := range t.Suspects {
		if _, known := p.suspectedAt[s]; !known {
			p.suspectedAt[s] = w.now
		}
	}
}

// publish sends the member record of a process to the store, where it takes effect later.
func (w *system) publish(p *process) {
	if !p.alive || p.partitioned || p.granter.Incarnation() == (assigner.Incarnation{}) || p.inFlight != nil {
		return
	}
	p.inFlight = &published{epoch: p.epoch, revision: p.granter.Revision(), candidate: assigner.Candidate{
		Owner: assigner.Owner{Member: p.name, Incarnation: p.granter.Incarnation()}, Usable: !p.ended, Ended: p.ended,
	}}
}

// deliver stores the record in flight, unless a later process of the same name has stored one.
func (w *system) deliver(p *process) {
	if p.inFlight == nil {
		return
	}
	if stored, found := w.incarnations[p.name]; !found || stored.epoch <= p.inFlight.epoch {
		w.incarnations[p.name] = *p.inFlight
		w.changes++
	}
	p.inFlight = nil
}

func (w *system) heartbeat(p *process) {
	s := p.server
	w.expire(s)
	if !p.alive || !s.alive {
		return
	}
	s.sequence++
	h := granter.Heartbeat{Incarnation: s.incarnation, Sequence: s.sequence, Freed: s.freed}
	for i, token := range s.holds {
		if w.byCalls {
			break
		}
		first, last := w.keys().KeyRange(i)
		h.Holds = append(h.Holds, granter.Holding{First: first, Last: last, Token: token})
	}
	if w.byCalls && w.chance(0.15) {
		p.lateBeats = append(p.lateBeats, h)
		return
	}
	if s.incarnation != p.granter.Incarnation() {
		p.granter.Revoke()
	}
	p.ended = false
	a, current := p.granter.Heartbeat(w.now, h)
	if !current {
		return
	}
	if len(a.Released) > 0 && p.release == nil {
		p.release = &waitingRelease{
			owner: assigner.Owner{Member: p.name, Incarnation: s.incarnation}, list: a.Released,
		}
		if w.chance(0.5) {
			w.release(p)
		}
	}
	if !a.Renews || w.chance(0.1) {
		return
	}
	w.applyResponse(s, a)
}

// release attempts to store the waiting release of a process.
func (w *system) release(p *process) {
	if p.release == nil || !p.alive || p.partitioned {
		return
	}
	w.read(p, 0)
	if t := p.table; t != nil {
		list := p.granter.StillReleased(t, p.release.list)
		if next := assigner.Release(t, p.release.owner, list); next != nil {
			w.change(p, next)
		}
	}
	p.release = nil
}

// applyResponse applies a heartbeat response as a backend server does.
func (w *system) applyResponse(s *server, a granter.Response) {
	granted := map[int]uint64{}
	for _, g := range a.Grants {
		for i := w.keys().SliceOf(g.First); i <= w.keys().SliceOf(g.Last); i++ {
			granted[i] = g.Token
		}
	}
	for i := range s.holds {
		if _, kept := granted[i]; !kept {
			delete(s.holds, i)
		}
	}
	for i, token := range granted {
		if token < s.highestTokens[i] {
			continue
		}
		w.hold(s, i, token)
	}
	s.grantsEnd = w.now + time.Duration(float64(a.HoldTime)/s.clockRate)
}

// hold records that a server holds a slice under a token.
func (w *system) hold(s *server, slice int, token uint64) {
	if last := w.tokens[slice]; last.incarnation != s.incarnation {
		require.Greater(w.t, token, last.token, "slice %d moved to another incarnation without a higher token", slice)
	}
	s.holds[slice], s.highestTokens[slice] = token, token
	w.tokens[slice] = lastToken{incarnation: s.incarnation, token: token}
}

func (w *system) expire(s *server) {
	if w.byCalls {
		w.applyLateGrants(s)
		for i := range s.holds {
			if w.now >= s.ends[i] || !s.alive {
				delete(s.holds, i)
			}
		}
		return
	}
	if w.now >= s.grantsEnd || !s.alive {
		clear(s.holds)
	}
}

// plan updates the stored table according to the process's copy of it.
func (w *system) plan(p *process) {
	if !p.alive || p.partitioned || w.goingBack == nil && p.table != w.stored || w.planEra(p) {
		return
	}
	view := assigner.PlanInput{
		Service: "stock", LeaseTerm: leaseTerm, Era: p.era,
		SuspectedFor: func(s assigner.Suspicion) time.Duration {
			since, known := p.suspectedAt[s]
			if !known {
				return 0
			}
			return w.now - since
		},
	}
	for _, q := range w.processes {
		if c, found := p.records[q.name]; found {
			view.Candidates = append(view.Candidates, c.candidate)
		}
	}
	if p.table != nil {
		if next := assigner.Refute(p.table, p.name); next != nil {
			w.change(p, next)
			return
		}
	}
	if next := assigner.Plan(p.table, view); next != nil {
		w.change(p, next)
	}
}

// check requires that every slice has at most one holder.
func (w *system) check() {
	holder := map[int]string{}
	for _, p := range w.processes {
		w.expire(p.server)
		for i := range p.server.holds {
			other, held := holder[i]
			require.False(w.t, held, "slice %d is held by the servers of %s and %s", i, other, p.name)
			holder[i] = p.name
		}
	}
}

// TestOneHolder guards against two servers that hold a key at the same time and against tokens that do not increase,
// for any order of heartbeats, reads, suspicions, moves, partitions, restarts and crashes.
func TestOneHolder(t *testing.T) {
	for name, byCalls := range map[string]bool{"heartbeats": false, "calls": true} {
		t.Run(name, func(t *testing.T) { checkOneHolder(t, byCalls) })
	}
}

func checkOneHolder(t *testing.T, byCalls bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSystem(t, byCalls)
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 120 {
			for _, p := range w.processes {
				w.act(p)
				w.check()
			}
			if w.chance(0.5) {
				w.injectFault(w.processes[w.random.IntN(len(w.processes))])
			}
			w.now += time.Duration(w.random.IntN(900)) * time.Millisecond
			w.check()
		}
	})
}

func (w *system) chance(share float64) bool { return w.random.Float64() < share }

// act performs a random selection of the regular operations of a process and its server.
func (w *system) act(p *process) {
	if w.chance(0.5) {
		w.read(p, time.Duration(w.random.IntN(2500))*time.Millisecond)
	}
	if w.chance(0.4) {
		w.relay(p, w.processes[w.random.IntN(len(w.processes))])
	}
	if w.chance(0.6) {
		w.heartbeat(p)
	}
	if w.byCalls && w.chance(0.1) {
		w.deliverLateBeats(p)
	}
	if w.byCalls && w.chance(0.7) {
		w.answerCalls(p)
		w.sendCalls(p)
		w.findReleased(p)
	}
	if w.chance(0.5) {
		w.publish(p)
	}
	if w.chance(0.4) {
		w.deliver(p)
	}
	if w.chance(0.2) {
		w.release(p)
	}
	if w.chance(0.4) {
		w.read(p, 0)
		w.plan(p)
	}
}

func (w *system) injectFault(p *process) {
	switch w.random.IntN(10) {
	case 0:
		p.partitioned = !p.partitioned
	case 1, 2:
		w.suspect(p)
	case 3, 4, 5:
		w.move(p)
	case 6:
		w.startProcess(p)
	case 7:
		p.alive = !p.alive
	case 8:
		if w.chance(0.5) {
			w.endServer(p)
		} else if !p.server.alive {
			w.startServer(p)
		}
	case 9:
		w.lapse(p)
	}
}

func (w *system) suspect(p *process) {
	w.read(p, 0)
	if p.table == nil || len(p.table.Owners) == 0 || p.partitioned || !p.alive || p.table.Era != p.era {
		return
	}
	o := p.table.Owners[w.random.IntN(len(p.table.Owners))]
	if next := assigner.Suspect(p.table, o.Member); next != nil {
		w.change(p, next)
	}
}

func (w *system) move(p *process) {
	w.read(p, 0)
	if p.table == nil || p.partitioned || !p.alive || len(p.table.Owners) == 0 || p.table.Era != p.era {
		return
	}
	from := assigner.Owner{Member: p.name, Incarnation: p.granter.Incarnation()}
	to := p.table.Owners[w.random.IntN(len(p.table.Owners))]
	if to == from {
		return
	}
	if next := assigner.SetTargets(p.table, from, []assigner.Move{
		{Slice: w.random.IntN(len(p.table.Slices)), Target: to},
	}); next != nil {
		w.change(p, next)
	}
}

// endServer ends the server, which its process detects.
func (w *system) endServer(p *process) {
	p.server.alive = false
	clear(p.server.holds)
	if p.alive && p.granter.Incarnation() == p.server.incarnation {
		p.granter.Revoke()
		p.granter.DropGrants()
		p.ended = true
	}
}

// lapse lets a process that has received no heartbeat for too long declare the grants of its server expired, although
// the server is alive.
func (w *system) lapse(p *process) {
	if p.alive && w.now > p.granter.GrantsLapseAt() && p.granter.Incarnation() != (assigner.Incarnation{}) {
		p.granter.Revoke()
		p.granter.DropGrants()
		p.ended = true
	}
}
