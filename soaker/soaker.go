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

	"hibiscusline/loader"
	"hibiscusline/platform/simulator"
	"hibiscusline/timer"
)

// Config configures a run.
type Config struct {
	// Binary is the path of hibiscusd.
	Binary string
	// Directory is where the settings and logs of the processes are written. It must exist.
	Directory string
	Seed      uint64
	// Duration is the time during which faults are injected. It is divided into series, and after each one come the
	// recovery and a calm spell, which don't count.
	Duration time.Duration
	// StockServers is the number of backend servers of the keyed service, OrderServers that of the unkeyed one.
	StockServers, OrderServers int
	// Grants is how keys are granted to the backend servers. Empty means loader.GrantsByHeartbeat.
	Grants loader.GrantForm
	// Output receives a line for each fault.
	Output io.Writer
}

// Report is the result of a run. Problems has one text for each violation.
type Report struct {
	Seed     uint64 `json:"seed"`
	Faults   int    `json:"faults"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Departures is the number of requests whose callers left before they read a response.
	Departures int `json:"departures"`
	// ConfigurationChecks is the number of responses that had to show the newest configuration.
	ConfigurationChecks int      `json:"configuration_checks"`
	Problems            []string `json:"problems"`
}

const clockFormat = "15:04:05.000"

// Timing and load of a run.
const (
	heartbeatInterval = 150 * time.Millisecond
	maxHold           = 2 * time.Second
	// startTimeout bounds the time from the start until all keys are served, recoveryTimeout the time from the last
	// repair.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	requestInterval = 8 * time.Millisecond
	callerCount     = 6
	// One in departureInterval requests is left by its caller, within maxStay. It may reach a server up to
	// maxDepartureDelay later.
	departureInterval = 4
	maxStay           = 20 * time.Millisecond
	maxDepartureDelay = 500 * time.Millisecond
	faultInterval     = 400 * time.Millisecond
	// A series of faults takes between minSeries and maxSeries, but one in longSeriesInterval takes all the time with faults
	// that is left, since some violations need many faults without a recovery between them.
	minSeries          = 3 * time.Second
	maxSeries          = 6 * time.Second
	longSeriesInterval = 4
	// In a calm spell, a configuration is published up to maxPublicationDelay after all processes are in touch. The spell
	// ends checkTime after the configuration must be in force.
	maxPublicationDelay = time.Second
	checkTime           = time.Second
	// lateGrantShare is the share of the grants by request that get no answer and take effect later.
	lateGrantShare = 0.15
	// keyStep is the distance between the keys that are checked. The keys are 0 to 1<<16 - 1.
	keyStep = 1500
)

type soakRun struct {
	config  Config
	rng     *rand.Rand
	store   *simulator.Store
	checker *simulator.Checker
	caller  simulator.Caller
	nodes   []*node
	faults  int
	touch   touch
	// configurations checks the configurations that are published.
	configurations *configurations

	mu        sync.Mutex
	responses []simulator.Response
	orders    map[string]bool
	// departures holds the requests whose callers left before they read a response.
	departures []simulator.Departure
	repairs    sync.WaitGroup
}

// Run runs processes under faults and reports what it found. It returns an error if the processes could not be started
// or didn't serve all keys in time before the first fault; violations are not errors but part of the report.
func Run(ctx context.Context, c Config) (Report, error) {
	s := &soakRun{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), store: &simulator.Store{}, checker: simulator.NewChecker(),
		caller: simulator.Caller{Host: "h", Timeout: time.Second}, orders: map[string]bool{},
		configurations: newConfigurations(),
	}
	server := httptest.NewServer(s.store)
	defer server.Close()
	storeAddress, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return Report{}, errors.WithStack(err)
	}
	if err := s.publish(); err != nil {
		return Report{}, err
	}
	defer s.stopAll()
	for i := range c.StockServers + c.OrderServers {
		n, err := s.newNode(i, storeAddress)
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
	if unserved := s.awaitServed(ctx, startTimeout); unserved != "" {
		return Report{}, errors.Errorf("not served in time after the start: %s", unserved)
	}
	problems := s.runFaults(ctx)
	return s.report(problems), nil
}

// runFaults runs callers and injects series of faults, each followed by a calm spell, until the time with faults has passed.
// It returns a problem if the processes don't recover in time after a series.
func (s *soakRun) runFaults(ctx context.Context) []string {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range callerCount {
		group.Go(func() { s.runCaller(loadCtx) })
	}
	for _, n := range s.nodes {
		group.Go(func() { s.probeNode(loadCtx, n) })
	}
	var problems []string
	for left := s.config.Duration; left > 0 && len(problems) == 0 && ctx.Err() == nil; {
		series := minSeries + time.Duration(s.rng.Int64N(int64(maxSeries-minSeries)))
		if s.rng.IntN(longSeriesInterval) == 0 || left-series < minSeries {
			series = left
		}
		left -= series
		s.runSeries(ctx, series)
		problems = append(problems, s.checkRecovery(ctx)...)
		if s.rng.IntN(2) == 0 {
			// All processes have recovered, so their reads wait at the store.
			s.injectFault(s.unansweredReadKinds())
			s.repairs.Wait()
			problems = append(problems, s.checkRecovery(ctx)...)
		}
		if err := s.publishInCalm(ctx); err != nil {
			problems = append(problems, err.Error())
		}
	}
	stopLoad()
	group.Wait()
	return problems
}

// runSeries injects faults for a time and waits until all are repaired. The time is counted by the intervals between the
// faults, so that a seed always makes the same choices.
func (s *soakRun) runSeries(ctx context.Context, series time.Duration) {
	for series > 0 && ctx.Err() == nil {
		s.injectFault(s.faultKinds())
		interval := faultInterval/2 + time.Duration(s.rng.Int64N(int64(faultInterval)))
		series -= interval
		time.Sleep(interval)
	}
	s.repairs.Wait()
}

// checkRecovery waits for the recovery and returns a problem if it doesn't come in time.
func (s *soakRun) checkRecovery(ctx context.Context) []string {
	if unserved := s.awaitServed(ctx, recoveryTimeout); unserved != "" {
		return []string{fmt.Sprintf("not served %v after the last fault: %s", recoveryTimeout, unserved)}
	}
	return nil
}

// publishInCalm publishes a configuration when all processes are in touch, and waits until it was checked that it is in
// force.
func (s *soakRun) publishInCalm(ctx context.Context) error {
	var calm time.Time
	for _, n := range s.nodes {
		if since, _ := s.touch.since(n, time.Now()); since.After(calm) {
			calm = since
		}
	}
	timer.Sleep(ctx, time.Until(calm)+time.Duration(s.rng.Int64N(int64(maxPublicationDelay))))
	if err := s.publish(); err != nil {
		return err
	}
	fmt.Fprintf(s.config.Output, "%s new configuration published in calm\n", time.Now().Format(clockFormat))
	timer.Sleep(ctx, s.configurations.bound+checkTime)
	return nil
}

// awaitServed waits until every process serves the keys, sampled in steps of keyStep, and the newest route, which leads
// to the service of the orders. It returns what still isn't served at the timeout, or "".
func (s *soakRun) awaitServed(ctx context.Context, timeout time.Duration) string {
	unserved := "no request was sent"
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; {
		if unserved = s.firstUnserved(); unserved == "" {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return unserved
}

func (s *soakRun) firstUnserved() string {
	for _, n := range s.nodes {
		for key := 0; key < 1<<16; key += keyStep {
			if r := s.caller.Send(n.settings.Listen, http.MethodGet, "/stock/x", key); r.Status != http.StatusOK {
				return fmt.Sprintf("key %d at %s: status %d", key, n.settings.Name, r.Status)
			}
		}
		newest := route(s.configurations.newest()) + "x"
		if r := s.caller.Send(n.settings.Listen, http.MethodGet, newest, simulator.NoKey); r.Status != http.StatusOK {
			return fmt.Sprintf("%s at %s: status %d", newest, n.settings.Name, r.Status)
		}
	}
	return ""
}

// runCaller sends requests to random processes and records the responses until the context ends.
func (s *soakRun) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		n := s.nodes[rand.IntN(len(s.nodes))]
		order := rand.IntN(2) == 0
		method, path, key := http.MethodGet, "/stock/x", rand.IntN(1<<16)
		if order {
			method, path, key = http.MethodPost, "/orders/1", simulator.NoKey
		}
		if rand.IntN(departureInterval) == 0 {
			s.leave(n, method, path, key)
			continue
		}
		r := s.caller.Send(n.settings.Listen, method, path, key)
		s.record(r, order)
		time.Sleep(requestInterval)
	}
}

// record keeps a response for the checks at the end of the run.
func (s *soakRun) record(r simulator.Response, order bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses = append(s.responses, r)
	s.orders[r.ID] = order
}

// leave sends a request and leaves after a short time.
func (s *soakRun) leave(n *node, method, path string, key int) {
	d, err := s.caller.Leave(n.settings.Listen, method, path, key, time.Duration(rand.Int64N(int64(maxStay))))
	if err != nil {
		return // The process is down.
	}
	s.mu.Lock()
	s.departures = append(s.departures, d)
	s.mu.Unlock()
}

// report checks every response against the executions at the backend servers, and adds the problems it finds.
func (s *soakRun) report(problems []string) Report {
	problems = append(problems, s.checker.Problems()...)
	problems = append(problems, s.configurations.problems()...)
	served := 0
	for _, r := range s.responses {
		runs := len(s.checker.Runs(r.ID))
		switch {
		case s.orders[r.ID] && runs > 1:
			problems = append(problems, fmt.Sprintf("order %s was executed %d times", r.ID, runs))
		case r.Status == http.StatusServiceUnavailable && runs > 0:
			problems = append(problems, fmt.Sprintf("request %s was refused but executed", r.ID))
		case r.Status == http.StatusOK && (runs == 0 || !strings.HasSuffix(r.Body, " "+r.ID)):
			problems = append(problems, fmt.Sprintf("request %s got a response that is not its own: %q", r.ID, r.Body))
		case r.Status == http.StatusNotFound:
			problems = append(problems, fmt.Sprintf("request %s got status 404 on a route that every configuration has", r.ID))
		case r.Status == http.StatusOK:
			served++
		}
	}
	for _, d := range s.departures {
		if s.checker.RunsAfter(d.ID, d.At.Add(maxDepartureDelay)) > 0 {
			problems = append(problems, fmt.Sprintf("request %s reached a server over %v after its caller had left", d.ID, maxDepartureDelay))
		}
	}
	return Report{
		Seed: s.config.Seed, Faults: s.faults, Requests: len(s.responses), Served: served, Departures: len(s.departures),
		ConfigurationChecks: s.configurations.checks, Problems: problems,
	}
}

func (s *soakRun) stopAll() {
	for _, n := range s.nodes {
		n.kill()
		n.stopServer()
		n.closeProxies()
	}
}

// logFile opens the log file of a process for appending, so that it keeps the output of earlier starts.
func (s *soakRun) logFile(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(s.config.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, errors.WithStack(err)
}
