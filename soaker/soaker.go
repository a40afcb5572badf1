package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/platform/imitator"
)

// Config configures a run.
type Config struct {
	// Binary is the path of hibiscusd.
	Binary string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	// Duration is the time with faults.
	Duration time.Duration
	// Stock and Orders are the numbers of servers that are divided by key and that aren't.
	Stock, Orders int
	// Output takes a line for each fault.
	Output io.Writer
}

// Report is what a run found.
type Report struct {
	Seed     uint64   `json:"seed"`
	Faults   int      `json:"faults"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Problems []string `json:"problems"`
}

// Timing of a run.
const (
	beat    = 150 * time.Millisecond
	maxHold = 2 * time.Second
	// startTimeout bounds the time until all keys are served at the start, and recoveryTimeout that after the last fault.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	callerPause     = 8 * time.Millisecond
	callers         = 6
	faultPause      = 400 * time.Millisecond
	keyStep         = 1500
)

type soak struct {
	config  Config
	random  *rand.Rand
	store   *imitator.Store
	judge   *imitator.Checker
	caller  imitator.Caller
	nodes   []*node
	version int
	faults  int

	mu      sync.Mutex
	replies []imitator.Response
	orders  map[string]bool
	repair  sync.WaitGroup
}

// Run runs processes under faults and returns what it found. An error means that the run itself failed.
func Run(ctx context.Context, c Config) (Report, error) {
	s := &soak{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), store: &imitator.Store{}, judge: imitator.NewChecker(),
		caller: imitator.Caller{Host: "h", Timeout: time.Second}, orders: map[string]bool{},
	}
	server := httptest.NewServer(s.store)
	defer server.Close()
	at, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return Report{}, errors.WithStack(err)
	}
	if err := s.publish(); err != nil {
		return Report{}, err
	}
	defer s.end()
	for i := range c.Stock + c.Orders {
		n, err := s.newNode(i, at)
		if err != nil {
			return Report{}, err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.startServer()
		if err := n.start(); err != nil {
			return Report{}, err
		}
	}
	if late := s.unserved(ctx, startTimeout); late != "" {
		return Report{}, errors.Errorf("never served at the start: %s", late)
	}
	problems := s.underFaults(ctx)
	return s.report(problems), nil
}

// underFaults lets callers and faults run, then waits for the recovery.
func (s *soak) underFaults(ctx context.Context) []string {
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { s.call(load) })
	}
	for end := time.Now().Add(s.config.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		s.fault()
		time.Sleep(faultPause/2 + time.Duration(s.random.Int64N(int64(faultPause))))
	}
	s.repair.Wait()
	var problems []string
	if late := s.unserved(ctx, recoveryTimeout); late != "" {
		problems = append(problems, fmt.Sprintf("not served %v after the last fault: %s", recoveryTimeout, late))
	}
	stop()
	group.Wait()
	return problems
}

// unserved waits until each process serves all keys, the orders and the newest route. It returns what still isn't served.
func (s *soak) unserved(ctx context.Context, timeout time.Duration) string {
	late := "nothing was asked"
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; {
		if late = s.missing(); late == "" {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return late
}

func (s *soak) missing() string {
	for _, n := range s.nodes {
		for key := 0; key < 1<<16; key += keyStep {
			if r := s.caller.Send(n.settings.Listen, http.MethodGet, "/stock/x", key); r.Status != http.StatusOK {
				return fmt.Sprintf("key %d at %s: status %d", key, n.settings.Name, r.Status)
			}
		}
		newest := fmt.Sprintf("/version-%d/x", s.version)
		if r := s.caller.Send(n.settings.Listen, http.MethodGet, newest, imitator.NoKey); r.Status != http.StatusOK {
			return fmt.Sprintf("%s at %s: status %d", newest, n.settings.Name, r.Status)
		}
	}
	return ""
}

// publish puts the next configuration into the store. Its last route bears its version.
func (s *soak) publish() error {
	s.version++
	return s.store.Publish(s.version, "h", []imitator.Route{
		{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"},
		{Name: "orders", Prefix: "/orders/", Kind: "non_idempotent", Service: "orders"},
		{Name: "newest", Prefix: fmt.Sprintf("/version-%d/", s.version), Kind: "idempotent", Service: "orders"},
	}, map[string]bool{"stock": true, "orders": false})
}

// call sends requests to random processes until the context ends.
func (s *soak) call(ctx context.Context) {
	for ctx.Err() == nil {
		n := s.nodes[rand.IntN(len(s.nodes))]
		order := rand.IntN(2) == 0
		var r imitator.Response
		if order {
			r = s.caller.Send(n.settings.Listen, http.MethodPost, "/orders/1", imitator.NoKey)
		} else {
			r = s.caller.Send(n.settings.Listen, http.MethodGet, "/stock/x", rand.IntN(1<<16))
		}
		s.mu.Lock()
		s.replies = append(s.replies, r)
		s.orders[r.ID] = order
		s.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// report checks every reply against what the servers ran.
func (s *soak) report(problems []string) Report {
	problems = append(problems, s.judge.Problems()...)
	served := 0
	for _, r := range s.replies {
		runs := len(s.judge.Runs(r.ID))
		switch {
		case s.orders[r.ID] && runs > 1:
			problems = append(problems, fmt.Sprintf("order %s ran %d times", r.ID, runs))
		case r.Status == http.StatusServiceUnavailable && runs > 0:
			problems = append(problems, fmt.Sprintf("%s was refused and ran", r.ID))
		case r.Status == http.StatusOK && (runs == 0 || !strings.HasSuffix(r.Body, " "+r.ID)):
			problems = append(problems, fmt.Sprintf("%s got an answer that isn't its own: %q", r.ID, r.Body))
		case r.Status == http.StatusNotFound:
			problems = append(problems, fmt.Sprintf("%s got 404 on a route that every configuration has", r.ID))
		case r.Status == http.StatusOK:
			served++
		}
	}
	return Report{Seed: s.config.Seed, Faults: s.faults, Requests: len(s.replies), Served: served, Problems: problems}
}

func (s *soak) end() {
	for _, n := range s.nodes {
		n.kill()
		n.endServer()
		n.closeProxies()
	}
}

// logFile opens the file that takes a process's output. Later starts of the process append to it.
func (s *soak) logFile(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(s.config.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, errors.WithStack(err)
}
