package router

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime and drainLimit bound what is read of a body that nobody needs any more, so that the caller's connection
	// can be used again.
	drainTime  = 50 * time.Millisecond
	drainLimit = 256 << 10
)

// replayBody reads a caller's body and keeps its beginning, so that the request can be sent again. It can be replayed
// until more than limit bytes have been read.
type replayBody struct {
	mu     sync.Mutex
	source io.Reader
	limit  int
	kept   bytes.Buffer
	lost   bool
	err    error
	// ended means that nothing more is to be read for an attempt.
	ended atomic.Bool
	// generation counts the attempts; a reader of an earlier attempt gets no more bytes.
	generation int
}

func newReplayBody(source io.Reader, limit int) *replayBody {
	return &replayBody{source: source, limit: limit}
}

// reader returns a reader of the whole body for a new attempt and ends the readers of earlier ones. It reports false when
// the beginning of the body is no longer kept.
func (b *replayBody) reader() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
	return &replayReader{body: b, generation: b.generation}, !b.lost
}

// whole reports whether the body was read to its end.
func (b *replayBody) whole() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// end ends the readers of all attempts, waits for a read that is going on, and reads the rest of a small body. It reports
// whether the body was read to its end. The function sets the deadline of reads from the caller.
//
// It must be called before the handler returns: a later read takes bytes of the connection's next request, and net/http
// ends the connection when it notices.
func (b *replayBody) end(setDeadline func(time.Time)) bool {
	b.ended.Store(true)
	if b.whole() {
		return true
	}
	setDeadline(time.Now().Add(drainTime))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_, b.err = io.CopyN(io.Discard, b.source, drainLimit)
	}
	if b.err != io.EOF {
		// The deadline stays, so that the server doesn't wait for the rest of the body either.
		return false
	}
	setDeadline(time.Time{})
	return true
}

type replayReader struct {
	body       *replayBody
	generation int
	offset     int
}

// Read returns kept bytes first and then new ones from the caller.
func (r *replayReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.generation != b.generation || b.ended.Load() {
		return 0, io.ErrClosedPipe
	}
	if !b.lost && r.offset < b.kept.Len() {
		n := copy(p, b.kept.Bytes()[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	r.offset += n
	if !b.lost && b.kept.Len()+n <= b.limit {
		b.kept.Write(p[:n])
	} else if n > 0 {
		b.lost = true
		b.kept = bytes.Buffer{}
	}
	return n, err
}
