package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

const copyBufferSize = 32 << 10

// copyBuffers pools buffers, because two new ones per request were most of its allocated memory.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// runResult is the result of a request, for its idempotency row.
type runResult struct {
	// dispatched means that the backend server may have run the request.
	dispatched bool
	// completed means that the whole response was read.
	completed bool
	status    int
	header    map[string][]string
	body      []byte
}

// run sends an admitted request to the backend server and relays the response.
func (d *Dispatcher) run(ctx context.Context, j *job, sink Sink, settle func(runResult), fingerprint uint64, release func(bool)) error {
	token := d.parents.add(Parent{Rank: j.head.Rank, Deadline: j.deadline})
	defer d.parents.remove(token)
	running := d.suspects.Start(fingerprint)
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	x := d.backend.call(ctx, address, j.head, j.grant.assignment, token, j.body)
	if x.err != nil {
		return d.handleFailedCall(ctx, j, x, settle, running, release)
	}
	defer x.response.Body.Close()
	if x.response.StatusCode == http.StatusConflict && x.response.Header.Get(HeaderFenced) != "" {
		return d.handleFenced(j, x.provesNotRun(token), settle, running, release)
	}
	err := d.relay(j, sink, x.response, settle)
	d.finishRun(running)
	release(err == nil)
	return err
}

// HeaderFenced marks a backend server's refusal of an old epoch. The value FencedNotRun means that the request was not
// run; with any other value, it may have been run.
const (
	HeaderFenced = "Hibiscus-Fenced"
	FencedNotRun = "before"
)

// handleFenced handles a backend server's refusal of an old epoch.
func (d *Dispatcher) handleFenced(j *job, notRun bool, settle func(runResult), r quarantiner.Running, release func(bool)) error {
	d.suspects.Cancel(r)
	release(false)
	if notRun {
		settle(runResult{})
		return d.refuse(j, encoder.FencedOff)
	}
	settle(runResult{dispatched: true})
	return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.FencedOff})
}

// finishRun records a completed request and reports the suspects that it clears.
func (d *Dispatcher) finishRun(r quarantiner.Running) {
	cleared := d.suspects.Finish(timer.Now(), r)
	if len(cleared) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		d.config.ReportSuspects(ctx, applier.Suspect{Member: d.config.Self(), Cleared: cleared})
	}()
}

// maxRequest returns the maximum time that a request of a service may run.
func (d *Dispatcher) maxRequest(service string) time.Duration {
	var bound time.Duration
	d.config.State.View(func(s *applier.State) { bound = s.Configuration.Services[service].MaxRequestTime.Value() })
	return bound
}

// handleFailedCall handles a call without a response: the server crashed, the connection broke, or the deadline passed.
func (d *Dispatcher) handleFailedCall(ctx context.Context, j *job, x callResult, settle func(runResult), r quarantiner.Running, release func(bool)) error {
	defer release(false)
	if d.abandoned.Err() != nil {
		d.suspects.Cancel(r)
		settle(runResult{dispatched: x.connected})
		if !x.connected {
			return d.refuse(j, encoder.BackendLost)
		}
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.BackendLost})
	}
	if x.malformed {
		d.suspects.Cancel(r)
		settle(runResult{})
		return d.refuse(j, encoder.BadRequest)
	}
	if ctx.Err() != nil {
		d.suspects.Cancel(r)
		settle(runResult{dispatched: x.connected})
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
		d.suspects.Cancel(r)
		if refused {
			d.backend.lost.Store(true)
		}
		settle(runResult{})
		return d.refuse(j, encoder.BackendLost)
	}
	settle(runResult{dispatched: true})
	reason := encoder.BackendFailed
	if refused {
		reason = encoder.ServerCrashed
		d.handleCrash(ctx, r)
	} else {
		d.suspects.Cancel(r)
	}
	return d.respond(j, encoder.Response{
		Outcome: encoder.Unknown, Reason: reason, Crashes: d.suspects.Marks(r.Fingerprint),
	})
}

// relay passes on a backend server's response. A non-repeatable request is settled before the end of its response is
// sent, so that a caller that has the whole response can rely on the stored outcome.
func (d *Dispatcher) relay(j *job, sink Sink, r *http.Response, settle func(runResult)) error {
	if j.head.Keyed && timer.Now() >= d.config.Lease.ValidUntil() {
		settle(runResult{dispatched: true})
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.NoLease})
	}
	d.lastResponse.Store(int64(timer.Now()))
	j.outcome = encoder.Answered
	length := r.ContentLength
	if j.head.Method == http.MethodHead {
		// The Content-Length header of a response to HEAD is the size of a body that isn't sent.
		length = 0
	}
	err := sink.Respond(encoder.Response{
		Outcome: encoder.Answered, Status: r.StatusCode, Header: r.Header, Length: length,
		Load: d.admission.load(), Applied: d.config.State.Applied(),
	})
	kept, readErr, writeErr := copyAndKeep(sink, r.Body, d.maxKeptBody(j), err)
	settle(runResult{dispatched: true, completed: readErr == nil, status: r.StatusCode, header: r.Header, body: kept})
	if readErr != nil {
		return readErr
	}
	return writeErr
}

func (d *Dispatcher) maxKeptBody(j *job) int {
	if j.head.IdempotencyKey == "" {
		return 0
	}
	return maxOutcomeBody
}

// copyAndKeep copies a body and returns its first limit bytes, or limit+1 bytes if it is longer. When the caller is
// gone, a body with a limit above zero is still read to its end, so that the outcome is known when the request is sent
// again.
func copyAndKeep(w io.Writer, body io.Reader, limit int, writeErr error) (kept []byte, read, write error) {
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
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
