package main

import (
	"context"
	"time"
)

// oddReport: one liveness report of another writer, in which fields are missing, arrives at a process.
func oddReport(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return notRun, err
	}
	for _, m := range []struct {
		name, zone, service string
		keyed               bool
	}{
		{"side-a-1", "ee-north-a", "varu", true},
		{"side-b-1", "ee-north-b", "varu", true},
		{"side-c-1", "ee-north-c", "varu", true},
		{"side-a-2", "ee-north-a", "tellimus", false},
	} {
		if err := f.add(m.name, m.zone, m.service, m.keyed); err != nil {
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
	watch, done := newOwnerWatch(f), make(chan struct{})
	go func() { defer close(done); watch.run(ctx) }()
	go f.traffic(ctx, 60)
	time.Sleep(5 * time.Second)
	if trouble {
		n := f.nodes[0]
		status, _ := post(ctx, n.control, "/Instances.Heartbeat/i-odd", map[string]any{
			"address": n.local, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "varu", "slots": 12},
			"status": map[string]any{"state": "ready", "seq": 1},
			"holds":  [][3]uint64{}, "freed": [][3]any{},
		})
		f.record.note("the report of another writer, without zone, version and cold_left, was answered with %d", status)
	}
	time.Sleep(15 * time.Second)
	cancel()
	<-done
	if watch.broken() {
		return broken, nil
	}
	return held, nil
}
