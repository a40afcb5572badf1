package sidecar

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Limits of the log.
const (
	// logBuffer is the number of bytes that may wait to be written. Further lines are dropped and counted.
	logBuffer = 256 << 10
	// logInterval is the time over which lines are batched into one write.
	logInterval = 100 * time.Millisecond
)

// asyncWriter buffers lines and writes them in the background, so that logging never blocks a request.
type asyncWriter struct {
	out            io.Writer
	dropped        atomic.Uint64
	mu             sync.Mutex
	buffer         bytes.Buffer
	flushScheduled bool
}

func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > logBuffer {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer.Write(line)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(logInterval, w.flush)
	}
	return len(line), nil
}

// flush writes the buffered lines. They are lost if the write fails, since there is nowhere else to report it.
func (w *asyncWriter) flush() {
	w.mu.Lock()
	data := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.flushScheduled = false
	w.mu.Unlock()
	_, _ = w.out.Write(data)
}

func newLogger(w *asyncWriter, member string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "process", member)
}
