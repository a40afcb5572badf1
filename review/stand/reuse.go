//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["reuse"] = reuse }

const (
	// reuseAfter is how long an address stays unused before a server of another service gets it.
	reuseAfter = 2 * time.Second
	// recovery is the time that the machines have after the final fault.
	recovery = 15 * time.Second
	// settle is how long the system has after a machine is lost and its address is used again.
	settle = 18 * time.Second
	// owners is the number of machines of the service that is divided by key.
	owners = 3
)

// reuse loses two of three machines of a service for good, one after the other. Then all processes are killed, the third
// machine is lost, and a new one comes at a new address. With the trouble, the addresses go to machines of another
// service; without it, nobody gets them.
func reuse(w *world) ([]string, error) {
	if err := w.publish(1); err != nil {
		return nil, err
	}
	for _, zone := range []string{"bunbury", "manjimup", "perth-depot"} {
		if _, err := w.addNode("catalogue", zone); err != nil {
			return nil, err
		}
	}
	if _, err := w.addNode("patterns", "bunbury"); err != nil {
		return nil, err
	}
	if err := w.startAll(); err != nil {
		return nil, err
	}
	if err := w.await("all keys are held", 30*time.Second, w.allHeld); err != nil {
		return nil, err
	}
	live := slices.Clone(w.nodes)
	w.served("at the start", live)
	for i := range owners - 1 {
		gone := live[0]
		live = live[1:]
		gone.lose()
		time.Sleep(reuseAfter)
		next, err := w.useAgain(gone)
		if err != nil {
			return nil, err
		}
		live = append(live, next...)
		time.Sleep(settle)
		w.served(fmt.Sprintf("after the loss of %d of %d", i+1, owners), live)
	}
	before := w.served("before the final fault", live)
	gone := live[0]
	live = live[1:]
	w.logf("the final fault: all processes are killed, and a machine is lost")
	gone.lose()
	for _, n := range live {
		n.kill()
	}
	time.Sleep(reuseAfter)
	for _, n := range live {
		if err := n.launch(); err != nil {
			return nil, err
		}
	}
	next, err := w.useAgain(gone)
	if err != nil {
		return nil, err
	}
	added, err := w.addNode("catalogue", gone.zone)
	if err != nil {
		return nil, err
	}
	added.startBackend()
	if err := added.launch(); err != nil {
		return nil, err
	}
	live = append(append(live, next...), added)
	if err := w.await("all machines are back", 10*time.Second, func() bool {
		return !slices.ContainsFunc(live, func(n *node) bool { return !n.isReady() })
	}); err != nil {
		return nil, err
	}
	time.Sleep(recovery + 5*time.Second)
	after := w.served("later than the time to recover", live)
	if before >= 0.25 && after < 0.25 {
		return []string{fmt.Sprintf("%.0f in 100 requests were served before the final fault, and %.0f in 100 later than %v after it",
			100*before, 100*after, recovery)}, nil
	}
	return nil, nil
}

// lose takes a machine away for good: its server ends, and its process is silent from now on.
func (n *node) lose() {
	n.mu.Lock()
	if n.process != nil {
		_ = n.process.Process.Signal(syscall.SIGSTOP)
	}
	n.mu.Unlock()
	n.w.logf("%s: the machine is lost for good", n.name)
	n.backend().crash()
}

// useAgain gives the address of a lost machine to a machine of another service, with the trouble.
func (w *world) useAgain(gone *node) ([]*node, error) {
	gone.kill()
	if !w.trouble {
		return nil, nil
	}
	n, err := w.newNode("patterns", gone.zone, gone)
	if err != nil {
		return nil, err
	}
	w.logf("%s: a machine of another service has the address of %s", n.name, gone.name)
	n.startBackend()
	return []*node{n}, n.launch()
}

// served sends requests on a sample of the keys at all machines, and returns the share that is served.
func (w *world) served(when string, nodes []*node) float64 {
	served, total := 0, 0
	for key := 0; key < 1<<16; key += 521 {
		total++
		if nodes[total%len(nodes)].send(http.MethodGet, "/catalogue/x", key, 500*time.Millisecond).status == http.StatusOK {
			served++
		}
	}
	w.logf("%s: %d of %d requests served", when, served, total)
	return float64(served) / float64(total)
}
