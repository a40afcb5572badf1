package dispatcher

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/hasher"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// Replicator keeps idempotency rows at this process's guardians.
type Replicator interface {
	// Record returns when every guardian that this process counts on has the row.
	Record(ctx context.Context, row deduper.Row) error
	// Publish sends a row without waiting.
	Publish(row deduper.Row)
	// Forget tells the guardians that an attempt was refused before dispatch.
	Forget(ref deduper.Ref)
}

// Config configures a Dispatcher.
type Config struct {
	State      *follower.Follower
	Lease      Lease
	Self       func() applier.MemberID
	Replicator Replicator
	// Service is the service of the backend server.
	Service   string
	Admission admitter.Config
	// Connections is the largest number of connections to the backend server.
	Connections int
	// Fetched reports whether the idempotency rows of a range taken over at an epoch are here.
	Fetched func(epoch applier.Offset) bool
	// Released reports whether the source of a planned move has released the ranges with an epoch.
	Released func(source applier.MemberID, epoch applier.Offset) bool
	// Report brings a crash, or suspects that completed, to the log and returns when it is there.
	Report  func(ctx context.Context, record applier.Suspect)
	Metrics *metrics.Set
}

// Dispatcher runs requests on one backend server.
type Dispatcher struct {
	config    Config
	gate      *gate
	backend   *backend
	ownership ownership
	parents   parents
	rows      rows
	suspects  *suspects
	observe   func(p hasher.Position)

	// abandoned ends when the backend server is given up; it ends the calls to it.
	abandoned context.Context
	abandon   context.CancelFunc
	// lastAnswer is the time of the backend server's last answer by the clock of package timer.
	lastAnswer atomic.Int64

	mu      sync.Mutex
	address netip.AddrPort
}

// Sink takes the answer of one request.
type Sink interface {
	// Respond sends the head of the answer. It is called once.
	Respond(encoder.Response) error
	// Write sends a part of the body.
	io.Writer
}

// New returns a dispatcher without a backend server.
func New(c Config) *Dispatcher {
	abandoned, abandon := context.WithCancel(context.Background())
	return &Dispatcher{
		abandoned: abandoned, abandon: abandon,
		config: c, gate: newGate(c.Admission), backend: newBackend(c.Connections),
		ownership: ownership{inFlight: map[uint64]hasher.Position{}, withheld: map[applier.Offset]time.Duration{}},
		rows:      newRows(),
		suspects:  newSuspects(c.Self()),
	}
}

// Observe sets a function that is told the position of every keyed request that was admitted. It must be set before the
// first request.
func (d *Dispatcher) Observe(f func(p hasher.Position)) { d.observe = f }

// SetBackend sets the address of the backend server, its slots and the largest number of connections to it. Zero slots
// refuse all requests. A slot without a connection is not used, since its request would wait for one.
func (d *Dispatcher) SetBackend(address netip.AddrPort, slots, connections int) {
	d.mu.Lock()
	d.address = address
	d.mu.Unlock()
	if slots > 0 {
		d.backend.lost.Store(false)
	}
	d.gate.apply(admitter.Resize{Slots: min(slots, d.backend.setLimit(connections))})
}

// SetRanks replaces the ranks of the admission.
func (d *Dispatcher) SetRanks(ranks []admitter.Rank) {
	d.gate.apply(admitter.Reconfigure{Ranks: ranks})
}

// Tick lets time pass for waiting requests. It is due every few milliseconds while it returns true, which means that
// requests wait, and several times a second otherwise.
func (d *Dispatcher) Tick() bool { return d.gate.tick() }

// Queued returns a channel that receives a value when requests start to wait.
func (d *Dispatcher) Queued() <-chan struct{} { return d.gate.queued }

// Load describes the backend server as this process sees it.
func (d *Dispatcher) Load() encoder.Load { return d.gate.load() }

// SetOffered sets the rate of requests for the own ranges, in requests/s, that Load reports.
func (d *Dispatcher) SetOffered(rate float64) {
	d.gate.mu.Lock()
	defer d.gate.mu.Unlock()
	d.gate.offered = rate
}

// Abandon gives the backend server up: calls to it end with an unknown outcome and new requests are refused. Requests that
// it accepted may still run until their deadlines.
func (d *Dispatcher) Abandon() {
	d.backend.lost.Store(true)
	d.abandon()
}

// LastAnswer returns the time of the backend server's last answer by the clock of package timer, or zero.
func (d *Dispatcher) LastAnswer() time.Duration { return time.Duration(d.lastAnswer.Load()) }

// InFlight returns the number of keyed requests between their ownership check and their end.
func (d *Dispatcher) InFlight() int {
	d.ownership.mu.Lock()
	defer d.ownership.mu.Unlock()
	return len(d.ownership.inFlight)
}

// Refresh notes ranges that this process owns now, so that waiting times after a take-over start when the record is
// applied. It is due after every change of the state.
func (d *Dispatcher) Refresh() {
	waits := map[applier.Offset]time.Duration{}
	d.config.State.View(func(s *applier.State) {
		for _, a := range s.Owned(d.config.Self()) {
			if wait := takeOverWait(s, d.config.Service, a); wait > 0 {
				waits[a.Epoch] = wait
			}
		}
	})
	d.config.State.View(func(s *applier.State) { d.suspects.merge(s.Suspects) })
	d.ownership.forgetWithheld(waits)
	for epoch, wait := range waits {
		d.ownership.isWithheld(epoch, wait)
	}
}

// Serve runs one request and sends its answer. An error means that the answer could not be sent to its end, and that the
// caller must see it broken off.
func (d *Dispatcher) Serve(ctx context.Context, head encoder.Request, body io.Reader, sink Sink) error {
	started := time.Now()
	deadline := started.Add(head.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	j := &job{head: head, body: body, sink: sink, deadline: deadline}
	err := d.serve(ctx, j)
	d.config.Metrics.GetOrCreateCounter(`hibiscus_owner_requests_total{rank="` + j.rankLabel() + `",outcome="` +
		j.outcome.String() + `",reason="` + j.reason.String() + `"}`).Inc()
	if j.outcome == encoder.Answered {
		d.config.Metrics.GetOrCreateHistogram(`hibiscus_owner_seconds{rank="` + j.rankLabel() + `"}`).UpdateDuration(started)
	}
	return err
}

// job is one request on its way through the dispatcher.
type job struct {
	head     encoder.Request
	body     io.Reader
	sink     Sink
	deadline time.Time
	grant    grant
	// ranked means that the configuration has the request's rank.
	ranked  bool
	outcome encoder.Outcome
	reason  encoder.Reason
}

// respond sends an answer without body.
func (d *Dispatcher) respond(j *job, r encoder.Response) error {
	j.outcome, j.reason = r.Outcome, r.Reason
	r.Load = d.gate.load()
	r.Applied = d.config.State.Applied()
	if r.Outcome != encoder.Answered {
		r.Length = 0
	}
	return j.sink.Respond(r)
}

func (d *Dispatcher) refuse(j *job, reason encoder.Reason) error {
	return d.respond(j, encoder.Response{Outcome: encoder.NotRun, Reason: reason})
}

func (d *Dispatcher) serve(ctx context.Context, j *job) error {
	if reason := d.verify(j); reason != encoder.NoReason {
		return d.refuse(j, reason)
	}
	if d.backend.lost.Load() || d.abandoned.Err() != nil {
		return d.refuse(j, encoder.BackendLost)
	}
	if j.head.Keyed {
		granted, reason := d.enter(j.head.Service, j.head.At)
		if reason != encoder.NoReason {
			return d.refuse(j, reason)
		}
		j.grant = granted
		defer granted.release()
		if d.observe != nil {
			d.observe(j.head.At)
		}
	}
	if j.head.IdempotencyKey != "" {
		return d.serveOnce(ctx, j)
	}
	return d.admitAndRun(ctx, j, j.sink, nil)
}

func (d *Dispatcher) arrival(j *job, alone bool) admitter.Arrive {
	return admitter.Arrive{
		Rank: j.head.Rank, Deadline: timer.Now() + time.Until(j.deadline), Nested: j.head.Nested, Exclusive: alone,
	}
}

// admitAndRun waits for a slot and runs the request. The settle function, if any, is told how the request ended before
// its answer goes out.
func (d *Dispatcher) admitAndRun(ctx context.Context, j *job, sink Sink, settle func(ending)) error {
	if settle == nil {
		settle = func(ending) {}
	}
	fingerprint := fingerprintOf(j.head)
	verdict := d.suspects.verdict(fingerprint, j.head.Crashes)
	if verdict == quarantiner.Refuse {
		settle(ending{})
		return d.refuse(j, encoder.Poison)
	}
	release, refusal := d.gate.admit(ctx, d.arrival(j, verdict == quarantiner.RunAlone))
	if refusal != nil {
		settle(ending{})
		if j.head.IdempotencyKey == "" && time.Now().After(j.deadline) {
			refusal.Reason = encoder.DeadlineExceeded
		}
		return d.respond(j, *refusal)
	}
	// The bound on the request's time counts from before the lease check. A process that is frozen between the check and
	// the call would otherwise send the request after a successor has waited that time out.
	ctx, cancel := context.WithTimeout(ctx, d.maxRequest(j.head.Service))
	defer cancel()
	defer context.AfterFunc(d.abandoned, cancel)()
	// The lease may have lapsed and the range may have moved while the request waited.
	if j.head.Keyed {
		if reason := d.recheck(j); reason != encoder.NoReason {
			release(false)
			settle(ending{})
			return d.refuse(j, reason)
		}
	}
	return d.run(ctx, j, sink, settle, fingerprint, release)
}
