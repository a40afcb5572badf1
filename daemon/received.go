package daemon

import (
	"slices"
	"sync"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// receivedRanges holds the ranges that sources have released to this member, which has owned them since. Their rows are
// here even if the source is lost before the log has the Receive record. The zero value is ready to use.
type receivedRanges struct {
	mu     sync.Mutex
	ranges []receivedRange
}

type receivedRange struct {
	source   applier.MemberID
	keyRange hasher.Range
}

// add adds ranges that a source has released.
func (r *receivedRanges) add(source applier.MemberID, ranges []hasher.Range) {
	for _, added := range ranges {
		r.remove(added)
		r.mu.Lock()
		r.ranges = append(r.ranges, receivedRange{source: source, keyRange: added})
		r.mu.Unlock()
	}
}

// remove removes every range that overlaps one that this member is about to move. The source may own it again later,
// and run requests that aren't known here.
func (r *receivedRanges) remove(moved hasher.Range) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranges = slices.DeleteFunc(r.ranges, func(o receivedRange) bool {
		return o.keyRange.Low <= moved.High && moved.Low <= o.keyRange.High
	})
}

// contains reports whether a source has released a whole range.
func (r *receivedRanges) contains(source applier.MemberID, whole hasher.Range) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.ranges, func(o receivedRange) bool {
		return o.source == source && o.keyRange.Contains(whole.Low) && o.keyRange.Contains(whole.High)
	})
}
