package demonstrator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// progress prints events, and on a terminal also a last line that is rewritten.
type progress struct {
	mu       sync.Mutex
	writer   io.Writer
	terminal bool
	began    time.Time
	length   time.Duration
	stop     chan struct{}
	done     sync.WaitGroup
}

func newProgress(c Config) *progress {
	p := &progress{writer: c.Progress, terminal: c.Terminal, began: time.Now(), length: c.Duration, stop: make(chan struct{})}
	if p.writer == nil {
		p.writer = io.Discard
	}
	return p
}

const clearLine = "\r\x1b[K"

// say prints an event of a user's fleet.
func (p *progress) say(user, format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		p.print(clearLine)
	}
	p.print("%5.1fs  %-12s %s\n", time.Since(p.began).Seconds(), user, fmt.Sprintf(format, values...))
}

// print ignores errors: progress that can't be shown must not end the demonstration.
func (p *progress) print(format string, values ...any) {
	_, _ = fmt.Fprintf(p.writer, format, values...)
}

// follow shows the running totals on a terminal until close.
func (p *progress) follow(stages []*stage) {
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
				runs := 0
				for _, s := range stages {
					runs += s.fleet.Ledger.Len()
				}
				p.mu.Lock()
				p.print(clearLine+"load %s of %s, %d requests run", min(time.Since(began), p.length).Round(interval), p.length, runs)
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
