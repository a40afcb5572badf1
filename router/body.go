package router

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTimeout and drainLimit bound the draining of a body that is no longer needed, so that the caller's
	// connection can be reused.
	drainTimeout = 50 * time.Millisecond
	drainLimit   = 256 << 10
)

// replayBody reads a caller's body and buffers its beginning, so that the request can be sent again. It can be
// replayed until more than limit bytes have been read.
type replayBody struct {
	mu         sync.Mutex
	source     io.Reader
	limit      int
	buffered   bytes.Buffer
	overflowed bool
	err        error
	// finished means that no attempt may read any further.
	finished atomic.Bool
	// generation counts the attempts; readers of earlier attempts get no more bytes.
	generation int
}

func newReplayBody(source io.Reader, limit int) *replayBody {
	return &replayBody{source: source, limit: limit}
}

// reader returns a reader of the whole body for a new attempt and invalidates the readers of earlier attempts. It
// returns false if the beginning of the body is no longer buffered.
func (b *replayBody) reader() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
	return &replayReader{body: b, generation: b.generation}, !b.overflowed
}

// fullyRead reports whether the body was read to its end. It returns false without waiting if a read is in progress.
func (b *replayBody) fullyRead() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// finish invalidates the readers of all attempts, waits for a read in progress, and drains a small body. It reports
// whether the body was read to its end. setDeadline sets the deadline of reads from the caller.
//
// It must be called before the handler returns: a later read would take bytes of the next request on the connection,
// and net/http closes the connection when it notices.
func (b *replayBody) finish(setDeadline func(time.Time)) bool {
	b.finished.Store(true)
	if b.fullyRead() {
		return true
	}
	setDeadline(time.Now().Add(drainTimeout))
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

// Read returns buffered bytes first and then new ones from the caller.
func (r *replayReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.generation != b.generation || b.finished.Load() {
		return 0, io.ErrClosedPipe
	}
	if !b.overflowed && r.offset < b.buffered.Len() {
		n := copy(p, b.buffered.Bytes()[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	r.offset += n
	if !b.overflowed && b.buffered.Len()+n <= b.limit {
		b.buffered.Write(p[:n])
	} else if n > 0 {
		b.overflowed = true
		b.buffered = bytes.Buffer{}
	}
	return n, err
}
