//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func init() {
	cases["poison"] = poison
	cases["leaver"] = leaver
}

// routeTimeout is the longest time that a request may take.
const routeTimeout = "3s"

// publish writes a configuration, as the operator does.
func (w *world) publish(version int) error {
	var resources []any
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for service, kind := range map[string]string{"catalogue": "idempotent", "orders": "non_idempotent", "patterns": "idempotent"} {
		add("routes", "route-"+service, map[string]any{
			"host": host, "path_prefix": "/" + service + "/", "kind": kind, "timeout": routeTimeout, "target_latency": "500ms",
			"priority": 1, "attempts": 2, "service": service,
		})
		add("services", service, map[string]any{
			"health_path": "/health", "max_conns": 110, "sharded": keyedServices[service], "warm": "3s",
		})
	}
	data, err := cbor.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", data)
	return nil
}

// startService starts machines of one service without keys and waits until their servers are used.
func (w *world) startService(service, path string, count int) error {
	if err := w.publish(1); err != nil {
		return err
	}
	zones := []string{"bunbury", "manjimup", "perth-depot"}
	for i := range count {
		if _, err := w.addNode(service, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	return w.await("all servers run requests", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			n.send(http.MethodGet, path, noKey, time.Second)
			if len(n.backend().runs()) == 0 {
				return false
			}
		}
		return true
	})
}

// crashed is how long a server is down after a crash.
const crashed = 3 * time.Second

// poison sends a request that comes again, at any machine, while others are served. With the trouble, it crashes each
// server that begins to run it.
func poison(w *world) ([]string, error) {
	if err := w.startService("patterns", "/patterns/x", 4); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	for _, n := range w.nodes {
		b := n.backend()
		b.mu.Lock()
		b.crashes = func(path string) bool {
			if path != "/patterns/poison" || !w.trouble {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			go func() {
				time.Sleep(crashed)
				n.startBackend()
			}()
			return true
		}
		b.mu.Unlock()
	}
	var servers []*backend
	seen := map[string]bool{}
	collect := func() {
		for _, n := range w.nodes {
			if b := n.backend(); !seen[b.id] {
				seen[b.id] = true
				servers = append(servers, b)
			}
		}
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	var lost, served int
	for i := range 4 {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := w.nodes[i].send(http.MethodGet, "/patterns/x", noKey, time.Second)
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	ids := map[string]time.Time{}
	for i := range 40 {
		a := w.nodes[i%len(w.nodes)].send(http.MethodGet, "/patterns/poison", noKey, time.Second)
		ids[a.id] = a.sent
		collect()
		time.Sleep(time.Second)
	}
	close(stop)
	others.Wait()
	collect()
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d crashes; other requests: %d served, %d not", len(crashes), served, lost)
	if len(crashes) < 3 {
		return nil, nil
	}
	third := crashes[2]
	reached := 0
	for _, b := range servers {
		for _, e := range b.runs() {
			if e.path == "/patterns/poison" && e.at.After(third.Add(stableWindow)) && ids[e.id].After(third) {
				reached++
			}
		}
	}
	w.logf("the third crash was at %.3f s; %d requests of the kind ran more than %v later", third.Sub(w.start).Seconds(), reached, stableWindow)
	if reached > 3 {
		return []string{fmt.Sprintf("a request that had crashed three servers reached servers in %d more retries later than %v after the third",
			reached, stableWindow)}, nil
	}
	return nil, nil
}

// Times of leaver, after the store has gone down.
const (
	leaveAfter = 300 * time.Millisecond
	stopAfter  = 500 * time.Millisecond
	storeDown  = 4 * time.Second
	// orderTime is how long a server works on an order.
	orderTime = 200 * time.Millisecond
	// orderCallers is the number of consumers that send orders, one at a time each.
	orderCallers = 12
	// serves is how long the server goes on serving after it has deregistered.
	serves = 12 * time.Second
)

// leaver lets a server deregister and go on serving for some seconds, while orders come at all machines. The process that
// has acknowledged the deregistration is stopped and started again as planned. With the trouble, the store is down at
// that time.
func leaver(w *world) ([]string, error) {
	if err := w.startService("orders", "/orders/x", 4); err != nil {
		return nil, err
	}
	n := w.nodes[0]
	b := n.backend()
	for _, n := range w.nodes {
		n.backend().setServiceTime(orderTime)
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for i := range orderCallers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := w.nodes[i%len(w.nodes)].send(http.MethodPost, "/orders/1", noKey, 600*time.Millisecond)
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	if w.trouble {
		w.store.SetDown(true)
		w.logf("the store is down")
	}
	time.Sleep(time.Until(began.Add(leaveAfter)))
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
	status := b.deregister()
	acked := time.Now()
	w.logf("%s: deregistration of %s acknowledged with %d", n.name, b.id, status)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the deregistration was answered %d", status)
	}
	time.Sleep(time.Until(began.Add(stopAfter)))
	n.terminate()
	time.Sleep(restartAfterEnd)
	if err := n.launch(); err != nil {
		return nil, err
	}
	inTouch := time.Now().Add(stableWindow)
	if w.trouble {
		time.Sleep(time.Until(began.Add(storeDown)))
		w.store.SetDown(false)
		inTouch = time.Now().Add(stableWindow)
		w.logf("the store is back")
	}
	w.logf("all machines are in touch in %v", time.Until(inTouch).Round(time.Millisecond))
	time.Sleep(time.Until(acked.Add(serves)))
	b.crash()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	late, lost := 0, 0
	var last time.Duration
	for _, e := range b.runs() {
		a := answers[e.id]
		if a.sent.Before(inTouch) || a.sent.Before(acked.Add(drain)) {
			continue
		}
		late++
		last = e.at.Sub(acked)
		if a.status != http.StatusOK {
			lost++
		}
	}
	w.logf("%d orders, sent when all machines were in touch, reached the server later than %v after the ack; %d of them were begun there and lost at its end",
		late, drain, lost)
	if late > 0 {
		return []string{fmt.Sprintf("%d orders reached a server later than %v after its leaving was acknowledged, the last one %v after it",
			late, drain, last.Round(time.Millisecond))}, nil
	}
	return nil, nil
}
