package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// bornNodes is the number of machines, each beside a server of the one service.
	bornNodes = 4
	// clockAhead is by how much the time of day of a machine is ahead for a time: clock_step of the site file.
	clockAhead = 2400 * time.Millisecond
	// downTime is how long a server is down after a crash, and firstLife how long it runs until the time jumps back and it crashes
	// once more.
	downTime, firstLife = 500 * time.Millisecond, time.Second
	// recovery is the bound of the site files, and recoveryCheck how long requests are counted after it.
	recovery, recoveryCheck = 15 * time.Second, 10 * time.Second
	// servedShare is the share that RECOVER asks for.
	servedShare = 0.25
)

// playBorn lets each server in turn crash twice. With the disruption the time of day of its machine is ahead between the two
// crashes. It counts the requests that are served later than the recovery.
func playBorn(w *world, trouble bool) error {
	routes := []route{{"orders", "/orders/", "non_idempotent", "orders", 5 * time.Second}}
	if err := w.publish(1, routes, map[string]bool{"orders": false}); err != nil {
		return err
	}
	handle := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "done")
	}
	var servers []*server
	for i := range bornNodes {
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), "orders")
		if err != nil {
			return err
		}
		s := n.newServer(fmt.Sprintf("i-%d-1", i+1), time.Now().UnixMilli(), handle)
		servers = append(servers, s)
		if err := s.start(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	before, all := w.sendOrders("before", 2*time.Second)
	if float64(before) < servedShare*float64(all) {
		return errors.New("requests weren't served before the fault")
	}
	for i, s := range servers {
		last, err := w.crashTwice(s, trouble)
		if err != nil {
			return err
		}
		servers[i] = last
		w.sendOrders(fmt.Sprintf("after the crashes of server %d", i+1), 2*time.Second)
	}
	w.sendOrders("within the recovery", recovery)
	after, all := w.sendOrders("later", recoveryCheck)
	for _, s := range servers {
		w.printf("answers to the heartbeats of %s by status: %v", s.id, s.beats())
	}
	if float64(after) < servedShare*float64(all) {
		return errors.Wrapf(errBroken, "RECOVER: %d of %d requests were served later than %v after the last server was back", after, all, recovery)
	}
	return nil
}

// crashTwice lets a server crash and start again, and once more. It returns the last life of the server.
func (w *world) crashTwice(s *server, ahead bool) (*server, error) {
	s.crash()
	time.Sleep(downTime)
	born := time.Now()
	if ahead {
		born = born.Add(clockAhead)
		w.printf("the time of day of the machine of %s is ahead by %v", s.node.name, clockAhead)
	}
	second := s.node.newServer(s.id[:len(s.id)-1]+"2", born.UnixMilli(), s.handle)
	if err := second.start(); err != nil {
		return nil, err
	}
	time.Sleep(firstLife)
	if ahead {
		w.printf("the time of day of the machine of %s is right again", s.node.name)
	}
	second.crash()
	time.Sleep(downTime)
	third := s.node.newServer(s.id[:len(s.id)-1]+"3", time.Now().UnixMilli(), s.handle)
	return third, third.start()
}

// sendOrders sends requests to the machines in turn for a time. It returns how many were served, and how many were sent.
func (w *world) sendOrders(name string, duration time.Duration) (served, all int) {
	statuses := map[int]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n := w.nodes[all%len(w.nodes)]
		q, err := http.NewRequest(http.MethodPost, "http://"+n.listen.String()+"/orders/x", http.NoBody)
		if err != nil {
			return served, all
		}
		q.Host = host
		q.Header.Set("Attempt-Id", fmt.Sprintf("%x-%d", name, all))
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
	w.printf("requests %s, by status: %v", name, statuses)
	return statuses[http.StatusOK], all
}
