package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// longWork is how long the server works on the request that runs when it leaves.
	longWork = 5 * time.Second
	// drainTime is the bound `drain` of the site files, and littleLonger how much longer the server serves.
	drainTime, littleLonger = 2 * time.Second, 500 * time.Millisecond
	// longTime is the time budget of that request.
	longTime = 10 * time.Second
	// lastingKey is its key.
	lastingKey = 4242
)

// playOwner lets a server leave as planned while it works on a request. It stops listening, ends its work and exits, and sends
// heartbeats up to then. It checks that nobody else is given the key of the request meanwhile.
func playOwner(w *world, trouble bool) error {
	if err := w.publish(1, []route{{"stock", "/stock/", "idempotent", "stock", longTime}}, map[string]bool{"stock": true}); err != nil {
		return err
	}
	work := func(path string) time.Duration {
		if path == "/stock/long" {
			return longWork
		}
		return 20 * time.Millisecond
	}
	var servers []*keyedServer
	for i := range 3 {
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), "stock")
		if err != nil {
			return err
		}
		s := n.newKeyedServer(fmt.Sprintf("i-%d", i+1), work)
		servers = append(servers, s)
	}
	for _, s := range servers {
		if err := s.start(); err != nil {
			return err
		}
		defer s.stop()
		if err := s.node.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	owner, err := w.awaitOwner(servers, lastingKey)
	if err != nil {
		return err
	}
	w.printf("server %s holds key %d", owner.id, lastingKey)
	var mu sync.Mutex
	var problem error
	for _, s := range servers {
		if s == owner {
			continue
		}
		s.mu.Lock()
		s.given = func(key int, fence uint64) {
			if key != lastingKey {
				return
			}
			working, until, listed := owner.atWork()
			left := time.Until(until)
			w.printf("server %s is given key %d with fence %d; %s is at work on it: %v; its hold runs for %.1f s more; its last heartbeat that lists it was answered %.1f s ago",
				s.id, key, fence, owner.id, working, left.Seconds(), time.Since(listed).Seconds())
			mu.Lock()
			defer mu.Unlock()
			if working && left > 0 {
				problem = errors.Wrapf(errBroken, "OWNER: %s is given a key on which %s is still at work, %.1f s before its hold has run out", s.id, owner.id, left.Seconds())
			}
		}
		s.mu.Unlock()
	}
	answered := make(chan string, 1)
	go func() { answered <- sendKeyed(w.nodes[0], "/stock/long", "long", longTime) }()
	time.Sleep(300 * time.Millisecond)
	if working, _, _ := owner.atWork(); !working {
		return errors.New("the request didn't begin")
	}
	if trouble {
		w.printf("server %s reports draining", owner.id)
		owner.reportDraining()
		time.Sleep(drainTime + littleLonger)
		status, _, err := owner.post(context.Background(), "Deregister", map[string]any{"born": owner.born})
		w.printf("server %s deregisters (answer %d, %v), stops listening, and exits when its work is done", owner.id, status, err)
		if err := owner.http.Shutdown(context.Background()); err != nil {
			return errors.WithStack(err)
		}
		owner.stop()
		w.printf("server %s has exited", owner.id)
	}
	w.printf("the answer to the long request: %s", <-answered)
	time.Sleep(3 * time.Second)
	w.printf("another request for the key: %s", sendKeyed(w.nodes[0], "/stock/x", "after", time.Second))
	mu.Lock()
	defer mu.Unlock()
	return problem
}

// awaitOwner waits until all keys are held for a while and returns the server that holds a key.
func (w *world) awaitOwner(servers []*keyedServer, key int) (*keyedServer, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		held := 0
		var owner *keyedServer
		for _, s := range servers {
			s.mu.Lock()
			for i := range s.keys {
				if s.keys[i].fence != 0 {
					held++
				}
			}
			if s.keys[key].fence != 0 {
				owner = s
			}
			s.mu.Unlock()
		}
		if held == keyCount && owner != nil {
			time.Sleep(3 * time.Second)
			return owner, nil
		}
	}
	return nil, errors.New("the keys aren't held")
}

func sendKeyed(n *node, path, id string, budget time.Duration) string {
	q, err := http.NewRequest(http.MethodGet, "http://"+n.listen.String()+path, http.NoBody)
	if err != nil {
		return err.Error()
	}
	q.Host = host
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Shard-Key", strconv.Itoa(lastingKey))
	q.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return fmt.Sprintf("status %d, %q, %v", r.StatusCode, data, err)
}
