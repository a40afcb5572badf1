package carrier

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
)

// errLimitReached is the error of a limitedReader. It isn't io.EOF, which would complete a body without a length.
var errLimitReached = errors.New("message too large")

// limitedReader limits the number of bytes read. It records why reading stopped, since the parser may report an
// incomplete line as a malformed one.
type limitedReader struct {
	source       io.Reader
	remaining    int64
	limitReached bool
	timedOut     bool
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.limitReached = true
		return 0, errLimitReached
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	r.timedOut = r.timedOut || errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// Budget bounds the memory that large bodies take together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(bytes int) *Budget { return &Budget{limit: int64(bytes)} }

// reserve takes a number of bytes from the budget, and reports whether they were available. A nil budget is unlimited.
func (b *Budget) reserve(bytes int) bool {
	return b.take(bytes, func(left int64) bool { return left >= 0 })
}

// take takes a number of bytes if a condition holds for what is left then. A nil budget is unlimited. If the condition
// doesn't hold, others see no change.
func (b *Budget) take(bytes int, allowed func(left int64) bool) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if !allowed(b.limit - used - int64(bytes)) {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// fairShare is how many times the bytes that are left of a budget one body may hold. The bodies of a faulty server then
// leave some for others, however many there are.
const fairShare = 4

// reserveFair takes a number of bytes for a body that holds some already, and reports whether they were available. The body
// may hold no more than fairShare times what is left then. A nil budget is unlimited.
func (b *Budget) reserveFair(held, bytes int) bool {
	return b.take(bytes, func(left int64) bool { return int64(held+bytes) <= fairShare*left })
}

// available reports whether a number of bytes could be reserved now. A nil budget is unlimited.
func (b *Budget) available(bytes int) bool { return b == nil || b.used.Load()+int64(bytes) <= b.limit }

func (b *Budget) release(bytes int) {
	if b != nil {
		b.used.Add(-int64(bytes))
	}
}
