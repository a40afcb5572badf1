package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// keyCount is the number of keys of a service.
const keyCount = 1 << 16

// answerTime is how long a backend server waits for the answer to what it says of itself.
const answerTime = time.Second

// hold is a range of keys that a backend server holds until a time.
type hold struct {
	first, last, token uint64
	until              time.Time
}

// backend is a sound backend server of the platform.
type backend struct {
	id, service, zone, address, control string
	born                                int64
	keyed                               bool
	beat, work                          time.Duration
	record                              *recorder

	mu    sync.Mutex
	seq   uint64
	holds []hold
	freed [][3]any
	// seen holds the highest fencing token that was seen for each key.
	seen   [keyCount]uint64
	status map[int]int
	// silent means that the server sends no more reports.
	silent bool
	// poison is the path of requests that crash the server, if it isn't empty, and onCrash is called when one has.
	poison  string
	onCrash func()
	server  *http.Server
	crashed bool
}

func newBackend(b *backend) *backend {
	b.born, b.status = time.Now().UnixMilli(), map[int]int{}
	return b
}

// run serves requests and sends liveness reports until ctx ends.
func (b *backend) run(ctx context.Context) error {
	server := &http.Server{Addr: b.address, Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 5 * time.Second}
	b.mu.Lock()
	b.server = server
	b.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- server.ListenAndServe() }()
	for {
		pause := b.beat
		if b.report(ctx) {
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return server.Close()
		case err := <-done:
			return err
		}
	}
}

// report sends a liveness report. It returns whether keys were released, so that the next one is due early.
func (b *backend) report(ctx context.Context) bool {
	now := time.Now()
	body, silent := b.nextReport(now)
	if silent {
		return false
	}
	status, data := post(ctx, b.control, reportPath+b.id, body)
	b.mu.Lock()
	b.status[status]++
	first := b.status[status] == 1
	b.mu.Unlock()
	if first || status != http.StatusOK {
		b.record.note("report of %s answered with %d", b.id, status)
	}
	if status != http.StatusOK {
		return false
	}
	return b.apply(data, now)
}

// Paths of what a server says of itself. Its id follows.
const (
	reportPath = "/Instances.Heartbeat/"
	leavePath  = "/Instances.Deregister/"
)

// nextReport returns the next liveness report, and whether the server sends none any more.
func (b *backend) nextReport(now time.Time) (map[string]any, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return !now.Before(h.until) })
	b.seq++
	rows := [][3]uint64{}
	for _, h := range b.holds {
		rows = append(rows, [3]uint64{h.first, h.last, h.token})
	}
	return map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "zone": b.zone, "slots": 12, "version": "v1"},
		"status": map[string]any{"state": "ready", "seq": b.seq, "cold_left": "0ms"},
		"holds":  rows, "freed": b.freed,
	}, b.silent
}

// leave announces that the server leaves, without having reported that it drains, and returns the status of the answer. The
// server goes on serving. It sends further reports, in which its state is as before, or none.
func (b *backend) leave(ctx context.Context, reports bool) int {
	b.mu.Lock()
	b.silent = !reports
	b.mu.Unlock()
	status, _ := post(ctx, b.control, leavePath+b.id, map[string]any{"born": b.born})
	return status
}

// apply takes the answer to a report that was sent at a time.
func (b *backend) apply(data []byte, sent time.Time) bool {
	var r struct {
		Holds *[]struct {
			_                  struct{} `cbor:",toarray"`
			First, Last, Token uint64
			Handover           string
		} `cbor:"holds"`
		HoldTime string `cbor:"hold_time"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = nil
	if r.Holds == nil {
		return false
	}
	length, err := time.ParseDuration(r.HoldTime)
	if err != nil {
		return false
	}
	var next []hold
	for _, h := range *r.Holds {
		if row := (hold{h.First, h.Last, h.Token, sent.Add(length)}); b.accepts(row) {
			next = append(next, row)
		}
	}
	released := false
	for _, h := range b.holds {
		if time.Now().Before(h.until) && !covers(next, h) {
			b.freed = append(b.freed, [3]any{h.first, h.last, "5c0e7a21d94b36f8"})
			released = true
		}
	}
	b.holds = next
	return released
}

// accepts reports whether the server takes a row. It doesn't if it has seen a higher token on one of its keys.
func (b *backend) accepts(h hold) bool {
	for key := h.first; key <= h.last; key++ {
		if b.seen[key] > h.token {
			b.record.count("rows with an older token not accepted by " + b.id)
			return false
		}
	}
	for key := h.first; key <= h.last; key++ {
		b.seen[key] = h.token
	}
	return true
}

func covers(list []hold, h hold) bool {
	for key := h.first; key <= h.last; key++ {
		if !slices.ContainsFunc(list, func(x hold) bool { return x.first <= key && key <= x.last }) {
			return false
		}
	}
	return true
}

// holding returns the token under which the server holds a key at a time, and whether it does.
func (b *backend) holding(now time.Time, key uint64) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.holds {
		if h.first <= key && key <= h.last && now.Before(h.until) {
			return h.token, true
		}
	}
	return 0, false
}

// serve runs a request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", b.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	now := time.Now()
	if r.Header.Get("Expect-Instance") != b.id || b.keyed && err != nil {
		b.refuse(w, id)
		return
	}
	if b.keyed {
		if _, held := b.holding(now, key); !held {
			b.refuse(w, id)
			return
		}
	}
	b.record.begin(id, b, key, now)
	if b.poison != "" && r.URL.Path == b.poison {
		time.Sleep(crashTime)
		b.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Signature", "s."+id)
	_, _ = w.Write([]byte(b.id + " " + id + "\n")) // The caller sees a failure.
}

// crash ends the server at once: it closes its listener and all connections, and holds nothing more.
func (b *backend) crash() {
	b.mu.Lock()
	first := !b.crashed
	b.crashed, b.holds, b.silent = true, nil, true
	b.mu.Unlock()
	if !first {
		return
	}
	_ = b.server.Close() // What it returns doesn't matter to a server that has crashed.
	b.onCrash()
}

func (b *backend) refuse(w http.ResponseWriter, id string) {
	b.record.count("refused with 421 by " + b.id)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Attempt-Id", id)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// post sends what a writer says of a server, and returns the status and the body of the answer. The status is 0 without one.
func post(ctx context.Context, control, path string, body any) (int, []byte) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/cbor")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	data, err = io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, data
}
