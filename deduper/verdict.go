package deduper

import "time"

// Verdict is the result of Table.Begin. It is implemented only by types of this package.
type Verdict interface{ verdict() }

// Fresh means that an intent was recorded. It must reach the guardians before the request is dispatched, and every
// Fresh row must end in Complete, Fail or Abort.
type Fresh struct{ Row Row }

// Replay holds the outcome of the earlier request with the same key.
type Replay struct{ Outcome Outcome }

// InProgress means that a request with the same key is running in this process; the caller may wait for its outcome.
type InProgress struct{ Ref AttemptRef }

// OutcomeUnknown means that an earlier request with the same key may have run. It doesn't run again within the window.
type OutcomeUnknown struct{}

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

// Blocked means that the row of the key may be missing until the given local time. The request was not run.
type Blocked struct{ Until time.Duration }

// Full means that the table has reached its limit of rows. The request was not run.
type Full struct{}

func (Fresh) verdict()          {}
func (Replay) verdict()         {}
func (InProgress) verdict()     {}
func (OutcomeUnknown) verdict() {}
func (Mismatch) verdict()       {}
func (Blocked) verdict()        {}
func (Full) verdict()           {}
