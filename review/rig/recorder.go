package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is a request that a backend server has begun.
type run struct {
	server string
	key    uint64
	at     time.Time
}

// recorder keeps what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	start  time.Time
	counts map[string]int
	runs   map[string][]run
}

func newRecorder(out io.Writer) *recorder {
	return &recorder{out: out, start: time.Now(), counts: map[string]int{}, runs: map[string][]run{}}
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// begin records that a server has begun a request.
func (r *recorder) begin(id string, b *backend, key uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["begun by "+b.id]++
	r.runs[id] = append(r.runs[id], run{server: b.id, key: key, at: at})
}

// begunBetween returns how many requests on keys from first to last a server has begun in a span.
func (r *recorder) begunBetween(server string, keys map[uint64]bool, from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, list := range r.runs {
		for _, x := range list {
			if x.server == server && keys[x.key] && !x.at.Before(from) && !x.at.After(to) {
				n++
			}
		}
	}
	return n
}

// begunAfter returns how many requests, whose ids begin with a text, some server has begun after a time.
func (r *recorder) begunAfter(prefix string, after time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, list := range r.runs {
		if strings.HasPrefix(id, prefix) && slices.ContainsFunc(list, func(x run) bool { return x.at.After(after) }) {
			n++
		}
	}
	return n
}

// begunBy returns how many requests a server has begun from a time on, and the first and the last of these times.
func (r *recorder) begunBy(server string, from time.Time) (n int, first, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.runs {
		for _, x := range list {
			if x.server != server || x.at.Before(from) {
				continue
			}
			if n++; n == 1 || x.at.Before(first) {
				first = x.at
			}
			if x.at.After(last) {
				last = x.at
			}
		}
	}
	return n, first, last
}

// summary writes the counts.
func (r *recorder) summary() {
	for _, what := range slices.Sorted(maps.Keys(r.counts)) {
		r.note("%-40s %d", what, r.counts[what])
	}
}
