package quarantiner

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/applier"
	_ "hibiscusline/seeder"
)

// poisonCount is the number of poison requests. Fingerprints up to it crash every server.
const poisonCount = 2

// requestCount is the number of all requests. Fingerprints above poisonCount crash no server.
const requestCount = 7

// process is a process with one server and its own position in the log.
type process struct {
	*Quarantiner
	state   applier.State
	running map[uint64]Ticket
	// lateTickets holds the tickets of requests that were in flight at a crash.
	lateTickets []Ticket
	// voided holds, by fingerprint, the marks that were cleared in this process.
	voided map[uint64][]applier.InFlightCrash
}

// cluster is a set of processes that share a log, and callers that retry each request until it completes. Other
// requests may also run on several servers at once.
type cluster struct {
	t         *rapid.T
	clock     time.Duration
	log       []applier.Suspect
	processes []*process
	// entryMarks holds the marks that the entry process of a request sends with it.
	entryMarks map[uint64][]applier.InFlightCrash
	crashes    map[uint64]int
	// crashesBeforeAlone is the number of crashes from which on a request runs alone.
	crashesBeforeAlone int
}

func (c *cluster) process() *process { return rapid.SampledFrom(c.processes).Draw(c.t, "process") }

func (c *cluster) catchUp(p *process, records int) {
	for ; records > 0 && int(p.state.Applied) < len(c.log); records-- {
		r := c.log[p.state.Applied]
		p.state.Apply(p.state.Applied+1, applier.Envelope{ID: time.Duration(p.state.Applied).String(), Record: r})
	}
	p.MergeSuspects(c.clock, p.state.Suspects)
	for fingerprint, marks := range p.voided {
		for _, mark := range marks {
			require.NotContains(c.t, p.CrashMarks(fingerprint), mark, "a late report renews the suspicion")
		}
	}
}

func (c *cluster) inFlight(fingerprint uint64) bool {
	return slices.ContainsFunc(c.processes, func(p *process) bool { _, running := p.running[fingerprint]; return running })
}

func (c *cluster) start(t *rapid.T) {
	fingerprint, p := rapid.Uint64Range(1, requestCount).Draw(t, "request"), c.process()
	if _, here := p.running[fingerprint]; here || fingerprint <= poisonCount && c.inFlight(fingerprint) {
		return
	}
	if rapid.Bool().Draw(t, "through another entry") {
		c.catchUp(p, len(c.log))
	} else {
		p.AddCrashMarks(c.clock, fingerprint, c.entryMarks[fingerprint])
	}
	if p.Check(fingerprint) == Refuse {
		require.LessOrEqual(t, fingerprint, uint64(poisonCount), "an innocent request is refused")
	}
	if p.MayStart(fingerprint) {
		p.running[fingerprint] = p.Start(fingerprint)
	}
}

func (c *cluster) run(t *rapid.T) {
	p := c.process()
	if len(p.running) == 0 {
		return
	}
	fingerprint := rapid.SampledFrom(slices.Sorted(maps.Keys(p.running))).Draw(t, "request")
	if fingerprint <= poisonCount {
		c.crash(p, fingerprint)
		return
	}
	p.voided[fingerprint] = append(p.voided[fingerprint], p.CrashMarks(fingerprint)...)
	p.Finish(c.clock, p.running[fingerprint])
	delete(p.running, fingerprint)
	delete(c.entryMarks, fingerprint)
	require.Equal(t, Run, p.Check(fingerprint), "a completed request is cleared")
}

func (c *cluster) crash(p *process, cause uint64) {
	c.crashes[cause]++
	require.LessOrEqual(c.t, c.crashes[cause], c.crashesBeforeAlone+1, "servers lost to request %d", cause)
	record, reported := p.Crash(c.clock)
	require.True(c.t, reported)
	require.Equal(c.t, slices.Sorted(maps.Keys(p.running)), record.Fingerprints)
	// A writer that received no response may append the record again.
	c.log = append(c.log, slices.Repeat([]applier.Suspect{record}, rapid.IntRange(1, 2).Draw(c.t, "appends"))...)
	for fingerprint, ticket := range p.running {
		c.entryMarks[fingerprint] = p.CrashMarks(fingerprint)
		p.lateTickets = append(p.lateTickets, ticket)
	}
	clear(p.running)
}

func (c *cluster) respondLate(*rapid.T) {
	p := c.process()
	for _, ticket := range p.lateTickets {
		before := p.Check(ticket.fingerprint)
		p.Finish(c.clock, ticket)
		require.Equal(c.t, before, p.Check(ticket.fingerprint), "a response from before the crash")
	}
	p.lateTickets = nil
}

// TestPoisonRequestCostsAtMostTwoServers guards against a request that crashes more than two servers, or more than one more
// than those after which it runs alone, and against the refusal of a request that runs beside poison requests, with reports
// that are duplicated, delayed and received by several paths.
func TestPoisonRequestCostsAtMostTwoServers(t *testing.T) {
	for _, crashesBeforeAlone := range []int{1, 2} {
		t.Run(strconv.Itoa(crashesBeforeAlone), func(t *testing.T) { testCostOfPoisonRequest(t, crashesBeforeAlone) })
	}
}

func testCostOfPoisonRequest(t *testing.T, crashesBeforeAlone int) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{
			t: t, entryMarks: map[uint64][]applier.InFlightCrash{}, crashes: map[uint64]int{}, crashesBeforeAlone: crashesBeforeAlone,
		}
		for id := range 4 {
			c.processes = append(c.processes, &process{
				Quarantiner: New(Config{Member: applier.MemberID(id + 1), CrashesBeforeAlone: crashesBeforeAlone}), running: map[uint64]Ticket{},
				voided: map[uint64][]applier.InFlightCrash{},
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": c.start, "start another": c.start, "run": c.run, "respond late": c.respondLate,
			"read": func(t *rapid.T) { c.clock++; c.catchUp(c.process(), rapid.IntRange(1, 3).Draw(t, "records")) },
			"report": func(*rapid.T) {
				if cleared := c.process().TakeCleared(); len(cleared) > 0 {
					c.log = append(c.log, applier.Suspect{Cleared: cleared})
				}
			},
		})
	})
}

// TestExpiryAndBound guards against suspicions that never end, refusals that expire without leaving a suspicion, and a
// table that grows without bound.
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
		q.AddCrashMarks(0, fingerprint+2, []applier.InFlightCrash{{Crash: 9}})
	}
	require.Len(t, q.suspects, 300)
	require.Equal(t, Refuse, q.Check(1))
	for i, expected := range []Verdict{RunAlone, Run, Run} {
		q.Expire(time.Duration(i+1) * time.Minute)
		require.Equal(t, expected, q.Check(1))
	}
	require.Empty(t, q.suspects)
}

// TestFingerprint guards against fingerprints that ignore a part of the request or change when a body is sent with a
// new idempotency key.
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

// TestCrashCountsOnce guards against a refusal after a single crash that is reported by this process, by a peer and
// twice by the log.
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

// TestReports guards against a suspect that other processes aren't told of: a new one, and one that doesn't run like other
// requests. It also guards against reports without end of a request that was in flight at one crash.
func TestReports(t *testing.T) {
	reporter := NewTracker(Config{Member: 1, CrashesBeforeAlone: 2})
	crash := func(fingerprints ...uint64) {
		var last Running
		for _, fingerprint := range fingerprints {
			last = reporter.Start(fingerprint)
		}
		_, isNew := reporter.Crash(0, last)
		require.True(t, isNew)
	}
	crash(1, 2)
	crash(1, 2)
	crash(1)
	crash(3, 4)
	other := NewTracker(Config{Member: 2, CrashesBeforeAlone: 2})
	other.AddReports(0, reporter.Reports(spreadTime))
	for fingerprint, expected := range []Verdict{Run, Refuse, RunAlone, Run, Run} {
		require.Equal(t, expected, other.Verdict(0, uint64(fingerprint), nil))
	}
	require.Len(t, other.Marks(3), 1)
	later := reporter.Reports(spreadTime + 1)
	require.Len(t, later, 2)
	require.EqualValues(t, 1, later[0].Fingerprint)
	require.EqualValues(t, 2, later[1].Fingerprint)
	for fingerprint := range uint64(2 * maxReports) {
		crash(fingerprint + 10)
	}
	require.Len(t, reporter.Reports(0), maxReports)
	require.EqualValues(t, 1, reporter.Reports(0)[0].Fingerprint, "the most severe suspect comes first")
}
