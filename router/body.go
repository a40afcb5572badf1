package router

import (
	"bytes"
	"io"
	"sync"
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
	if r.generation != b.generation {
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
