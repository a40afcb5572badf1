package main

import (
	"context"
	"net/http"
	"time"
)

// Times of forgotten, which count from the moment at which the store goes down.
const (
	leavesAt   = 300 * time.Millisecond
	killedAt   = 1500 * time.Millisecond
	startedAt  = 2500 * time.Millisecond
	storeBack  = 4500 * time.Millisecond
	leaverEnds = 13 * time.Second
)

// forgotten: a server leaves while the store is down, and all processes are killed and started again before it is back.
func forgotten(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return notRun, err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if err := f.add("side-"+zone+"-1", "ee-north-"+zone, "varu", true); err != nil {
			return notRun, err
		}
		if err := f.add("side-"+zone+"-2", "ee-north-"+zone, "tellimus", false); err != nil {
			return notRun, err
		}
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
	go f.orders(ctx, f.nodes, 60)
	time.Sleep(12 * time.Second)
	begin, n := time.Now(), f.nodes[1]
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	if trouble {
		f.platform.SetDown(true)
		f.record.note("the store is down")
	}
	at(leavesAt)
	status := n.server.leave(ctx, true)
	acknowledged := time.Now()
	f.record.note("the leaving of %s was answered with %d", n.server.id, status)
	if status != http.StatusOK {
		return notRun, nil
	}
	calm := acknowledged
	if trouble {
		if err := f.killAll(at); err != nil {
			return notRun, err
		}
		at(storeBack)
		f.platform.SetDown(false)
		calm = time.Now()
		f.record.note("the store is back")
	}
	at(leaverEnds)
	n.stopServer()
	f.record.note("the server %s has ended", n.server.id)
	time.Sleep(time.Second)
	cancel()
	time.Sleep(time.Second)
	return f.judgeLeaving(n, acknowledged, calm), nil
}

// killAll kills all processes at the same moment and starts them again.
func (f *fleet) killAll(at func(time.Duration)) error {
	at(killedAt)
	for _, n := range f.nodes {
		_ = n.command.Process.Kill() // It runs.
	}
	for _, n := range f.nodes {
		_ = n.command.Wait() // A kill is an error.
	}
	f.record.note("all processes were killed")
	at(startedAt)
	for _, n := range f.nodes {
		if err := f.startProcess(n); err != nil {
			return err
		}
	}
	f.record.note("all processes have been started again")
	return nil
}
