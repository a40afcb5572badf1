package router

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
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
	// generation counts the attempts; a reader of an earlier attempt gets no more bytes.
	generation int
	ended      atomic.Bool
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

// Bounds of the rest of a body that is read when an answer came before the end of the body.
const (
	endGrace = 50 * time.Millisecond
	endBytes = 256 << 10
)

// end makes sure that the caller's body is not read any more and reads a short rest of it. It reports whether the body has
// ended, so that the connection can carry another request. Interrupt must end a read in progress.
//
// An attempt sends the body in its own goroutine and may be refused before that has read it all. In full duplex mode
// net/http doesn't read the rest before it answers. When it reads the rest after the handler has returned, it panics with
// "invalid concurrent Body.Read call" on the caller's next request and closes the connection.
func (b *replayBody) end(interrupt func()) bool {
	b.ended.Store(true)
	done := make(chan struct{})
	timer := time.AfterFunc(endGrace, func() {
		defer close(done)
		interrupt()
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_, b.err = io.CopyN(io.Discard, b.source, endBytes)
	}
	if !timer.Stop() {
		<-done
	}
	return b.err == io.EOF
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
