package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

const copyBuffer = 32 << 10

// buffers are shared by requests, since two new ones a request were most of what a request allocated.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// ending says how a request ended, for its idempotency row.
type ending struct {
	// dispatched means that the backend server may have run the request.
	dispatched bool
	// completed means that the whole answer was read.
	completed bool
	status    int
	header    map[string][]string
	body      []byte
}

// run sends an admitted request to the backend server and passes the answer on.
func (d *Dispatcher) run(ctx context.Context, j *job, sink Sink, settle func(ending), fingerprint uint64, release func(bool)) error {
	token := d.parents.add(Parent{Rank: j.head.Rank, Deadline: j.deadline})
	defer d.parents.remove(token)
	running := d.suspects.start(fingerprint)
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	x := d.backend.call(ctx, address, j.head, j.grant.assignment, token, j.body)
	if x.err != nil {
		return d.failed(ctx, j, x, settle, running, release)
	}
	defer x.response.Body.Close()
	if fenced := x.response.Header.Get(HeaderFenced); x.response.StatusCode == http.StatusConflict && fenced != "" {
		return d.fenced(j, fenced, settle, running, release)
	}
	err := d.relay(j, sink, x.response, settle)
	d.finish(running)
	release(err == nil)
	return err
}

// HeaderFenced marks a backend server's refusal of an old epoch. FencedNotRun says that the request was not run; any other
// value means that it may have been.
const (
	HeaderFenced = "Hibiscus-Fenced"
	FencedNotRun = "before"
)

func (d *Dispatcher) fenced(j *job, when string, settle func(ending), r running, release func(bool)) error {
	d.suspects.cancel(r)
	release(false)
	if when == FencedNotRun {
		settle(ending{})
		return d.refuse(j, encoder.FencedOff)
	}
	settle(ending{dispatched: true})
	return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.FencedOff})
}

func (d *Dispatcher) finish(r running) {
	cleared := d.suspects.finish(r)
	if len(cleared) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		d.config.ReportSuspects(ctx, applier.Suspect{Member: d.config.Self(), Cleared: cleared})
	}()
}

func (d *Dispatcher) maxRequest(service string) time.Duration {
	var bound time.Duration
	d.config.State.View(func(s *applier.State) { bound = s.Configuration.Services[service].MaxRequest.Value() })
	return bound
}

// failed handles a call without an answer: the server crashed, the connection broke, or the time ran out.
func (d *Dispatcher) failed(ctx context.Context, j *job, x exchange, settle func(ending), r running, release func(bool)) error {
	defer release(false)
	if d.abandoned.Err() != nil {
		d.suspects.cancel(r)
		settle(ending{dispatched: x.connected})
		if !x.connected {
			return d.refuse(j, encoder.BackendLost)
		}
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.BackendLost})
	}
	if x.malformed {
		d.suspects.cancel(r)
		settle(ending{})
		return d.refuse(j, encoder.BadRequest)
	}
	if ctx.Err() != nil {
		d.suspects.cancel(r)
		settle(ending{dispatched: x.connected})
		if !x.connected {
			return d.refuse(j, encoder.DeadlineExceeded)
		}
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.DeadlineExceeded})
	}
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	refused := d.backend.refusesConnections(address)
	if !x.connected {
		d.suspects.cancel(r)
		if refused {
			d.backend.lost.Store(true)
		}
		settle(ending{})
		return d.refuse(j, encoder.BackendLost)
	}
	settle(ending{dispatched: true})
	reason := encoder.BackendFailed
	if refused {
		reason = encoder.ServerCrashed
		d.crashed(ctx, r)
	} else {
		d.suspects.cancel(r)
	}
	return d.respond(j, encoder.Response{
		Outcome: encoder.Unknown, Reason: reason, Crashes: d.suspects.marks(r.fingerprint),
	})
}

// relay passes a backend server's answer on. The answer to a non-repeatable request is settled before its last part goes
// out, so that a caller that has it can rely on the stored outcome.
func (d *Dispatcher) relay(j *job, sink Sink, r *http.Response, settle func(ending)) error {
	if j.head.Keyed && timer.Now() >= d.config.Lease.ValidUntil() {
		settle(ending{dispatched: true})
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.NoLease})
	}
	d.lastAnswer.Store(int64(timer.Now()))
	j.outcome = encoder.Answered
	length := r.ContentLength
	if j.head.Method == http.MethodHead {
		// The Content-Length header of an answer to HEAD tells the size of a body that isn't sent.
		length = 0
	}
	err := sink.Respond(encoder.Response{
		Outcome: encoder.Answered, Status: r.StatusCode, Header: r.Header, Length: length,
		Load: d.gate.load(), Applied: d.config.State.Applied(),
	})
	kept, readErr, writeErr := copyKeeping(sink, r.Body, d.keptBytes(j), err)
	settle(ending{dispatched: true, completed: readErr == nil, status: r.StatusCode, header: r.Header, body: kept})
	if readErr != nil {
		return readErr
	}
	return writeErr
}

func (d *Dispatcher) keptBytes(j *job) int {
	if j.head.IdempotencyKey == "" {
		return 0
	}
	return maxOutcomeBody
}

// copyKeeping copies a body and returns its first bytes, one more than limit when it is longer. When the caller is gone, a
// body that is to be kept is still read to its end, so that the outcome is known when the request is sent again.
func copyKeeping(w io.Writer, body io.Reader, limit int, writeErr error) (kept []byte, read, write error) {
	pooled := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if limit > 0 && len(kept) <= limit {
			kept = append(kept, buffer[:min(n, limit+1-len(kept))]...)
		}
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buffer[:n])
		}
		if err == io.EOF {
			return kept, nil, writeErr
		}
		if err != nil || writeErr != nil && limit == 0 {
			return kept, err, writeErr
		}
	}
}
