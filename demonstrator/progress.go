package demonstrator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// progress prints events. On a terminal it also keeps a last line with running totals up to date.
type progress struct {
	mu        sync.Mutex
	writer    io.Writer
	terminal  bool
	startedAt time.Time
	duration  time.Duration
	stop      chan struct{}
	done      sync.WaitGroup
}

func newProgress(c Config) *progress {
	p := &progress{writer: c.Progress, terminal: c.Terminal, startedAt: time.Now(), duration: c.Duration, stop: make(chan struct{})}
	if p.writer == nil {
		p.writer = io.Discard
	}
	return p
}

const clearLine = "\r\x1b[K"

// printEvent prints an event of a user's fleet.
func (p *progress) printEvent(user, format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		p.print(clearLine)
	}
	p.print("%5.1fs  %-12s %s\n", time.Since(p.startedAt).Seconds(), user, fmt.Sprintf(format, values...))
}

// print ignores errors: progress that can't be shown must not end the demonstration.
func (p *progress) print(format string, values ...any) {
	_, _ = fmt.Fprintf(p.writer, format, values...)
}

// showTotals starts to update the line with the running totals, until close. It does nothing without a terminal.
func (p *progress) showTotals(demos []*userDemo) {
	if !p.terminal {
		return
	}
	const interval = 250 * time.Millisecond
	began := time.Now()
	p.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-ticker.C:
				executed := 0
				for _, d := range demos {
					executed += d.fleet.Ledger.Len()
				}
				p.mu.Lock()
				p.print(clearLine+"load %s of %s, %d requests run", min(time.Since(began), p.duration).Round(interval), p.duration, executed)
				p.mu.Unlock()
			}
		}
	})
}

func (p *progress) close() {
	close(p.stop)
	p.done.Wait()
	if p.terminal {
		p.print(clearLine)
	}
}
