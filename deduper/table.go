package deduper

import (
	"slices"
	"time"

	"hibiscusline/hasher"
)

// Block is a range whose rows may be incomplete, with the time until every missing row would have expired.
type Block struct {
	Service   string        `cbor:"1,keyasint"`
	Range     hasher.Range  `cbor:"2,keyasint"`
	Remaining time.Duration `cbor:"3,keyasint"`
}

type blockedRange struct {
	service  string
	keyRange hasher.Range
	until    time.Duration
}

// Table holds the rows of the ranges that a process owns, and their blocks.
type Table struct {
	rows    rowSet
	blocks  []blockedRange
	attempt uint64
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{rows: newRowSet(&usage{limits: limits.withDefaults()})}
}

// Len returns the number of rows.
func (t *Table) Len() int { return t.rows.usage.rows }

// Begin returns how to handle a request, and records an intent if the verdict is Fresh. The argument request is its
// RequestHash.
func (t *Table) Begin(now time.Duration, id ID, request uint64) Verdict {
	if e := t.rows.get(id); e != nil {
		return e.verdict(request)
	}
	if until, blocked := t.blockedUntil(now, id); blocked {
		return Blocked{Until: until}
	}
	if t.rows.usage.full() {
		return Full{}
	}
	e := &entry{row: Row{Ref: AttemptRef{ID: id, Attempt: t.nextAttempt()}, Request: request}, created: now, running: true}
	t.rows.add(e)
	return Fresh{Row: e.row}
}

func (e *entry) verdict(request uint64) Verdict {
	switch {
	case e.row.Request != request:
		return Mismatch{}
	case e.row.State == Completed:
		return Replay{Outcome: e.row.Outcome}
	case e.running:
		return InProgress{Ref: e.row.Ref}
	}
	return OutcomeUnknown{}
}

func (t *Table) nextAttempt() uint64 {
	t.attempt++
	return t.attempt
}

func (t *Table) blockedUntil(now time.Duration, id ID) (time.Duration, bool) {
	until := now
	for _, b := range t.blocks {
		if b.service == id.Service && b.keyRange.Contains(id.Position) {
			until = max(until, b.until)
		}
	}
	return until, until > now
}

// entryOf returns the entry of an attempt, or nil if its row has since expired, moved away or been replaced.
func (t *Table) entryOf(ref AttemptRef) *entry {
	if e := t.rows.get(ref.ID); e != nil && e.row.Ref == ref {
		return e
	}
	return nil
}

// Abort deletes the row of a request that was refused before dispatch, so that it may be sent again. It reports
// whether there was one; the intent may then be deleted at the guardians (Store.DeleteIntents).
func (t *Table) Abort(ref AttemptRef) bool {
	e := t.entryOf(ref)
	if e == nil || !e.running {
		return false
	}
	t.rows.remove(e)
	return true
}

// Complete records an outcome and returns the row to send to the guardians. It returns false if the row no longer
// exists or already has an outcome, which is not replaced.
func (t *Table) Complete(now time.Duration, ref AttemptRef, outcome Outcome) (Row, bool) {
	e := t.entryOf(ref)
	if e == nil || e.row.State == Completed {
		return Row{}, false
	}
	e.running, e.row.State = false, Completed
	t.rows.setOutcome(e, outcome)
	return e.rowAt(now), true
}

// Fail records that a dispatched request ended without an outcome, and returns the row to send to the guardians. It
// returns false if the row no longer exists or its request isn't running.
func (t *Table) Fail(now time.Duration, ref AttemptRef) (Row, bool) {
	e := t.entryOf(ref)
	if e == nil || !e.running {
		return Row{}, false
	}
	e.running, e.row.State = false, Unknown
	return e.rowAt(now), true
}

func (e *entry) rowAt(now time.Duration) Row {
	row := e.row
	row.Age = max(0, now-e.created)
	return row
}

// Block refuses requests of a range that have no row until Remaining has passed on the clock of every process. After a
// take-over with a missing guardian, Remaining is the idempotency window of the service; after a planned move, it
// comes from Blocks.
func (t *Table) Block(now time.Duration, b Block) {
	t.blocks = append(t.blocks, blockedRange{
		service: b.Service, keyRange: b.Range, until: now + driftSafeWait(b.Remaining),
	})
}

// Unblock removes the blocks that lie entirely in a range. It is for use when every missing row has been imported.
func (t *Table) Unblock(service string, r hasher.Range) {
	t.blocks = slices.DeleteFunc(t.blocks, func(b blockedRange) bool {
		return b.service == service && r.Contains(b.keyRange.Low) && r.Contains(b.keyRange.High)
	})
}

// Blocks returns the blocked parts of a range. In a planned move they are sent to the new owner with the rows.
func (t *Table) Blocks(now time.Duration, service string, r hasher.Range) []Block {
	var blocks []Block
	for _, b := range t.blocks {
		part := hasher.Range{Low: max(b.keyRange.Low, r.Low), High: min(b.keyRange.High, r.High)}
		if b.service == service && part.Low <= part.High && b.until > now {
			blocks = append(blocks, Block{Service: service, Range: part, Remaining: b.until - now})
		}
	}
	return blocks
}

// Import adds rows of another process. A row with an outcome replaces one without. An intent that isn't running
// here becomes an unknown outcome, because the other process may have dispatched the request. Imported rows are never
// rejected: a table that exceeds its limit of rows returns Full for new requests.
func (t *Table) Import(now time.Duration, rows []Row) {
	for _, row := range rows {
		row.State = max(row.State, Unknown)
		created := now - minElapsed(row.Age)
		e := t.rows.get(row.Ref.ID)
		if e == nil {
			row.Ref.Attempt, row.Age = t.nextAttempt(), 0
			t.rows.add(&entry{row: row, created: created})
			continue
		}
		e.created = max(e.created, created)
		if row.State == Completed && e.row.State != Completed {
			e.running, e.row.State, e.row.Request = false, Completed, row.Request
			t.rows.setOutcome(e, row.Outcome)
		}
	}
}

// Export returns the rows of a range in ascending order of position and key.
func (t *Table) Export(now time.Duration, service string, r hasher.Range) []Row {
	return t.rows.export(now, service, r)
}

// RemoveRange deletes the rows and blocks of a range that moved to another owner. Rows of running requests stay.
func (t *Table) RemoveRange(service string, r hasher.Range) {
	for _, e := range t.rows.entriesOf(service, r) {
		if !e.running {
			t.rows.remove(e)
		}
	}
	t.Unblock(service, r)
}

// Expire deletes rows that are at least as old as the idempotency window of their service, and blocks that have ended.
func (t *Table) Expire(now time.Duration, window func(service string) time.Duration) {
	t.rows.expire(now, window)
	t.blocks = slices.DeleteFunc(t.blocks, func(b blockedRange) bool { return b.until <= now })
}
