package quarantiner

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/applier"
	_ "hibiscusline/seeder"
)

const poisons = 2 // The fingerprints 1 and 2 crash every server; those up to requests are innocent.

const requests = 7

// process is a server with its own view of the log.
type process struct {
	*Quarantiner
	state   applier.State
	running map[uint64]Ticket
	// late are the tickets of requests that were in flight at a crash.
	late []Ticket
	// void are the crashes that requests were cleared of here.
	void map[uint64][]applier.CrashMark
}

// fleet is a set of servers that share a log, and callers that send each request again until it completes. Innocent
// requests also run on several servers at once.
type fleet struct {
	t         *rapid.T
	clock     time.Duration
	log       []applier.Suspect
	processes []*process
	// carried are the marks that the entry process of a request sends with it.
	carried map[uint64][]applier.CrashMark
	losses  map[uint64]int
}

func (f *fleet) process() *process { return rapid.SampledFrom(f.processes).Draw(f.t, "process") }

func (f *fleet) catchUp(p *process, records int) {
	for ; records > 0 && int(p.state.Applied) < len(f.log); records-- {
		r := f.log[p.state.Applied]
		p.state.Apply(p.state.Applied+1, applier.Envelope{ID: time.Duration(p.state.Applied).String(), Record: r})
	}
	p.MergeSuspects(f.clock, p.state.Suspects)
	for fingerprint, marks := range p.void {
		for _, mark := range marks {
			require.NotContains(f.t, p.CrashMarks(fingerprint), mark, "a late report brings a suspicion back")
		}
	}
}

func (f *fleet) inFlight(fingerprint uint64) bool {
	return slices.ContainsFunc(f.processes, func(p *process) bool { _, in := p.running[fingerprint]; return in })
}

func (f *fleet) start(t *rapid.T) {
	fingerprint, p := rapid.Uint64Range(1, requests).Draw(t, "request"), f.process()
	if _, here := p.running[fingerprint]; here || fingerprint <= poisons && f.inFlight(fingerprint) {
		return
	}
	if rapid.Bool().Draw(t, "through another entry") {
		f.catchUp(p, len(f.log))
	} else {
		p.AddCrashMarks(f.clock, fingerprint, f.carried[fingerprint])
	}
	if p.Check(fingerprint) == Refuse {
		require.LessOrEqual(t, fingerprint, uint64(poisons), "an innocent request is refused")
	}
	if p.MayStart(fingerprint) {
		p.running[fingerprint] = p.Start(fingerprint)
	}
}

func (f *fleet) run(t *rapid.T) {
	p := f.process()
	if len(p.running) == 0 {
		return
	}
	fingerprint := rapid.SampledFrom(slices.Sorted(maps.Keys(p.running))).Draw(t, "request")
	if fingerprint <= poisons {
		f.crash(p, fingerprint)
		return
	}
	p.void[fingerprint] = append(p.void[fingerprint], p.CrashMarks(fingerprint)...)
	p.Finish(f.clock, p.running[fingerprint])
	delete(p.running, fingerprint)
	delete(f.carried, fingerprint)
	require.Equal(t, Run, p.Check(fingerprint), "a completed request is cleared")
}

func (f *fleet) crash(p *process, cause uint64) {
	f.losses[cause]++
	require.LessOrEqual(f.t, f.losses[cause], 2, "servers lost to request %d", cause)
	record, reported := p.Crash(f.clock)
	require.True(f.t, reported)
	require.Equal(f.t, slices.Sorted(maps.Keys(p.running)), record.Fingerprints)
	// A writer that got no response may append the record again.
	f.log = append(f.log, slices.Repeat([]applier.Suspect{record}, rapid.IntRange(1, 2).Draw(f.t, "appends"))...)
	for fingerprint, ticket := range p.running {
		f.carried[fingerprint] = p.CrashMarks(fingerprint)
		p.late = append(p.late, ticket)
	}
	clear(p.running)
}

func (f *fleet) respondLate(*rapid.T) {
	p := f.process()
	for _, ticket := range p.late {
		before := p.Check(ticket.fingerprint)
		p.Finish(f.clock, ticket)
		require.Equal(f.t, before, p.Check(ticket.fingerprint), "a response from before the crash")
	}
	p.late = nil
}

// Guards against a request that costs more than two servers, and against the refusal of a neighbour of poison requests,
// with reports that arrive twice, late, and on several ways.
func TestPoisonRequestCostsAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, carried: map[uint64][]applier.CrashMark{}, losses: map[uint64]int{}}
		for id := range 4 {
			f.processes = append(f.processes, &process{
				Quarantiner: New(Config{Member: applier.MemberID(id + 1)}), running: map[uint64]Ticket{}, void: map[uint64][]applier.CrashMark{},
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": f.start, "start another": f.start, "run": f.run, "respond late": f.respondLate,
			"read": func(t *rapid.T) { f.clock++; f.catchUp(f.process(), rapid.IntRange(1, 3).Draw(t, "records")) },
			"report": func(*rapid.T) {
				if cleared := f.process().TakeCleared(); len(cleared) > 0 {
					f.log = append(f.log, applier.Suspect{Cleared: cleared})
				}
			},
		})
	})
}

// Guards against suspicions that never end, refusals that end in a full run, and tables that grow without bound.
func TestExpiryAndBound(t *testing.T) {
	q := New(Config{Member: 1, MaxSuspects: 300, Expiry: time.Minute})
	for range 2 {
		q.Start(1)
		_, reported := q.Crash(0)
		require.True(t, reported)
	}
	_, reported := q.Crash(0)
	require.False(t, reported, "nothing was in flight")
	for fingerprint := range uint64(1000) {
		q.AddCrashMarks(0, fingerprint+2, []applier.CrashMark{{Crash: 9}})
	}
	require.Len(t, q.suspects, 300)
	require.Equal(t, Refuse, q.Check(1))
	for i, expected := range []Verdict{RunAlone, Run, Run} {
		q.Expire(time.Duration(i+1) * time.Minute)
		require.Equal(t, expected, q.Check(1))
	}
	require.Empty(t, q.suspects)
}

// Guards against fingerprints that ignore a part of the request or change when a body is sent with a new key.
func TestFingerprint(t *testing.T) {
	distinct := map[uint64]bool{}
	for _, r := range []Request{
		{Service: "ab"}, {Service: "a", Method: "b"}, {Service: "a", Path: "b"}, {Key: "a"}, {IdempotencyKey: "a"}, {BodyHash: 1},
	} {
		distinct[Fingerprint(r)] = true
	}
	require.Len(t, distinct, 6)
	require.Equal(t, Fingerprint(Request{BodyHash: 1}), Fingerprint(Request{BodyHash: 1, IdempotencyKey: "a"}))
}

// Guards against a refusal after a single crash that is known from this process, a peer and the log, where it is twice.
func TestCrashCountsOnce(t *testing.T) {
	q, state := New(Config{Member: 1}), applier.State{}
	q.Start(1)
	record, _ := q.Crash(0)
	state.Apply(1, applier.Envelope{ID: "a", Record: record})
	state.Apply(2, applier.Envelope{ID: "b", Record: record})
	q.AddCrashMarks(0, 1, q.CrashMarks(1))
	q.MergeSuspects(0, state.Suspects)
	require.Equal(t, RunAlone, q.Check(1))
	require.Equal(t, 1, state.CrashesOf(1))
}
