package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/platform/simulator"
)

const (
	// serverRestartDelay is how long a server that crashed is away.
	serverRestartDelay = 400 * time.Millisecond
	// allowedLateRuns is how often a request that has crashed three servers may still run once all processes must know it.
	allowedLateRuns = 3
	// spreadTime is the time in which all processes must know of a crash.
	spreadTime = 3 * time.Second
)

// crashes counts the crashes of servers by a poison request.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// count returns the number of crashes, and late the number of those later than spreadTime after the third.
func (c *crashes) count() (total, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.times {
		if len(c.times) > 2 && at.After(c.times[2].Add(spreadTime)) {
			late++
		}
	}
	return len(c.times), late
}

// crashOn makes requests for a path crash the servers of a cluster, which start again after a time.
func (s *cluster) crashOn(path string) *crashes {
	c := &crashes{}
	var group sync.WaitGroup
	ended := make(chan struct{})
	s.t.Cleanup(func() {
		close(ended)
		group.Wait()
	})
	for _, n := range s.nodes {
		crashed := make(chan struct{}, 1)
		n.stopServer()
		n.config.CrashPath, n.config.OnCrash = path, func() { c.add(); crashed <- struct{}{} }
		s.startServer(n)
		group.Go(func() {
			for {
				select {
				case <-crashed:
				case <-ended:
					return
				}
				time.Sleep(serverRestartDelay)
				n.stopServer()
				s.startServer(n)
			}
		})
	}
	return c
}

// TestPoisonRequestIsRefusedEverywhere guards against a request that crashes one server after another: its copies arrive at
// all processes, each with another id, beside other requests, and the processes that saw a crash are started again.
func TestPoisonRequestIsRefusedEverywhere(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		key                int
		// atOnce is the number of processes that get a copy at the same time.
		atOnce int
	}{
		{"idempotent, keyed", http.MethodGet, "/stock/poison", 7, 1},
		{"not idempotent", http.MethodPost, "/orders/poison", simulator.NoKey, 1},
		{"at all processes at once", http.MethodPost, "/orders/poison", simulator.NoKey, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 4, 4)
			crashes := s.crashOn(c.path)
			s.await("all servers are served again", func() bool { return s.allKeysServed(0) && s.serves(s.nodes[0], "/orders/1") })
			done := make(chan struct{})
			var group sync.WaitGroup
			var refused atomic.Int32
			for _, n := range s.nodes {
				group.Go(func() { s.sendNeighbours(n, done, &refused) })
			}
			end := time.Now().Add(12 * time.Second)
			for i := 0; time.Now().Before(end); i++ {
				var copies sync.WaitGroup
				for k := range c.atOnce {
					copies.Go(func() { s.send(s.nodes[(i+k)%len(s.nodes)], c.method, c.path, c.key) })
				}
				copies.Wait()
				if n := s.nodes[i%len(s.nodes)]; i%20 == 19 {
					n.stopSidecar()
					s.startSidecar(n)
				}
				time.Sleep(60 * time.Millisecond)
			}
			close(done)
			group.Wait()
			total, late := crashes.count()
			t.Log("servers that the request crashed:", total, "later than all processes must know of it:", late)
			require.LessOrEqual(t, late, allowedLateRuns)
			require.Zero(t, refused.Load(), "refused neighbours")
			r := s.send(s.nodes[0], c.method, c.path, c.key)
			require.Equal(t, http.StatusServiceUnavailable, r.Status)
			require.NotEmpty(t, r.RetryAfter)
			s.await("other requests of the same route are served", func() bool { return s.allKeysServed(0) && s.serves(s.nodes[0], "/orders/1") })
		})
	}
}

// sendNeighbours sends other requests on the routes of the poison request, and counts those that are refused like it.
func (s *cluster) sendNeighbours(n *node, done <-chan struct{}, refused *atomic.Int32) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
			for _, r := range []simulator.Response{
				s.send(n, http.MethodGet, fmt.Sprint("/stock/n", i%50), 7+i%3),
				s.send(n, http.MethodPost, fmt.Sprint("/orders/n", i%50), simulator.NoKey),
			} {
				if strings.Contains(r.Body, executor.Poison.String()) {
					refused.Add(1)
				}
			}
		}
	}
}
