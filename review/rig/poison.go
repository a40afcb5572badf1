package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath = "/stock/poison"
	poisonKey  = 4711
	// poisonID begins the ids of the attempts of the request that crashes servers.
	poisonID = "poison"
	// crashTime is how long a server works on the request before it crashes.
	crashTime = 350 * time.Millisecond
	// leaveTime is half of the objective of the requests, within which some callers leave.
	leaveTime = 250 * time.Millisecond
	// backTime is when a server that has crashed is back.
	backTime = 3 * time.Second
	// poisonInterval is how often the request comes again, and poisonAttempts how often it comes.
	poisonInterval = 500 * time.Millisecond
	poisonAttempts = 80
	// allowedRetries is how many retries may reach servers later than stable_window after the third crash (rule BUDGET).
	allowedRetries = 3
	allowedCrashes = 3
)

// crashLog holds the times of the crashes.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

// poison: a request crashes each server that begins to run it, and comes again at any machine. Its callers leave early.
func poison(f *fleet, trouble bool) (int, error) {
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
	crashes := &crashLog{}
	if trouble {
		for _, n := range f.nodes {
			f.makeCrash(n, crashes)
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
	go f.traffic(ctx, 60)
	time.Sleep(4 * time.Second)
	patience := 3 * time.Second
	if trouble {
		patience = leaveTime
	}
	for range poisonAttempts {
		go f.sendPoison(f.nodes[rand.IntN(len(f.nodes))], patience)
		time.Sleep(poisonInterval)
	}
	cancel()
	time.Sleep(time.Second)
	return f.judgePoison(crashes), nil
}

// makeCrash makes the server of a machine crash when it runs the request. It is back after some seconds, as a new life.
func (f *fleet) makeCrash(n *node, crashes *crashLog) {
	b := n.server
	b.poison = poisonPath
	b.onCrash = func() {
		crashes.mu.Lock()
		crashes.times = append(crashes.times, time.Now())
		count := len(crashes.times)
		crashes.mu.Unlock()
		f.record.note("crash %d: server %s", count, b.id)
		time.AfterFunc(backTime, func() {
			next := newBackend(&backend{
				id: b.id, service: b.service, zone: b.zone, address: b.address, control: b.control, keyed: b.keyed, beat: b.beat,
				work: b.work, record: b.record,
			})
			f.setServer(n, next)
			f.makeCrash(n, crashes)
			f.startServer(n)
		})
	}
}

// sendPoison sends the request once, and leaves after a time.
func (f *fleet) sendPoison(n *node, patience time.Duration) {
	c, err := net.Dial("tcp", n.listen)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	id := fmt.Sprintf("%s%010x", poisonID, lastID.Add(1))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nShard-Key: %d\r\n\r\n",
		poisonPath, host, id, poisonKey); err != nil {
		return
	}
	answer := make([]byte, 4096)
	count, err := 0, c.SetReadDeadline(time.Now().Add(patience))
	if err == nil {
		count, err = c.Read(answer)
	}
	line, _, _ := strings.Cut(string(answer[:count]), "\r\n")
	if err != nil {
		line = "the caller leaves without an answer"
	}
	f.record.note("%s sent to %s: %s", id, n.name, line)
}

func (f *fleet) judgePoison(crashes *crashLog) int {
	crashes.mu.Lock()
	defer crashes.mu.Unlock()
	f.record.note("crashes: %d", len(crashes.times))
	if len(crashes.times) < allowedCrashes {
		return held
	}
	late := f.record.begunAfter(poisonID, crashes.times[allowedCrashes-1].Add(touchBound))
	f.record.note("retries that reached servers later than 3 s after the third crash: %d; allowed: %d", late, allowedRetries)
	if late > allowedRetries {
		return broken
	}
	return held
}
