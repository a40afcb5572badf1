package deduper

import "time"

// Verdict is the answer to Table.Begin. The types of this package that implement it are the only ones.
type Verdict interface{ verdict() }

// Fresh means that the row was recorded. It must reach the guardians before the request is dispatched; every Fresh row
// must end in Complete, Fail or Abort.
type Fresh struct{ Row Row }

// Replay carries the outcome of the first request with the same key.
type Replay struct{ Outcome Outcome }

// InProgress means that a request with the same key is running here; its outcome may be waited for.
type InProgress struct{ Ref AttemptRef }

// OutcomeUnknown means that a request with the same key may have run. It never runs again within the window.
type OutcomeUnknown struct{}

// Mismatch means that the key was used for another request.
type Mismatch struct{}

// Blocked means that the row may be missing here until the given local time. The request was not run.
type Blocked struct{ Until time.Duration }

// Full means that no further row can be kept. The request was not run.
type Full struct{}

func (Fresh) verdict()          {}
func (Replay) verdict()         {}
func (InProgress) verdict()     {}
func (OutcomeUnknown) verdict() {}
func (Mismatch) verdict()       {}
func (Blocked) verdict()        {}
func (Full) verdict()           {}
