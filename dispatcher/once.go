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
	// maxOutcomeBody is the maximum size of a body that is stored with an outcome, in bytes.
	maxOutcomeBody = 16 << 10
	// recordTimeout bounds the wait for the guardians' acknowledgements of an intent.
	recordTimeout = 500 * time.Millisecond
)

// rowTable makes a deduper.Table safe for concurrent use.
type rowTable struct {
	mu      sync.Mutex
	table   *deduper.Table
	settled chan struct{}
}

func newRowTable() rowTable {
	return rowTable{table: deduper.NewTable(deduper.Limits{}), settled: make(chan struct{})}
}

// WithRows calls a function with the table of idempotency rows while its lock is held. The function must not retain the
// table.
func (d *Dispatcher) WithRows(use func(*deduper.Table)) {
	d.rows.mu.Lock()
	defer d.rows.mu.Unlock()
	use(d.rows.table)
}

// serveOnce runs a non-repeatable request unless a request with the same idempotency key has run or is running.
func (d *Dispatcher) serveOnce(ctx context.Context, j *job) error {
	if a := j.grant.assignment; len(a.Lineage) > 0 && !d.config.RowsFetched(a.Epoch) {
		return d.refuse(j, encoder.IdempotencyRowsPending)
	}
	id := deduper.ID{Service: j.head.Service, Position: j.head.Position, Key: j.head.IdempotencyKey}
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
			return d.refuse(j, encoder.IdempotencyKeyReused)
		case deduper.Blocked:
			return d.respond(j, encoder.Response{
				Outcome: encoder.NotRun, Reason: encoder.IdempotencyRowsMissing, RetryAfter: v.Until - timer.Now(),
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
		Load: d.admission.load(), Applied: d.config.State.Applied(),
	})
	if err != nil {
		return err
	}
	_, err = j.sink.Write(o.Body)
	return err
}

// serveFresh stores the intent at the guardians and runs the request. A request that would be refused is refused before
// that, because in a flood of non-repeatable requests the records of refused requests took more time than all others.
// Once sent, the request continues when its caller disconnects, so that its outcome is known when the caller resends it.
func (d *Dispatcher) serveFresh(ctx context.Context, j *job, row deduper.Row) error {
	if refusal := d.admission.preview(d.arrival(j, false)); refusal != nil {
		// The row has not been sent to the guardians, so they need not forget it.
		d.WithRows(func(t *deduper.Table) {
			t.Abort(row.Ref)
			d.notifySettled()
		})
		return d.respond(j, *refusal)
	}
	recordCtx, cancelRecord := context.WithTimeout(ctx, recordTimeout)
	err := d.config.Replicator.Record(recordCtx, row)
	cancelRecord()
	if err != nil {
		d.abort(row.Ref)
		return d.refuse(j, encoder.GuardiansUnreachable)
	}
	j.outlivesCaller = true
	return d.admitAndRun(ctx, j, j.sink, func(r runResult) { d.settle(row.Ref, r) })
}

func (d *Dispatcher) abort(ref deduper.AttemptRef) {
	d.WithRows(func(t *deduper.Table) {
		if t.Abort(ref) {
			d.config.Replicator.DeleteIntent(ref)
		}
		d.notifySettled()
	})
}

// settle stores the result of a request in its row. A request that was refused before dispatch may be sent again with
// the same idempotency key.
func (d *Dispatcher) settle(ref deduper.AttemptRef, r runResult) {
	if !r.dispatched {
		d.abort(ref)
		return
	}
	var row deduper.Row
	var changed bool
	d.WithRows(func(t *deduper.Table) {
		if r.completed {
			outcome := deduper.Outcome{Status: r.status, Header: r.header, Body: bytes.Clone(r.body)}
			if len(r.body) > maxOutcomeBody {
				outcome = deduper.Outcome{Status: r.status, Partial: true}
			}
			row, changed = t.Complete(timer.Now(), ref, outcome)
		} else {
			row, changed = t.Fail(timer.Now(), ref)
		}
		d.notifySettled()
	})
	if changed {
		d.config.Replicator.Publish(row)
	}
}

// notifySettled wakes requests that wait for a row with their idempotency key. The lock of the rows must be held.
func (d *Dispatcher) notifySettled() {
	close(d.rows.settled)
	d.rows.settled = make(chan struct{})
}
