package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const keyCount = 1 << 16

// keyState is what a server knows of one key.
type keyState struct {
	// fence is the fencing token under which it holds the key, or zero, highest the highest that it has seen, and until the end of
	// the hold.
	fence, highest uint64
	until          time.Time
	// working is the number of requests for the key that run. A key that was left out while it is worked on is releasing.
	working   int
	releasing bool
}

// keyedServer is a sound backend server of a service that is divided by key. It holds keys as PROTOCOL.md says.
type keyedServer struct {
	node *node
	id   string
	born int64
	work func(path string) time.Duration

	mu    sync.Mutex
	seq   uint64
	state string
	keys  [keyCount]keyState
	freed [][3]any
	// given is called for each key that the server gets, with mu held.
	given func(key int, fence uint64)
	soon  chan struct{}
	// listedAt is when a heartbeat that listed lastingKey was last answered.
	listedAt time.Time
	http     *http.Server
	stop     context.CancelFunc
	done     chan struct{}
}

func (n *node) newKeyedServer(id string, work func(path string) time.Duration) *keyedServer {
	return &keyedServer{
		node: n, id: id, born: time.Now().UnixMilli(), work: work, state: "ready", given: func(int, uint64) {},
		soon: make(chan struct{}, 1),
	}
}

func (s *keyedServer) start() error {
	l, err := net.Listen("tcp4", s.node.backend.String())
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done = cancel, make(chan struct{})
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			pause := beat
			if s.sendHeartbeat(ctx) {
				pause = 100 * time.Millisecond
			}
			select {
			case <-time.After(pause):
			case <-s.soon:
			case <-ctx.Done():
			}
		}
	}()
	s.node.world.printf("server %s of %s started", s.id, s.node.name)
	return nil
}

// drop ends the hold of a key.
func (k *keyState) drop() { k.fence, k.releasing = 0, false }

// holdRows returns the rows of keys that are held or worked on. The caller holds mu.
func (s *keyedServer) holdRows() [][3]uint64 {
	rows := [][3]uint64{}
	now := time.Now()
	for i := range s.keys {
		k := &s.keys[i]
		if k.fence != 0 && now.After(k.until) && k.working == 0 {
			k.drop()
		}
		if k.fence == 0 {
			continue
		}
		if n := len(rows); n > 0 && rows[n-1][1] == uint64(i-1) && rows[n-1][2] == k.fence {
			rows[n-1][1] = uint64(i)
			continue
		}
		rows = append(rows, [3]uint64{uint64(i), uint64(i), k.fence})
	}
	return rows
}

// sendHeartbeat sends a heartbeat and applies the response. It reports whether the next one follows soon, since keys were released
// or are being released.
func (s *keyedServer) sendHeartbeat(ctx context.Context) bool {
	s.mu.Lock()
	s.seq++
	freed, rows := s.freed, s.holdRows()
	lists := s.keys[lastingKey].fence != 0
	body := map[string]any{
		"address": s.node.backend.String(), "born": s.born,
		"info":   map[string]any{"service": s.node.service, "zone": zone, "slots": 12, "version": "v1"},
		"status": map[string]any{"state": s.state, "seq": s.seq, "cold_left": "0ms"},
		"holds":  rows, "freed": freed,
	}
	s.mu.Unlock()
	sent := time.Now()
	status, data, err := s.post(ctx, "Heartbeat", body)
	if err != nil || status != http.StatusOK {
		return false
	}
	var r struct {
		Holds *[]struct {
			_               struct{} `cbor:",toarray"`
			From, To, Fence uint64
			Handover        string
		} `cbor:"holds"`
		HoldTime string `cbor:"hold_time"`
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = s.freed[len(freed):]
	if lists {
		s.listedAt = time.Now()
	}
	if r.Holds == nil {
		return false
	}
	hold, err := time.ParseDuration(r.HoldTime)
	if err != nil {
		return false
	}
	var listed [keyCount]bool
	for _, row := range *r.Holds {
		for i := row.From; i <= row.To; i++ {
			k := &s.keys[i]
			if row.Fence < k.highest {
				continue
			}
			listed[i] = true
			if k.fence != row.Fence {
				s.given(int(i), row.Fence)
			}
			k.fence, k.highest, k.until, k.releasing = row.Fence, row.Fence, sent.Add(hold), false
		}
	}
	return s.release(&listed)
}

// release releases the keys that aren't listed and not worked on. It reports whether any were or are being released. The caller
// holds mu.
func (s *keyedServer) release(listed *[keyCount]bool) bool {
	released := false
	for i := range s.keys {
		k := &s.keys[i]
		if k.fence == 0 || listed[i] {
			continue
		}
		released = true
		if k.working > 0 {
			k.releasing = true
			continue
		}
		k.drop()
		s.free(i)
	}
	return released
}

// free lists a key as released. The caller holds mu.
func (s *keyedServer) free(key int) {
	if n := len(s.freed); n > 0 && s.freed[n-1][1] == uint64(key-1) {
		s.freed[n-1][1] = uint64(key)
		return
	}
	s.freed = append(s.freed, [3]any{uint64(key), uint64(key), "handover"})
}

// post sends one of the server's own calls.
func (s *keyedServer) post(ctx context.Context, call string, body any) (int, []byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/Instances.%s/%s", s.node.local, call, s.id)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = r.Body.Close() }()
	data, err = io.ReadAll(r.Body)
	return r.StatusCode, data, errors.WithStack(err)
}

// reportDraining makes the server report draining until that is acknowledged.
func (s *keyedServer) reportDraining() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.soon <- struct{}{}
}

// ServeHTTP answers as PROTOCOL.md says.
func (s *keyedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if err != nil || r.Header.Get("Expect-Instance") != s.id || !s.begin(int(key)) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer s.end(int(key))
	s.node.world.printf("server %s begins %s for key %d", s.id, id, key)
	select {
	case <-time.After(s.work(r.URL.Path)):
	case <-r.Context().Done():
		s.node.world.printf("server %s drops %s: its connection has ended", s.id, id)
		return
	}
	s.node.world.printf("server %s has done %s", s.id, id)
	w.Header().Set("Response-Signature", "s")
	_, _ = io.WriteString(w, "done by "+s.id)
}

// begin begins to work on a key, if it is held.
func (s *keyedServer) begin(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &s.keys[key]
	if k.fence == 0 || k.releasing || time.Now().After(k.until) {
		return false
	}
	k.working++
	return true
}

func (s *keyedServer) end(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &s.keys[key]
	k.working--
	if k.working == 0 && k.releasing {
		k.drop()
		s.free(key)
	}
}

// atWork reports whether the server works on lastingKey now, until when it holds it, and when a heartbeat that lists it was last
// answered.
func (s *keyedServer) atWork() (working bool, until, listed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &s.keys[lastingKey]
	return k.working > 0, k.until, s.listedAt
}
