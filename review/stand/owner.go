//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["forged-report"] = forgedReport
	cases["late-report"] = lateReport
}

// maxOverlap is how long two servers that are up may hold the same keys.
const maxOverlap = 500 * time.Millisecond

// overlaps watches, on a sample of the keys, for how long two servers that are up hold the same one.
type overlaps struct {
	mu      sync.Mutex
	longest time.Duration
	which   string
	stop    chan struct{}
}

// sampleStep is the distance between the keys that are watched.
const sampleStep = 61

func (w *world) watchOverlaps() *overlaps {
	o := &overlaps{stop: make(chan struct{})}
	go func() {
		since := map[uint64]time.Time{}
		for {
			select {
			case <-o.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for key := uint64(0); key < 1<<16; key += sampleStep {
				holders := w.holdersOf(key)
				if len(holders) < 2 {
					delete(since, key)
					continue
				}
				if _, known := since[key]; !known {
					since[key] = time.Now()
				}
				o.mu.Lock()
				if d := time.Since(since[key]); d > o.longest {
					o.longest, o.which = d, fmt.Sprintf("%s hold key %d", strings.Join(holders, " and "), key)
				}
				o.mu.Unlock()
			}
		}
	}()
	return o
}

// holdersOf returns the ids of the servers that are up and hold a key.
func (w *world) holdersOf(key uint64) []string {
	var ids []string
	for _, n := range w.nodes {
		if b := n.backend(); b != nil && b.has(key) {
			ids = append(ids, b.id)
		}
	}
	return ids
}

// end returns the violation, if there was one.
func (o *overlaps) end(w *world) []string {
	close(o.stop)
	o.mu.Lock()
	defer o.mu.Unlock()
	w.logf("longest time with two holders of a key: %v %s", o.longest.Round(time.Millisecond), o.which)
	if o.longest <= maxOverlap {
		return nil
	}
	return []string{fmt.Sprintf("%s at the same time for %v", o.which, o.longest.Round(time.Millisecond))}
}

// newCatalogue starts the five machines of the service that is divided by key, and waits until all keys are held.
func (w *world) newCatalogue() error {
	if err := w.publish(1); err != nil {
		return err
	}
	for _, zone := range []string{"bunbury", "bunbury", "manjimup", "manjimup", "perth-depot"} {
		if _, err := w.addNode("catalogue", zone); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	return w.await("all keys are held", 30*time.Second, w.allHeld)
}

func (w *world) allHeld() bool {
	for key := uint64(0); key < 1<<16; key += sampleStep {
		if w.holderOf(key) == nil {
			return false
		}
	}
	return true
}

func (w *world) holderOf(key uint64) *backend {
	for _, n := range w.nodes {
		if b := n.backend(); b != nil && b.has(key) {
			return b
		}
	}
	return nil
}

// longWork is how long the server works on the request in forgedReport.
const longWork = 2800 * time.Millisecond

// forgedReport empties a server while it works on a key. With the trouble, a liveness report of another writer comes at
// that time, which has the server's id and the next seq, and lacks the fields holds and freed.
func forgedReport(w *world) ([]string, error) {
	if err := w.newCatalogue(); err != nil {
		return nil, err
	}
	const key = 1000
	old := w.holderOf(key)
	old.setServiceTime(longWork)
	var entry *node
	for _, n := range w.nodes {
		if n != old.n {
			entry = n
		}
	}
	w.logf("key %d is held by %s", key, old.id)
	old.mu.Lock()
	old.state = "draining"
	old.mu.Unlock()
	old.beatNow <- struct{}{}
	time.Sleep(beat * 4 / 5)
	done := make(chan answer, 1)
	go func() { done <- entry.send(http.MethodGet, "/catalogue/x", key, 3*time.Second) }()
	if err := w.await("the server works on the key", 2*time.Second, func() bool { return old.worksOn(key) }); err != nil {
		return nil, err
	}
	old.mu.Lock()
	until, _ := old.rowOf(key)
	old.mu.Unlock()
	if err := w.await("the server was told to release the key", 2*time.Second, func() bool { return !old.has(key) }); err != nil {
		return nil, err
	}
	if w.trouble {
		time.Sleep(20 * time.Millisecond)
		body := old.beatBody()
		delete(body, "holds")
		delete(body, "freed")
		_, status := postBeat(old, old.id, body)
		w.logf("a report of another writer, without holds and freed, was answered %d", status)
	}
	var violations []string
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		b := w.holderOf(key)
		if b == nil || b == old {
			continue
		}
		w.logf("key %d is held by %s; %s still works on it: %v", key, b.id, old.id, old.worksOn(key))
		if old.worksOn(key) && time.Now().Before(until.until) {
			violations = append(violations, fmt.Sprintf("%s was given key %d while %s was at work on it, %v before its hold would have run out",
				b.id, key, old.id, time.Until(until.until).Round(time.Millisecond)))
		}
		<-done
		return violations, nil
	}
	return nil, fmt.Errorf("key %d got no new holder", key)
}

const (
	// slowness is how many times as long the store takes for an answer while it is slow, and slowFor how long it is slow.
	slowness = 60
	slowFor  = 4500 * time.Millisecond
	// lateBy is the time from when a restarted process listens to the arrival of the delayed report.
	lateBy = 5 * time.Millisecond
	// restartAfterEnd is the time from the end of a process to its next start.
	restartAfterEnd = 100 * time.Millisecond
)

// lateReport replaces a server as planned, and restarts the process beside it as planned. With the trouble, the store is
// slow at that time, and a report of the server's earlier lifetime, which a partition had delayed, arrives.
func lateReport(w *world) ([]string, error) {
	if err := w.newCatalogue(); err != nil {
		return nil, err
	}
	n := w.nodes[0]
	first := n.backend()
	first.mu.Lock()
	first.state = "draining"
	first.mu.Unlock()
	first.beatNow <- struct{}{}
	if err := w.await("the first lifetime is empty", 10*time.Second, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return len(first.holds) == 0
	}); err != nil {
		return nil, err
	}
	late := first.beatBody()
	first.crash()
	time.Sleep(reuseAfter)
	second := n.startBackend()
	if err := w.await("the second lifetime holds its share of the keys", 30*time.Second, func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return len(second.holds) > 20
	}); err != nil {
		return nil, err
	}
	if err := w.await("all keys are held", 30*time.Second, w.allHeld); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	o := w.watchOverlaps()
	seq := second.reports()
	if err := w.await("the server has just reported", 3*time.Second, func() bool { return second.reports() > seq }); err != nil {
		return nil, err
	}
	time.Sleep(beat * 3 / 5)
	n.terminate()
	if w.trouble {
		w.store.slowness.Store(slowness)
		w.logf("the store takes %d times as long for an answer", slowness)
		time.AfterFunc(slowFor, func() { w.store.slowness.Store(1) })
	}
	time.Sleep(restartAfterEnd)
	if err := n.launch(); err != nil {
		return nil, err
	}
	if w.trouble {
		if err := w.await("the process listens", 5*time.Second, n.listens); err != nil {
			return nil, err
		}
		time.Sleep(lateBy)
		_, status := postBeat(first, first.id, late)
		w.logf("the late report of %s was answered %d", first.id, status)
	}
	time.Sleep(10 * time.Second)
	return o.end(w), nil
}
