package main

import (
	"context"
	"net/http"
	"time"
)

// Times of lateReport.
const (
	// drainBound and touchBound are the bounds drain and stable_window of the site.
	drainBound = 2 * time.Second
	touchBound = 3 * time.Second
	// killAfter, restartAfter and lateBy count from the acknowledgement of the leaving.
	killAfter    = 4 * time.Second
	restartAfter = 5 * time.Second
	arrivesAfter = 6500 * time.Millisecond
	// exitsAfter is when the server that leaves ends.
	exitsAfter = 12 * time.Second
)

// lateReport: a server leaves, the process beside it is killed and started again, and a report from before the leaving arrives
// seconds late.
func lateReport(f *fleet, trouble bool) (int, error) {
	if err := f.startStore(); err != nil {
		return notRun, err
	}
	for _, m := range []struct {
		name, zone, service string
		keyed               bool
	}{
		{"side-a-1", "ee-north-a", "varu", true},
		{"side-b-1", "ee-north-b", "varu", true},
		{"side-a-2", "ee-north-a", "tellimus", false},
		{"side-b-2", "ee-north-b", "tellimus", false},
		{"side-c-2", "ee-north-c", "tellimus", false},
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
	n := f.nodes[2]
	go f.orders(ctx, []*node{f.nodes[0], f.nodes[1], f.nodes[3], f.nodes[4]}, 50)
	// The fleet has run for a time, as it usually has.
	time.Sleep(12 * time.Second)
	report, _ := n.server.nextReport(time.Now())
	if !trouble {
		status, _ := post(ctx, n.control, reportPath+n.server.id, report)
		f.record.note("the last report before the leaving was answered with %d", status)
	}
	status := n.server.leave(ctx, false)
	acknowledged := time.Now()
	f.record.note("the leaving of %s was answered with %d", n.server.id, status)
	if status != http.StatusOK {
		return notRun, nil
	}
	at := func(after time.Duration) { time.Sleep(time.Until(acknowledged.Add(after))) }
	restarted := acknowledged
	if trouble {
		at(killAfter)
		_ = n.command.Process.Kill()
		_ = n.command.Wait() // A kill is an error.
		at(restartAfter)
		if err := f.startProcess(n); err != nil {
			return notRun, err
		}
		restarted = time.Now()
		f.record.note("the process beside it was killed and has been started again")
		at(arrivesAfter)
		status, _ := post(ctx, n.control, reportPath+n.server.id, report)
		f.record.note("a report of %s from before the leaving arrived, and was answered with %d", n.server.id, status)
	}
	at(exitsAfter)
	n.stopServer()
	f.record.note("the server %s has ended", n.server.id)
	time.Sleep(2 * time.Second)
	cancel()
	time.Sleep(time.Second)
	return f.judgeLeaving(n, acknowledged, restarted), nil
}

// judgeLeaving checks rule DRAIN for a leaving that was acknowledged at a time. Since another time nothing is disturbed.
func (f *fleet) judgeLeaving(n *node, acknowledged, calm time.Time) int {
	// Only what machines in touch have sent on counts.
	from := acknowledged.Add(drainBound)
	if touched := calm.Add(touchBound); touched.After(from) {
		from = touched
	}
	all, _, _ := f.record.begunBy(n.server.id, acknowledged.Add(drainBound))
	count, first, last := f.record.begunBy(n.server.id, from)
	f.record.note("orders that reached %s later than 2 s after the ack: %d, of them by machines in touch: %d", n.server.id, all, count)
	if count == 0 {
		return held
	}
	f.record.note("these came %.2f s to %.2f s after the ack", first.Sub(acknowledged).Seconds(), last.Sub(acknowledged).Seconds())
	return broken
}
