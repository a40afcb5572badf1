package experimenter

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "faults", Short: "the invariants under a schedule of faults", Duration: time.Minute, Run: runFaults,
})

// Targets from docs/design.md.
const (
	unavailableTarget      = 2 * time.Second
	drainingTarget         = 3 * time.Second
	configurationLagTarget = 4 * time.Second
)

// fencedService and unfencedService are the two keyed services. Servers of unfencedService don't check grants.
const (
	fencedService   = "desk"
	unfencedService = "stock"
)

type faultsResult struct {
	Experiment        string `json:"experiment"`
	Seed              uint64 `json:"seed"`
	Requests          uint64 `json:"requests"`
	Answered          uint64 `json:"answered"`
	OwnersOverlapping int    `json:"owners_overlapping"`
	Duplicates        int    `json:"doubled"`
	Mismatched        uint64 `json:"crossed"`
	Truncated         uint64 `json:"truncated"`
	NotRunButRan      int    `json:"not_run_but_ran"`
	Unchecked         uint64 `json:"unjudged"`
	// CutInFlight counts the requests that failed because of a planned stop, InFlightSent those at the stopped
	// processes that got a response.
	CutInFlight    int64 `json:"cut_in_flight"`
	InFlightSent   int64 `json:"in_flight_sent"`
	ConfigReverted int   `json:"config_reverted"`
	// AssignmentsLost counts the statuses, of StatusesChecked, whose owned ranges differ from the log.
	AssignmentsLost int    `json:"assignments_lost"`
	StatusesChecked int    `json:"statuses_checked"`
	PoisonCrashes   uint64 `json:"poison_crashes_max"`
	// UnavailableMs and UnavailableUnfencedMs are the longest times for which a key was not served after its owner was
	// killed or frozen.
	UnavailableMs         int64 `json:"unavailable_ms_max"`
	UnavailableUnfencedMs int64 `json:"unavailable_unfenced_ms_max"`
	// The next six cover the other ways to lose an owner. An owner that is lost together with one of its guardians
	// counts only in WithGuardianUnavailable, since its keys can be taken over only after the guardian was removed.
	WithGuardianUnavailable maxUnavailability `json:"unavailable_with_guardian"`
	CutPeersUnavailable     maxUnavailability `json:"unavailable_cut_from_peers"`
	CutBothUnavailable      maxUnavailability `json:"unavailable_cut_from_both"`
	OneWayUnavailable       maxUnavailability `json:"unavailable_cut_one_way"`
	ServerCrashUnavailable  maxUnavailability `json:"unavailable_server_crash"`
	ServerFreezeUnavailable maxUnavailability `json:"unavailable_server_freeze"`
	// UnavailableBoundMs and UnavailableUnfencedBoundMs are the exclusive upper bounds of these times. The next owner
	// after an unfenced server waits max_request first, except after a crash of the server, which ends its requests.
	UnavailableBoundMs         int64 `json:"unavailable_bound_ms"`
	UnavailableUnfencedBoundMs int64 `json:"unavailable_unfenced_bound_ms"`
	// LiveUnavailableMs is the longest time for which a key was not served during a fault that takes no owner away, or
	// 0 if it is within the resolution of the probes.
	LiveUnavailableMs int64 `json:"live_owner_unavailable_ms"`
	ProbeResolutionMs int64 `json:"probe_resolution_ms"`
	// LeavingMs is the longest time after which a draining server still got new work.
	LeavingMs int64 `json:"leaving_server_new_work_ms"`
	// ConfigLagMs is the longest time until a process had a new configuration in force, without the time of its faults.
	// ConfigLagAt describes the version and the process.
	ConfigLagMs int64    `json:"config_lag_ms_max"`
	ConfigLagAt string   `json:"config_lag_at"`
	Directory   string   `json:"directory,omitempty"`
	Schedule    []*fault `json:"schedule"`
	Failures    []string `json:"failures,omitempty"`
}

func newFaultsResult(seed uint64) *faultsResult {
	return &faultsResult{
		Experiment: "faults", Seed: seed, ProbeResolutionMs: probeInterval.Milliseconds(),
		UnavailableBoundMs:         unavailableTarget.Milliseconds(),
		UnavailableUnfencedBoundMs: unfencedTarget(faultConfiguration()).Milliseconds(),
	}
}

// Violations implements Result.
func (r *faultsResult) Violations() (violations []string) {
	for _, violation := range []struct {
		description string
		count       int64
	}{
		{"executions of a key that overlap or follow one with a newer epoch", int64(r.OwnersOverlapping)},
		{"non-repeatable requests that ran twice", int64(r.Duplicates)},
		{"responses that belong to another request", int64(r.Mismatched)},
		{"truncated responses presented as complete", int64(r.Truncated)},
		{"requests reported as not run that ran", int64(r.NotRunButRan)},
		{"requests interrupted by a planned stop", r.CutInFlight},
		{"reverted configurations", int64(r.ConfigReverted)},
		{"statuses whose owned ranges differ from the log", int64(r.AssignmentsLost)},
		{"executions and request ids dropped without a check", int64(r.Unchecked)},
		{"server crashes by one poison request beyond the allowed two", int64(r.PoisonCrashes) - 2},
	} {
		if violation.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", violation.count, violation.description))
		}
	}
	for _, bound := range append(r.availability(),
		timeBound{"key of a live owner unavailable during a fault of the log", r.LiveUnavailableMs, time.Millisecond},
		timeBound{"new work at a draining server", r.LeavingMs, drainingTarget},
		timeBound{"configuration lag", r.ConfigLagMs, configurationLagTarget},
	) {
		if bound.measuredMs >= bound.limit.Milliseconds() {
			violations = append(violations, fmt.Sprintf("%s for %d ms, the limit is %s (exclusive)",
				bound.description, bound.measuredMs, bound.limit))
		}
	}
	return append(violations, r.Failures...)
}

// faultRun is a run of the experiment.
type faultRun struct {
	fleet   *launcher.Fleet
	options Options
	started time.Time
	watcher *watcher
	probes  []*probe
	faults  []*fault
	result  *faultsResult

	mu sync.Mutex
	// activeFaults counts the current faults of each process by its index, and lostProcesses holds the fault by which a
	// process is currently lost.
	activeFaults    map[int]int
	lostProcesses   map[int]*fault
	drainingServers []drainingServer
	lostOwners      []lostOwner
}

// drainingServer is a period in which a backend server announced that it drains, by the clock of package timer.
type drainingServer struct {
	name     string
	from, to time.Duration
}

func faultServices() []launcher.Service {
	settings := backendSettings(8 * time.Millisecond)
	return []launcher.Service{
		{Name: "desk", Servers: 5, Slots: 12, Connections: 130, Settings: settings},
		{Name: "stock", Servers: 5, Slots: 12, Connections: 130, Settings: settings, Unfenced: true},
		{Name: "archive", Servers: 4, Slots: 12, Connections: 130, Settings: settings},
	}
}

func faultConfiguration() validator.Configuration {
	ms := func(d time.Duration) validator.Duration { return validator.Duration(d) }
	return validator.Configuration{
		Services: map[string]validator.Service{
			"desk":    {Keyed: true, InitialRanges: 100, MaxRequestTime: ms(time.Second), IdempotencyWindow: ms(time.Minute)},
			"stock":   {Keyed: true, InitialRanges: 120, MaxRequestTime: ms(500 * time.Millisecond), IdempotencyWindow: ms(time.Minute)},
			"archive": {MaxRequestTime: ms(time.Second)},
		},
		Ranks: map[string]validator.Rank{
			"order":   {Urgency: 0, Floor: 0.3, LatencyTarget: ms(250 * time.Millisecond)},
			"stock":   {Urgency: 1, Floor: 0.3, LatencyTarget: ms(150 * time.Millisecond)},
			"pattern": {Urgency: 2, Floor: 0.1, LatencyTarget: ms(time.Second)},
		},
		Rules: []validator.Rule{
			{Name: "desk", Service: "desk", Rank: "order"},
			{Name: "stock", Service: "stock", Rank: "stock"},
			{Name: "archive", Service: "archive", Rank: "pattern"},
		},
		Policy: validator.Policy{Operators: []string{"liis", "tormi"}},
	}
}

func faultLoad(f *launcher.Fleet, seed uint64, duration time.Duration) generator.Config {
	c := generator.Config{
		Duration: validator.Duration(duration), Seed: seed, Retries: 4, RetryDelay: validator.Duration(200 * time.Millisecond),
		Streams: []generator.Stream{
			{Name: "reservations", Rate: 120, Service: "desk", Path: "/echo", Method: "POST", KeyCount: 200, KeyPrefix: "order-", ZipfExponent: 0.8, NonRepeatable: true, BodySize: 700},
			{Name: "dues", Rate: 80, Service: "desk", Path: "/dues", KeyCount: 200, KeyPrefix: "order-", ZipfExponent: 0.8},
			{Name: "stock", Rate: 150, Service: "stock", Path: "/size/3000", KeyCount: 300, KeyPrefix: "bolt-", ZipfExponent: 0.9},
			{Name: "stock-holds", Rate: 60, Service: "stock", Path: "/echo", Method: "POST", KeyCount: 300, KeyPrefix: "bolt-", NonRepeatable: true},
			{Name: "patterns", Rate: 60, Service: "archive", Path: "/size/60000"},
		},
	}
	for _, n := range f.Nodes {
		c.Entries = append(c.Entries, n.Settings.Listen)
	}
	return c
}

func runFaults(ctx context.Context, o Options) (Result, error) {
	directory, err := os.MkdirTemp("", "hibiscuslab-faults")
	if err != nil {
		return nil, err
	}
	startContext, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	f, err := launcher.Start(startContext, launcher.Config{
		Directory: directory, Services: faultServices(), Zones: []string{"a", "b", "c", "d"},
		Configuration: faultConfiguration(), Command: o.Command, Seed: o.Seed, FaultProxies: true,
	})
	if err != nil {
		return nil, err
	}
	r := &faultRun{
		fleet: f, options: o, activeFaults: map[int]int{}, lostProcesses: map[int]*fault{},
		result: newFaultsResult(o.Seed),
	}
	r.faults = drawSchedule(o.Seed, o.Duration, len(f.Nodes))
	// While a fleet starts, some processes guard each other mutually. Such pairs get other guardians within this time.
	const guardianSettleTime = 8 * time.Second
	time.Sleep(guardianSettleTime)
	err = r.run(ctx)
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	if len(r.result.Violations()) == 0 {
		return r.result, os.RemoveAll(directory)
	}
	r.result.Directory = directory
	fmt.Fprintf(o.Progress, "logs of the processes: %s\n", directory)
	return r.result, nil
}

func (r *faultRun) run(ctx context.Context) error {
	r.started = time.Now()
	r.watcher = newWatcher(r.fleet, r.started)
	for _, service := range []string{fencedService, unfencedService} {
		for i := range probedKeys {
			r.probes = append(r.probes, &probe{service: service, key: fmt.Sprintf("probe-%d", i)})
		}
	}
	for _, p := range r.probes {
		r.watcher.watchedKeys = append(r.watcher.watchedKeys, watchedKey{p.service, p.key})
	}
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.watcher.run(background) })
	for _, p := range r.probes {
		tasks.Go(func() { p.run(background, r.healthyEntry, r.started) })
	}
	var report generator.Report
	var loadErr error
	var load sync.WaitGroup
	load.Go(func() { report, loadErr = generator.Run(ctx, faultLoad(r.fleet, r.options.Seed, r.options.Duration)) })
	var faults sync.WaitGroup
	for _, f := range r.faults {
		faults.Go(func() { r.inject(ctx, f) })
	}
	load.Wait()
	faults.Wait()
	ended := time.Since(r.started)
	cancel()
	tasks.Wait()
	if loadErr != nil {
		return loadErr
	}
	r.evaluate(report, ended)
	return nil
}

// healthyEntry returns a running process without faults for a probe, or nil if there is none.
func (r *faultRun) healthyEntry(i int) *launcher.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.fleet.Nodes {
		node := (i + k) % len(r.fleet.Nodes)
		if r.activeFaults[node] == 0 && r.fleet.Nodes[node].Running() {
			return r.fleet.Nodes[node]
		}
	}
	return nil
}

// evaluate fills in the result after the load has ended.
func (r *faultRun) evaluate(report generator.Report, ended time.Duration) {
	s := checkSafety(r.fleet, report)
	out := r.result
	for _, stream := range report.Streams {
		out.Requests += stream.Sent
		out.Answered += stream.Answered
	}
	out.OwnersOverlapping, out.Duplicates, out.NotRunButRan = s.Overlaps+s.Inversions, s.Duplicates, s.NotRunButRan
	out.Mismatched, out.Truncated, out.Unchecked = s.Mismatched, s.Truncated, s.Unchecked
	out.Schedule = r.faults
	r.measureAvailability()
	out.LeavingMs = r.longestNewWorkWhileDraining().Milliseconds()
	lag, where := r.watcher.configurationLag(r.faultTime, ended)
	out.ConfigLagMs, out.ConfigLagAt = lag.Milliseconds(), where
	out.ConfigReverted += r.watcher.revertedVersions
	out.AssignmentsLost, out.StatusesChecked = r.watcher.lostAssignments, r.watcher.statusesChecked
	for _, n := range r.fleet.Nodes {
		if !n.Running() {
			out.Failures = append(out.Failures, fmt.Sprintf("process %s is not running at the end", n.Name))
		}
	}
	for _, p := range r.probes {
		// The fleet must have recovered from all faults at the end.
		if p.longestGap(ended-time.Second, ended) >= time.Second {
			out.Failures = append(out.Failures, fmt.Sprintf("key %s of service %s is not served at the end",
				p.key, p.service))
		}
	}
}

// longestNewWorkWhileDraining returns the longest time after which a draining server still got new work.
func (r *faultRun) longestNewWorkWhileDraining() (longest time.Duration) {
	for _, e := range r.fleet.Ledger.Report().Executions {
		for _, l := range r.drainingServers {
			if e.Server == l.name && e.Start > l.from && e.Start < l.to && e.Status != emulator.Fenced {
				longest = max(longest, e.Start-l.from)
			}
		}
	}
	return longest
}

// faultTime returns for how much of a period a process or the log had faults. Overlapping faults count several times.
func (r *faultRun) faultTime(node int, from, to time.Duration) (total time.Duration) {
	for _, f := range r.faults {
		if f.Node != node && !isLogFault(f.Kind) && f.Kind != faultRollingRestart {
			continue
		}
		// A process gets a second after a fault to start or to catch up with the log.
		total += max(0, min(to, f.end()+time.Second)-max(from, f.begin()))
	}
	return total
}
