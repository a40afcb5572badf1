package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// downTime is how long all processes are away (kill_all of the site: down_s is 1.2 and 1.3).
	downTime = 1300 * time.Millisecond
	// entryAfter is when the entry of another writer comes, after the kill.
	entryAfter = 600 * time.Millisecond
	// recovery is the bound of rule RECOVER.
	recovery = 15 * time.Second
	// countTime is how long requests are counted before the fault and after the bound.
	countTime = 20 * time.Second
	// recordsTopic is where the system keeps its records.
	recordsTopic = "keyed.hibiscusline"
	// serviceShare is the share of the requests, in 100, that go to the service that is divided by key.
	serviceShare = 80
)

// served counts requests and those that were served.
type served struct{ sent, ok atomic.Int64 }

func (s *served) String() string {
	return fmt.Sprintf("%d of %d requests served", s.ok.Load(), s.sent.Load())
}

// atLeastQuarter reports whether a quarter or more was served.
func (s *served) atLeastQuarter() bool { return s.ok.Load()*4 >= s.sent.Load() }

// unreadable: all processes are killed as a final fault, and while they are away an entry of another writer comes that can't be read.
func unreadable(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return notRun, err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if err := f.add("side-"+zone+"-1", "ee-north-"+zone, "varu", true); err != nil {
			return notRun, err
		}
	}
	if err := f.add("side-a-2", "ee-north-a", "tellimus", false); err != nil {
		return notRun, err
	}
	if err := f.start(); err != nil {
		return notRun, err
	}
	if err := f.await("varu", 20*time.Second); err != nil {
		return notRun, err
	}
	f.record.note("all keys are held")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(3 * time.Second)
	before, after := &served{}, &served{}
	var now atomic.Pointer[served]
	now.Store(before)
	go f.mixed(ctx, &now, 80)
	time.Sleep(countTime)
	now.Store(&served{})
	f.record.note("before the final fault: %s", before)
	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	for _, n := range f.nodes {
		_ = n.command.Process.Kill() // It runs.
	}
	for _, n := range f.nodes {
		_ = n.command.Wait() // A kill is an error.
	}
	f.record.note("all processes were killed")
	at(entryAfter)
	if trouble {
		f.platform.Put(recordsTopic, "table/varu", []byte("\x00junk"))
		f.record.note("another writer puts an entry table/varu that can't be read")
	}
	at(downTime)
	for _, n := range f.nodes {
		if err := f.startProcess(n); err != nil {
			return notRun, err
		}
	}
	f.record.note("all processes have been started again")
	time.Sleep(recovery)
	f.record.note("%d of %d checked keys are held", f.held(time.Now(), "varu"), keyCount/keyStep)
	now.Store(after)
	time.Sleep(countTime)
	cancel()
	time.Sleep(3 * time.Second)
	f.record.note("from %v after the start on: %s", recovery, after)
	f.record.note("%d of %d checked keys are held", f.held(time.Now(), "varu"), keyCount/keyStep)
	if !before.atLeastQuarter() || after.sent.Load() == 0 {
		return notRun, nil
	}
	if !after.atLeastQuarter() {
		return broken, nil
	}
	return held, nil
}

// mixed sends requests to all entries until ctx ends, and counts them where now points to when they are sent.
func (f *fleet) mixed(ctx context.Context, now *atomic.Pointer[served], perSecond int) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	for ctx.Err() == nil {
		n, s := f.nodes[rand.IntN(len(f.nodes))], now.Load()
		method, path, key := http.MethodPost, fmt.Sprintf("/orders/%x", rand.Uint32()), -1
		if rand.IntN(100) < serviceShare {
			key = rand.IntN(keyCount/keyStep) * keyStep
			method, path = http.MethodGet, fmt.Sprintf("/stock/%x", key)
		}
		s.sent.Add(1)
		go func() {
			status := f.call(client, n.listen, method, path, key)
			f.record.count(fmt.Sprintf("%s answered with %d", method, status))
			if status == http.StatusOK {
				s.ok.Add(1)
			}
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}
