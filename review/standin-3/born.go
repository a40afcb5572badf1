package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// clockAhead is by how much the time of day of the machine is ahead when the server starts first: clock_step of the site file.
	clockAhead = 2400 * time.Millisecond
	// firstLife is how long the server runs before it crashes, and downTime how long it is down.
	firstLife, downTime = 1500 * time.Millisecond, 500 * time.Millisecond
	// recovery is the bound of the site files, and recoveryCheck how long requests are counted after it.
	recovery, recoveryCheck = 15 * time.Second, 10 * time.Second
	// servedShare is the share that RECOVER asks for.
	servedShare = 0.25
)

// playBorn starts the only server of a service while the time of day of its machine is ahead. The time of day jumps back, and the
// server crashes and starts again. It counts the requests that are served later than the recovery.
func playBorn(w *world, trouble bool) error {
	routes := []route{{"orders", "/orders/", "non_idempotent", "orders", 5 * time.Second}}
	if err := w.publish(1, routes, map[string]bool{"orders": false}); err != nil {
		return err
	}
	n, err := w.newNode("node-1", "orders")
	if err != nil {
		return err
	}
	handle := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "done")
	}
	if err := n.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	timeOfDay := time.Now
	if trouble {
		timeOfDay = func() time.Time { return time.Now().Add(clockAhead) }
		w.printf("the time of day of the machine is ahead by %v", clockAhead)
	}
	first := n.newServer("i-1", timeOfDay().UnixMilli(), handle)
	if err := first.start(); err != nil {
		return err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return err
	}
	before, all := w.sendOrders(n, "before", firstLife)
	w.printf("before the crash, %d of %d requests were served", before, all)
	if float64(before) < servedShare*float64(all) {
		return errors.New("requests weren't served before the fault")
	}
	w.printf("the time of day is right")
	first.crash()
	time.Sleep(downTime)
	second := n.newServer("i-2", time.Now().UnixMilli(), handle)
	if err := second.start(); err != nil {
		return err
	}
	defer second.crash()
	within, all := w.sendOrders(n, "within", recovery)
	w.printf("in the %v after the server was back, %d of %d requests were served", recovery, within, all)
	after, all := w.sendOrders(n, "after", recoveryCheck)
	w.printf("in the %v after that, %d of %d requests were served", recoveryCheck, after, all)
	if float64(after) < servedShare*float64(all) {
		return errors.Wrapf(errBroken, "RECOVER: %d of %d requests were served later than %v after the server was back", after, all, recovery)
	}
	return nil
}

// sendOrders sends requests one after the other for a time. It returns how many were served, and how many were sent.
func (w *world) sendOrders(n *node, name string, duration time.Duration) (served, all int) {
	statuses := map[int]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		q, err := http.NewRequest(http.MethodPost, "http://"+n.listen.String()+"/orders/x", http.NoBody)
		if err != nil {
			return served, all
		}
		q.Host = host
		q.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d", name, all))
		q.Header.Set("Deadline-Ms", "600")
		all++
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			statuses[0]++
			continue
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		statuses[r.StatusCode]++
	}
	w.printf("requests %s by status: %v", name, statuses)
	return statuses[http.StatusOK], all
}
