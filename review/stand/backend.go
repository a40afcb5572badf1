//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const slots = 12

// row is a range of keys that a server holds until a time.
type row struct {
	first, last, fence uint64
	until              time.Time
}

// work is a request on a key that a server works on.
type work struct{ key, fence uint64 }

// execution is a request that a server began to run.
type execution struct {
	id, path, caller string
	at               time.Time
}

// backend is one lifetime of a backend server.
type backend struct {
	n     *node
	id    string
	born  int64
	keyed bool
	// serviceTime returns how long a request runs. crashes reports whether a request crashes the server.
	serviceTime func(path string) time.Duration
	crashes     func(path string) bool
	http        *http.Server
	stop        context.CancelFunc
	stopped     context.Context
	beatNow     chan struct{}

	mu         sync.Mutex
	seq        uint64
	state      string
	silent     bool
	holds      []row
	freed      [][3]any
	working    map[*work]struct{}
	executions []execution
	active     int
	ended      bool
}

var keyedServices = map[string]bool{"catalogue": true}

var bornCount struct {
	sync.Mutex
	n int
}

// startBackend starts a new lifetime of the server beside the node.
func (n *node) startBackend() *backend {
	bornCount.Lock()
	bornCount.n++
	id := fmt.Sprintf("i-%s-%d", n.name, bornCount.n)
	bornCount.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{
		n: n, id: id, born: time.Now().UnixMilli(), keyed: keyedServices[n.service], state: "ready", stop: cancel, stopped: ctx,
		serviceTime: func(string) time.Duration { return 20 * time.Millisecond },
		crashes:     func(string) bool { return false },
		beatNow:     make(chan struct{}, 1), working: map[*work]struct{}{},
	}
	if old := n.backend(); old != nil {
		b.serviceTime, b.crashes = old.serviceTime, old.crashes
	}
	n.mu.Lock()
	n.server = b
	n.mu.Unlock()
	n.w.logf("%s: server %s starts", n.name, id)
	l, err := net.Listen("tcp", n.app.String())
	if err != nil {
		n.w.logf("%s: %v", n.name, err)
		return b
	}
	b.http = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.http.Serve(l) }()
	go b.heartbeats()
	return b
}

// crash ends the lifetime at once: the address refuses connections, and open ones end.
func (b *backend) crash() {
	b.mu.Lock()
	was := b.ended
	b.ended, b.holds = true, nil
	b.mu.Unlock()
	if was {
		return
	}
	b.stop()
	if b.http != nil {
		_ = b.http.Close()
	}
	b.n.w.logf("%s: server %s ended", b.n.name, b.id)
}

func (b *backend) heartbeats() {
	for b.stopped.Err() == nil {
		// The reports come about every beat.
		pause := time.Duration(float64(beat) * (0.9 + 0.2*rand.Float64()))
		if b.isSilent() {
			pause = 20 * time.Millisecond
		} else if b.sendBeat() {
			pause = 80 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-b.beatNow:
		case <-b.stopped.Done():
		}
	}
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

// beatBody returns the next liveness report.
func (b *backend) beatBody() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	b.seq++
	body := map[string]any{
		"address": b.n.app.String(), "born": b.born,
		"info":   map[string]any{"service": b.n.service, "zone": b.n.zone, "slots": slots, "version": "v1"},
		"status": map[string]any{"state": b.state, "seq": b.seq, "cold_left": "0ms"},
	}
	if b.keyed {
		rows := [][3]uint64{}
		for _, h := range b.holds {
			rows = append(rows, [3]uint64{h.first, h.last, h.fence})
		}
		for w := range b.working {
			if !b.holdsKey(w.key) {
				rows = append(rows, [3]uint64{w.key, w.key, w.fence})
			}
		}
		body["holds"], body["freed"] = rows, b.freed
	}
	return body
}

// sendBeat sends a liveness report. It reports whether the next one must follow within 100 ms.
func (b *backend) sendBeat() bool {
	sent := time.Now()
	data, status := postBeat(b, b.id, b.beatBody())
	if status != http.StatusOK || time.Since(sent) > time.Second {
		return false
	}
	return b.applyAnswer(data, sent)
}

// postBeat posts a liveness report to the node.
func postBeat(b *backend, id string, body any) ([]byte, int) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, 0
	}
	return b.post("/Instances.Heartbeat/"+id, data)
}

func (b *backend) post(path string, data []byte) ([]byte, int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", b.n.control, path), bytes.NewReader(data))
	if err != nil {
		return nil, 0
	}
	q.Header.Set("Content-Type", "application/cbor")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = r.Body.Close() }()
	if data, err = io.ReadAll(r.Body); err != nil || len(data) > 4096 {
		return nil, 0
	}
	return data, r.StatusCode
}

// deregister announces that the server leaves, and returns the status of the ack.
func (b *backend) deregister() int {
	data, err := cbor.Marshal(map[string]any{"born": b.born})
	if err != nil {
		return 0
	}
	_, status := b.post("/Instances.Deregister/"+b.id, data)
	return status
}

func (b *backend) applyAnswer(data []byte, sent time.Time) bool {
	var r struct {
		Holds *[]struct {
			_                  struct{} `cbor:",toarray"`
			First, Last, Fence uint64
			Handover           string
		} `cbor:"holds"`
		HoldTime string `cbor:"hold_time"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return false
	}
	hold, err := time.ParseDuration(r.HoldTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.freed = nil
	if r.Holds == nil || err != nil {
		return false
	}
	before := b.holds
	b.holds = nil
	for _, h := range *r.Holds {
		b.holds = append(b.holds, row{h.First, h.Last, h.Fence, sent.Add(hold)})
	}
	released := false
	for _, h := range before {
		if !b.holdsKey(h.first) {
			b.freed = append(b.freed, [3]any{h.first, h.last, "5c0e7a21d94b36f8"})
			released = true
		}
	}
	for w := range b.working {
		released = released || !b.holdsKey(w.key)
	}
	return released
}

// expire drops the rows whose time has passed. The caller holds mu.
func (b *backend) expire() {
	var kept []row
	for _, h := range b.holds {
		if time.Now().Before(h.until) {
			kept = append(kept, h)
		}
	}
	b.holds = kept
}

// holdsKey reports whether the server holds a key now. The caller holds mu.
func (b *backend) holdsKey(key uint64) bool {
	_, held := b.rowOf(key)
	return held
}

func (b *backend) rowOf(key uint64) (row, bool) {
	for _, h := range b.holds {
		if h.first <= key && key <= h.last && time.Now().Before(h.until) {
			return h, true
		}
	}
	return row{}, false
}

// has reports whether the server is up and holds a key.
func (b *backend) has(key uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && b.holdsKey(key)
}

// worksOn reports whether the server is up and works on a key.
func (b *backend) worksOn(key uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w := range b.working {
		if w.key == key && !b.ended {
			return true
		}
	}
	return false
}

// reports returns the number of liveness reports so far.
func (b *backend) reports() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seq
}

// setServiceTime sets how long each further request runs.
func (b *backend) setServiceTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceTime = func(string) time.Duration { return d }
}

// runs returns the executions so far.
func (b *backend) runs() []execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]execution(nil), b.executions...)
}

func notExecuted(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (b *backend) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Instance-Id", b.id)
	if r.URL.Path == "/health" {
		return
	}
	if id == "" {
		notExecuted(rw, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		notExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	var w *work
	if b.keyed {
		key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
		h, held := b.rowOf(key)
		if err != nil || !held {
			b.mu.Unlock()
			notExecuted(rw, http.StatusMisdirectedRequest)
			return
		}
		w = &work{key, h.fence}
	}
	if b.active >= slots {
		b.mu.Unlock()
		notExecuted(rw, http.StatusServiceUnavailable)
		return
	}
	b.active++
	if w != nil {
		b.working[w] = struct{}{}
	}
	e := execution{id: id, path: r.URL.Path, caller: r.Header.Get("Caller-Service"), at: time.Now()}
	b.executions = append(b.executions, e)
	serviceTime := b.serviceTime(e.path)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.active--
		delete(b.working, w)
	}()
	b.n.w.logf("%s: server %s runs %s %s", b.n.name, b.id, id, e.path)
	if b.crashes(e.path) {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	case <-b.stopped.Done():
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = fmt.Fprintf(rw, "answer of %s to %s", b.id, id)
}
