package dispatcher

import (
	"bytes"
	"context"
	"sync"
	"time"

	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

const (
	// maxOutcomeBody is the largest body that is kept with an outcome, in bytes.
	maxOutcomeBody = 16 << 10
	// recordTimeout bounds the wait for the guardians' acknowledgement of an intent.
	recordTimeout = 500 * time.Millisecond
)

// rows shares the table of idempotency rows between requests.
type rows struct {
	mu      sync.Mutex
	table   *deduper.Table
	settled chan struct{}
}

func newRows() rows {
	return rows{table: deduper.NewTable(deduper.Limits{}), settled: make(chan struct{})}
}

// Rows calls a function with the table of idempotency rows, which must not be kept.
func (d *Dispatcher) Rows(use func(*deduper.Table)) {
	d.rows.mu.Lock()
	defer d.rows.mu.Unlock()
	use(d.rows.table)
}

// serveOnce runs a non-repeatable request unless a request with its key ran before.
func (d *Dispatcher) serveOnce(ctx context.Context, j *job) error {
	if a := j.grant.assignment; len(a.Lineage) > 0 && !d.config.Fetched(a.Epoch) {
		return d.refuse(j, encoder.RowsPending)
	}
	id := deduper.ID{Service: j.head.Service, Position: j.head.At, Key: j.head.IdempotencyKey}
	hash := deduper.RequestHash(j.head.Method, j.head.Path, j.head.Key)
	for {
		d.rows.mu.Lock()
		verdict := d.rows.table.Begin(timer.Now(), id, hash)
		settled := d.rows.settled
		d.rows.mu.Unlock()
		switch v := verdict.(type) {
		case deduper.Fresh:
			return d.serveFresh(ctx, j, v.Row)
		case deduper.Replay:
			return d.replay(j, v.Outcome)
		case deduper.InProgress:
			select {
			case <-settled:
				continue
			case <-ctx.Done():
				return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.OutcomeUnknown})
			}
		case deduper.OutcomeUnknown:
			return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.OutcomeUnknown})
		case deduper.Mismatch:
			return d.refuse(j, encoder.KeyReused)
		case deduper.Blocked:
			return d.respond(j, encoder.Response{
				Outcome: encoder.NotRun, Reason: encoder.RowsMissing, RetryAfter: v.Until - timer.Now(),
			})
		case deduper.Full:
			return d.respond(j, encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Overloaded, RetryAfter: time.Second})
		}
	}
}

func (d *Dispatcher) replay(j *job, o deduper.Outcome) error {
	if o.Partial {
		return d.respond(j, encoder.Response{Outcome: encoder.Unknown, Reason: encoder.OutcomeUnknown})
	}
	j.outcome = encoder.Answered
	err := j.sink.Respond(encoder.Response{
		Outcome: encoder.Answered, Status: o.Status, Header: o.Header, Length: int64(len(o.Body)), Replayed: true,
		Load: d.gate.load(), Applied: d.config.State.Applied(),
	})
	if err != nil {
		return err
	}
	_, err = j.sink.Write(o.Body)
	return err
}

// serveFresh records the intent with the guardians and runs the request. A request that would be refused is refused before
// that: in a flood of non-repeatable requests the records of refused ones took more time than all others. The request goes on when its caller leaves, so
// that its outcome is known when the caller sends it again.
func (d *Dispatcher) serveFresh(ctx context.Context, j *job, row deduper.Row) error {
	if refusal := d.gate.preview(d.arrival(j, false)); refusal != nil {
		// The guardians don't know the row and need not forget it.
		d.Rows(func(t *deduper.Table) {
			t.Abort(row.Ref)
			d.wake()
		})
		return d.respond(j, *refusal)
	}
	recordCtx, cancelRecord := context.WithTimeout(ctx, recordTimeout)
	err := d.config.Replicator.Record(recordCtx, row)
	cancelRecord()
	if err != nil {
		d.abort(row.Ref)
		return d.refuse(j, encoder.GuardiansSilent)
	}
	// The body comes from the caller's stream, so only a request whose body has arrived can outlive its caller.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	return d.admitAndRun(detached, j, j.sink, func(e ending) { d.settle(row.Ref, e) })
}

func (d *Dispatcher) abort(ref deduper.AttemptRef) {
	d.Rows(func(t *deduper.Table) {
		if t.Abort(ref) {
			d.config.Replicator.Forget(ref)
		}
		d.wake()
	})
}

// settle ends a row. A request that was refused before dispatch may be sent again with the same key.
func (d *Dispatcher) settle(ref deduper.AttemptRef, e ending) {
	if !e.dispatched {
		d.abort(ref)
		return
	}
	var row deduper.Row
	var changed bool
	d.Rows(func(t *deduper.Table) {
		if e.completed {
			outcome := deduper.Outcome{Status: e.status, Header: e.header, Body: bytes.Clone(e.body)}
			if len(e.body) > maxOutcomeBody {
				outcome = deduper.Outcome{Status: e.status, Partial: true}
			}
			row, changed = t.Complete(timer.Now(), ref, outcome)
		} else {
			row, changed = t.Fail(timer.Now(), ref)
		}
		d.wake()
	})
	if changed {
		d.config.Replicator.Publish(row)
	}
}

// wake lets requests with the same key look again. The lock of the rows must be held.
func (d *Dispatcher) wake() {
	close(d.rows.settled)
	d.rows.settled = make(chan struct{})
}
