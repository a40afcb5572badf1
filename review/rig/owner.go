package main

import (
	"context"
	"time"
)

const (
	// keyStep is the distance between the keys that are checked. A slice of the deployments here has more keys.
	keyStep = 32
	// watchInterval is how often the holders are looked at.
	watchInterval = 20 * time.Millisecond
	// bothHold is how long two servers may hold the same keys (rule OWNER).
	bothHold = 500 * time.Millisecond
)

// pair is a key that two servers hold.
type pair struct {
	key  uint64
	a, b int
}

// ownerWatch checks rule OWNER: two servers that are up hold the same key for over half a second.
type ownerWatch struct {
	fleet *fleet
	since map[pair]time.Time
	// longest is, by pair of servers, the longest time for which both held a key, and keys are the keys that both held too long.
	longest map[[2]int]time.Duration
	first   map[[2]int]time.Time
	last    map[[2]int]time.Time
	keys    map[[2]int]map[uint64]bool
}

func newOwnerWatch(f *fleet) *ownerWatch {
	return &ownerWatch{
		fleet: f, since: map[pair]time.Time{}, longest: map[[2]int]time.Duration{}, keys: map[[2]int]map[uint64]bool{},
		first: map[[2]int]time.Time{}, last: map[[2]int]time.Time{},
	}
}

func (w *ownerWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look(time.Now())
		time.Sleep(watchInterval)
	}
}

func (w *ownerWatch) look(now time.Time) {
	for key := uint64(0); key < keyCount; key += keyStep {
		var holders []int
		for i, n := range w.fleet.nodes {
			if !n.current().keyed {
				continue
			}
			if _, holds := n.current().holding(now, key); holds {
				holders = append(holders, i)
			}
		}
		for i := range w.fleet.nodes {
			for j := i + 1; j < len(w.fleet.nodes); j++ {
				w.observe(now, pair{key, i, j}, contains(holders, i) && contains(holders, j))
			}
		}
	}
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}

func (w *ownerWatch) observe(now time.Time, p pair, both bool) {
	since, known := w.since[p]
	switch {
	case !both:
		delete(w.since, p)
		return
	case !known:
		w.since[p] = now
		return
	}
	id := [2]int{p.a, p.b}
	w.longest[id] = max(w.longest[id], now.Sub(since))
	if now.Sub(since) <= bothHold {
		return
	}
	if w.keys[id] == nil {
		w.keys[id], w.first[id] = map[uint64]bool{}, since
	}
	w.keys[id][p.key], w.last[id] = true, now
}

// broken writes what was seen, and reports whether the rule was broken.
func (w *ownerWatch) broken() bool {
	for id, longest := range w.longest {
		a, b := w.fleet.nodes[id[0]].current(), w.fleet.nodes[id[1]].current()
		w.fleet.record.note("servers %s and %s held the same key for %.2f s at the longest; for more than 0.5 s: %d of %d checked keys",
			a.id, b.id, longest.Seconds(), len(w.keys[id]), keyCount/keyStep)
		if len(w.keys[id]) > 0 {
			w.fleet.record.note("requests on those keys begun meanwhile: %s %d, %s %d",
				a.id, w.fleet.record.begunBetween(a.id, w.keys[id], w.first[id], w.last[id]),
				b.id, w.fleet.record.begunBetween(b.id, w.keys[id], w.first[id], w.last[id]))
		}
	}
	return len(w.keys) > 0
}
