package deduper

import (
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// ErrFull means that a store has reached its limit of rows. The owner must not rely on this guardian when it
// dispatches the request.
var ErrFull = errors.New("store of idempotency rows is full")

// Store holds the rows that a guardian keeps for other owners.
type Store struct {
	usage  usage
	owners map[applier.MemberID]*ownerRows
}

type ownerRows struct {
	rows     rowSet
	complete bool
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{usage: usage{limits: limits.withDefaults()}, owners: map[applier.MemberID]*ownerRows{}}
}

// Len returns the number of rows.
func (s *Store) Len() int { return s.usage.rows }

// owner returns the rows of an owner, which it creates if necessary.
func (s *Store) owner(id applier.MemberID) *ownerRows {
	if s.owners[id] == nil {
		s.owners[id] = &ownerRows{rows: newRowSet(&s.usage)}
	}
	return s.owners[id]
}

// Record stores rows of an owner. Rows may arrive repeatedly and out of order: a later attempt replaces an earlier
// one, and a greater state replaces a lesser one. It returns ErrFull if a row could not be stored; the other rows
// were.
func (s *Store) Record(now time.Duration, owner applier.MemberID, rows []Row) error {
	o := s.owner(owner)
	var err error
	for _, row := range rows {
		created := now - minElapsed(row.Age)
		row.Age = 0
		e := o.rows.get(row.Ref.ID)
		switch {
		case e == nil && s.usage.full():
			err = ErrFull
		case e == nil:
			o.rows.add(&entry{row: row, created: created})
		case row.Ref.Attempt > e.row.Ref.Attempt:
			o.rows.remove(e)
			o.rows.add(&entry{row: row, created: created})
		case row.Ref.Attempt == e.row.Ref.Attempt:
			e.created = max(e.created, created)
			if row.State > e.row.State {
				e.row.State = row.State
				o.rows.setOutcome(e, row.Outcome)
			}
		}
	}
	return err
}

// SetComplete records whether the store has all rows of an owner. A new guardian is incomplete until the owner
// declares it complete, which requires that the owner has sent all its rows and has no blocks. An owner that imports
// blocks declares its guardians incomplete before it takes the range, because a later take-over would otherwise not
// know of the blocks.
func (s *Store) SetComplete(owner applier.MemberID, complete bool) {
	s.owner(owner).complete = complete
}

// DeleteIntents deletes the intents of attempts that an owner aborted before dispatch.
func (s *Store) DeleteIntents(owner applier.MemberID, refs []AttemptRef) {
	o := s.owners[owner]
	if o == nil {
		return
	}
	for _, ref := range refs {
		// A delayed message must not delete a later attempt.
		if e := o.rows.get(ref.ID); e != nil && e.row.Ref == ref && e.row.State == Intended {
			o.rows.remove(e)
		}
	}
}

// Rows returns the rows of an owner in a range, and whether the store has all rows of that owner.
func (s *Store) Rows(now time.Duration, owner applier.MemberID, service string, r hasher.Range) ([]Row, bool) {
	o := s.owners[owner]
	if o == nil {
		return nil, false
	}
	return o.rows.export(now, service, r), o.complete
}

// RemoveOwner deletes the rows and the state of an owner that left, whose successors have settled, or that has other
// guardians.
func (s *Store) RemoveOwner(owner applier.MemberID) {
	o := s.owners[owner]
	if o == nil {
		return
	}
	o.rows.clear()
	delete(s.owners, owner)
}

// Expire deletes rows that are at least as old as the idempotency window of their service.
func (s *Store) Expire(now time.Duration, window func(service string) time.Duration) {
	for _, o := range s.owners {
		o.rows.expire(now, window)
	}
}
