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
	"hibiscusline/watcher"
)

// Replicator stores idempotency rows at this process's guardians.
type Replicator interface {
	// Record returns when every current guardian of this process has stored the row.
	Record(ctx context.Context, row deduper.Row) error
	// Publish sends a row without waiting for acknowledgement.
	Publish(row deduper.Row)
	// DeleteIntent tells the guardians to delete the intent of an attempt that was refused before it was dispatched.
	DeleteIntent(ref deduper.AttemptRef)
}

// Config configures a Dispatcher.
type Config struct {
	State      *follower.Follower
	Lease      Lease
	Self       func() applier.MemberID
	Replicator Replicator
	// Zone is the availability zone of the backend server.
	Zone string
	// Service is the service of the backend server.
	Service   string
	Admission admitter.Config
	// Connections is the maximum number of connections to the backend server.
	Connections int
	// RowsFetched reports whether this process has the idempotency rows of a range that it took over at an epoch.
	RowsFetched func(epoch applier.Offset) bool
	// Released reports whether the source of a planned move has released the ranges with this epoch.
	Released func(source applier.MemberID, epoch applier.Offset) bool
	// ReportSuspects appends a crash, or suspects that completed, to the log and returns when the record is there.
	ReportSuspects func(ctx context.Context, record applier.Suspect)
	Metrics        *metrics.Set
}

// Dispatcher runs requests on one backend server.
type Dispatcher struct {
	config    Config
	admission *admissionQueue
	backend   *backend
	ownership ownership
	parents   parents
	rows      rowTable
	suspects  *suspects
	observer  func(p hasher.Position)
	// evacuation is the grace of an evacuation of the zone.
	evacuation evacuation

	// abandoned is cancelled when the backend server is abandoned, which cancels the calls to it.
	abandoned    context.Context
	abandonCalls context.CancelFunc
	// lastResponse is the time of the backend server's last response by the clock of package timer.
	lastResponse atomic.Int64

	mu      sync.Mutex
	address netip.AddrPort
}

// Sink receives the response to one request.
type Sink interface {
	// Respond sends the head of the response. It is called once.
	Respond(encoder.Response) error
	// Write sends a part of the body.
	io.Writer
}

// New returns a dispatcher without a backend server.
func New(c Config) *Dispatcher {
	abandoned, abandon := context.WithCancel(context.Background())
	return &Dispatcher{
		abandoned: abandoned, abandonCalls: abandon,
		config: c, admission: newAdmissionQueue(c.Admission), backend: newBackend(c.Connections),
		ownership: ownership{inFlight: map[uint64]hasher.Position{}, waitUntil: map[applier.Offset]time.Duration{}},
		rows:      newRowTable(),
		suspects:  newSuspects(c.Self()),
	}
}

// SetObserver sets a function that is called with the position of every keyed request that has passed the ownership
// check. It must be called before the first request.
func (d *Dispatcher) SetObserver(f func(p hasher.Position)) { d.observer = f }

// SetBackend sets the address of the backend server, its number of slots and the maximum number of connections to it.
// With zero slots, all requests are refused. Slots beyond the number of connections are not used, because their
// requests would wait for a connection.
func (d *Dispatcher) SetBackend(address netip.AddrPort, slots, connections int) {
	d.mu.Lock()
	d.address = address
	d.mu.Unlock()
	if slots > 0 {
		d.backend.lost.Store(false)
	}
	d.admission.apply(admitter.Resize{Slots: min(slots, d.backend.setLimit(connections))})
}

// SetRanks replaces the ranks of the admission.
func (d *Dispatcher) SetRanks(ranks []admitter.Rank) {
	d.admission.apply(admitter.Reconfigure{Ranks: ranks})
}

// Tick makes the admission check the deadlines of queued requests. It must be called every few milliseconds while it
// returns true, which means that requests are queued, and several times a second otherwise.
func (d *Dispatcher) Tick() bool { return d.admission.tick() }

// Queued returns a channel that receives a value when a request is queued.
func (d *Dispatcher) Queued() <-chan struct{} { return d.admission.queued }

// Load returns the load of the backend server as seen by this process.
func (d *Dispatcher) Load() encoder.Load { return d.admission.load() }

// SetOffered sets the offered rate of this process's ranges, in requests/s, that Load reports.
func (d *Dispatcher) SetOffered(rate float64) {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	d.admission.offered = rate
}

// AbandonBackend gives up the backend server: calls to it end with an unknown outcome and new requests are refused.
// Requests that the server has accepted may still run until their deadlines.
func (d *Dispatcher) AbandonBackend() {
	d.backend.lost.Store(true)
	d.abandonCalls()
}

// LastResponse returns the time of the backend server's last response by the clock of package timer, or zero if there
// was none.
func (d *Dispatcher) LastResponse() time.Duration { return time.Duration(d.lastResponse.Load()) }

// InFlight returns the number of keyed requests between their ownership check and their end.
func (d *Dispatcher) InFlight() int {
	d.ownership.mu.Lock()
	defer d.ownership.mu.Unlock()
	return len(d.ownership.inFlight)
}

// Refresh applies the state to the dispatcher: it starts the waiting times after take-overs and the grace of an
// evacuation, so that they count from the moment when the record was applied, and merges the suspects. It must be called after every change of the state.
func (d *Dispatcher) Refresh() {
	waits := map[applier.Offset]time.Duration{}
	d.config.State.View(func(s *applier.State) {
		for _, a := range s.Owned(d.config.Self()) {
			if wait := takeOverWait(s, d.config.Service, a); wait > 0 {
				waits[a.Epoch] = wait
			}
		}
	})
	d.config.State.View(func(s *applier.State) { d.suspects.Merge(timer.Now(), s.Suspects) })
	d.evacuated(true)
	d.ownership.pruneTakeOverWaits(waits)
	for epoch, wait := range waits {
		d.ownership.inTakeOverWait(epoch, wait)
	}
}

// Serve runs one request and sends its response. An error means that the response could not be sent completely, and
// that the caller must see it as truncated.
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

// job is the state of one request in the dispatcher.
type job struct {
	head     encoder.Request
	body     io.Reader
	sink     Sink
	deadline time.Time
	grant    grant
	// ranked means that the request's rank is in the configuration.
	ranked bool
	// outlivesCaller means that the request, once sent, continues when its caller disconnects. Its body is read from the
	// caller's stream, so that takes effect only if the body has arrived.
	outlivesCaller bool
	outcome        encoder.Outcome
	reason         encoder.Reason
}

// respond sends a response without a body.
func (d *Dispatcher) respond(j *job, r encoder.Response) error {
	j.outcome, j.reason = r.Outcome, r.Reason
	r.Load = d.admission.load()
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
	if d.evacuated(j.head.Keyed) {
		return d.refuse(j, encoder.Evacuated)
	}
	if d.backend.lost.Load() || d.abandoned.Err() != nil {
		return d.refuse(j, encoder.BackendLost)
	}
	if j.head.Keyed {
		granted, reason := d.enter(j.head.Service, j.head.Position)
		if reason != encoder.NoReason {
			return d.refuse(j, reason)
		}
		j.grant = granted
		defer granted.release()
		if d.observer != nil {
			d.observer(j.head.Position)
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

// admitAndRun waits for a slot and runs the request. The settle function, if any, is called with the result before the
// end of the response is sent.
func (d *Dispatcher) admitAndRun(ctx context.Context, j *job, sink Sink, settle func(runResult)) error {
	if settle == nil {
		settle = func(runResult) {}
	}
	fingerprint := fingerprintOf(j.head)
	verdict := d.suspects.Verdict(timer.Now(), fingerprint, j.head.Crashes)
	if verdict == quarantiner.Refuse {
		settle(runResult{})
		return d.refuse(j, encoder.Poison)
	}
	release, refusal := d.admission.admit(ctx, d.arrival(j, verdict == quarantiner.RunAlone))
	if refusal != nil {
		settle(runResult{})
		if j.head.IdempotencyKey == "" && time.Now().After(j.deadline) {
			refusal.Reason = encoder.DeadlineExceeded
		}
		return d.respond(j, *refusal)
	}
	if watcher.SenderLeft(ctx) != watcher.NotNoticed {
		release(false)
		settle(runResult{})
		return d.refuse(j, encoder.Cancelled)
	}
	if j.outlivesCaller {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
		defer cancel()
		ctx = detached
	}
	// The maximum request time counts from before the lease check. Otherwise a process that is frozen between the check
	// and the call would send the request after a successor has waited for the end of that time.
	ctx, cancel := context.WithTimeout(ctx, d.maxRequest(j.head.Service))
	defer cancel()
	defer context.AfterFunc(d.abandoned, cancel)()
	// The lease may have lapsed, the range may have moved or the zone been evacuated while the request waited.
	if reason := d.recheck(j); reason != encoder.NoReason {
		release(false)
		settle(runResult{})
		return d.refuse(j, reason)
	}
	return d.run(ctx, j, sink, settle, fingerprint, release)
}
