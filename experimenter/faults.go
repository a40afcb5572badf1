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

// Targets of the design page.
const (
	unavailableTarget = 2 * time.Second
	leavingTarget     = 3 * time.Second
	lagTarget         = 4 * time.Second
)

// fencedService and unfencedService are the two keyed services. Servers of the second one don't check grants.
const (
	fencedService   = "desk"
	unfencedService = "stock"
)

type faultsResult struct {
	Experiment            string `json:"experiment"`
	Seed                  uint64 `json:"seed"`
	Requests              uint64 `json:"requests"`
	Answered              uint64 `json:"answered"`
	OwnersOverlapping     int    `json:"owners_overlapping"`
	Doubled               int    `json:"doubled"`
	Crossed               uint64 `json:"crossed"`
	Truncated             uint64 `json:"truncated"`
	NotRunButRan          int    `json:"not_run_but_ran"`
	Unjudged              uint64 `json:"unjudged"`
	CutInFlight           int64  `json:"cut_in_flight"`
	InFlightSent          int64  `json:"in_flight_sent"`
	ConfigReverted        int    `json:"config_reverted"`
	AssignmentsLost       int    `json:"assignments_lost"`
	StatusesChecked       int    `json:"statuses_checked"`
	PoisonCrashes         uint64 `json:"poison_crashes_max"`
	UnavailableMs         int64  `json:"unavailable_ms_max"`
	UnavailableUnfencedMs int64  `json:"unavailable_unfenced_ms_max"`
	// The next six are those of the other ways to lose an owner. An owner that is lost in any way together with one of its
	// guardians counts only there, since its successor has to wait for the guardian's removal first.
	WithGuardianUnavailable unavailable `json:"unavailable_with_guardian"`
	CutPeersUnavailable     unavailable `json:"unavailable_cut_from_peers"`
	CutBothUnavailable      unavailable `json:"unavailable_cut_from_both"`
	OneWayUnavailable       unavailable `json:"unavailable_cut_one_way"`
	ServerCrashUnavailable  unavailable `json:"unavailable_server_crash"`
	ServerFreezeUnavailable unavailable `json:"unavailable_server_freeze"`
	// UnavailableBoundMs are the exclusive bounds of all of these. Successors of an unfenced server wait max_request first,
	// but not after its crash, which ends its requests.
	UnavailableBoundMs         int64    `json:"unavailable_bound_ms"`
	UnavailableUnfencedBoundMs int64    `json:"unavailable_unfenced_bound_ms"`
	LiveUnavailableMs          int64    `json:"live_owner_unavailable_ms"`
	ProbeResolutionMs          int64    `json:"probe_resolution_ms"`
	LeavingMs                  int64    `json:"leaving_server_new_work_ms"`
	ConfigLagMs                int64    `json:"config_lag_ms_max"`
	ConfigLagAt                string   `json:"config_lag_at"`
	Directory                  string   `json:"directory,omitempty"`
	Schedule                   []*fault `json:"schedule"`
	Failures                   []string `json:"failures,omitempty"`
}

func newFaultsResult(seed uint64) *faultsResult {
	return &faultsResult{
		Experiment: "faults", Seed: seed, ProbeResolutionMs: probeInterval.Milliseconds(),
		UnavailableBoundMs:         unavailableTarget.Milliseconds(),
		UnavailableUnfencedBoundMs: unfencedTarget(faultConfiguration()).Milliseconds(),
	}
}

// Broken implements Result.
func (r *faultsResult) Broken() (broken []string) {
	for _, count := range []struct {
		what  string
		count int64
	}{
		{"executions of a key that overlap or go back in epoch", int64(r.OwnersOverlapping)},
		{"non-repeatable requests that ran twice", int64(r.Doubled)},
		{"answers of another request", int64(r.Crossed)},
		{"truncated answers", int64(r.Truncated)},
		{"requests told not run that ran", int64(r.NotRunButRan)},
		{"requests cut by a planned stop", r.CutInFlight},
		{"reverted configurations", int64(r.ConfigReverted)},
		{"lost assignments", int64(r.AssignmentsLost)},
		{"unjudged executions", int64(r.Unjudged)},
		{"crashes by one poison request beyond two", int64(r.PoisonCrashes) - 2},
	} {
		if count.count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", count.count, count.what))
		}
	}
	for _, bound := range append(r.availability(),
		timeBound{"key of a live owner unavailable in a fault of the log", r.LiveUnavailableMs, time.Millisecond},
		timeBound{"new work at a leaving server", r.LeavingMs, leavingTarget},
		timeBound{"configuration lag", r.ConfigLagMs, lagTarget},
	) {
		if bound.ms >= bound.exclusive.Milliseconds() {
			broken = append(broken, fmt.Sprintf("%s for %d ms; promised: below %s", bound.what, bound.ms, bound.exclusive))
		}
	}
	return append(broken, r.Failures...)
}

// faultRun is a run of the experiment.
type faultRun struct {
	fleet   *launcher.Fleet
	options Options
	started time.Time
	watch   *watcher
	probes  []*probe
	faults  []*fault
	result  *faultsResult

	mu sync.Mutex
	// hit counts the faults that each process has now, and gone holds the fault by which a process is lost now.
	hit     map[int]int
	gone    map[int]*fault
	leaving []leavingServer
	lost    []lostOwner
}

// leavingServer is a backend server that announced that it drains, by the clock of package timer.
type leavingServer struct {
	name     string
	from, to time.Duration
}

func faultServices() []launcher.Service {
	settings := backend(8 * time.Millisecond)
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
		Duration: validator.Duration(duration), Seed: seed, Resends: 4, ResendDelay: validator.Duration(200 * time.Millisecond),
		Streams: []generator.Stream{
			{Name: "reservations", Rate: 120, Service: "desk", Path: "/echo", Method: "POST", Keys: 200, KeyPrefix: "order-", Skew: 0.8, NonRepeatable: true, BodySize: 700},
			{Name: "dues", Rate: 80, Service: "desk", Path: "/dues", Keys: 200, KeyPrefix: "order-", Skew: 0.8},
			{Name: "stock", Rate: 150, Service: "stock", Path: "/size/3000", Keys: 300, KeyPrefix: "bolt-", Skew: 0.9},
			{Name: "stock-holds", Rate: 60, Service: "stock", Path: "/echo", Method: "POST", Keys: 300, KeyPrefix: "bolt-", NonRepeatable: true},
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
	starting, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	f, err := launcher.Start(starting, launcher.Config{
		Directory: directory, Services: faultServices(), Zones: []string{"a", "b", "c", "d"},
		Configuration: faultConfiguration(), Command: o.Command, Seed: o.Seed, Disturbed: true,
	})
	if err != nil {
		return nil, err
	}
	r := &faultRun{
		fleet: f, options: o, hit: map[int]int{}, gone: map[int]*fault{}, result: newFaultsResult(o.Seed),
	}
	r.faults = schedule(o.Seed, o.Duration, len(f.Nodes))
	// Pairs of processes that guard each other, which form while a fleet starts, end in this time.
	const settling = 8 * time.Second
	time.Sleep(settling)
	err = r.run(ctx)
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	if len(r.result.Broken()) == 0 {
		return r.result, os.RemoveAll(directory)
	}
	r.result.Directory = directory
	fmt.Fprintf(o.Progress, "logs of the processes: %s\n", directory)
	return r.result, nil
}

func (r *faultRun) run(ctx context.Context) error {
	r.started = time.Now()
	r.watch = newWatcher(r.fleet, r.started)
	for _, service := range []string{fencedService, unfencedService} {
		for i := range probedKeys {
			r.probes = append(r.probes, &probe{service: service, key: fmt.Sprintf("probe-%d", i)})
		}
	}
	for _, p := range r.probes {
		r.watch.keys = append(r.watch.keys, watchedKey{p.service, p.key})
	}
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.watch.run(background) })
	for _, p := range r.probes {
		tasks.Go(func() { p.run(background, r.entry, r.started) })
	}
	var report generator.Report
	var loadErr error
	var load sync.WaitGroup
	load.Go(func() { report, loadErr = generator.Run(ctx, faultLoad(r.fleet, r.options.Seed, r.options.Duration)) })
	var faults sync.WaitGroup
	for _, f := range r.faults {
		faults.Go(func() { r.inflict(ctx, f) })
	}
	load.Wait()
	faults.Wait()
	ended := time.Since(r.started)
	cancel()
	tasks.Wait()
	if loadErr != nil {
		return loadErr
	}
	r.judge(report, ended)
	return nil
}

// entry returns a process without fault for a probe.
func (r *faultRun) entry(i int) *launcher.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.fleet.Nodes {
		node := (i + k) % len(r.fleet.Nodes)
		if r.hit[node] == 0 && r.fleet.Nodes[node].Running() {
			return r.fleet.Nodes[node]
		}
	}
	return nil
}

func (r *faultRun) judge(report generator.Report, ended time.Duration) {
	s := judgeSafety(r.fleet, report)
	out := r.result
	for _, stream := range report.Streams {
		out.Requests += stream.Sent
		out.Answered += stream.Answered
	}
	out.OwnersOverlapping, out.Doubled, out.NotRunButRan = s.Overlaps+s.Inversions, s.Doubled, s.NotRunButRan
	out.Crossed, out.Truncated, out.Unjudged = s.Crossed, s.Truncated, s.Unjudged
	out.Schedule = r.faults
	r.judgeAvailability()
	out.LeavingMs = r.leavingWork().Milliseconds()
	lag, where := r.watch.configurationLag(r.faulted, ended)
	out.ConfigLagMs, out.ConfigLagAt = lag.Milliseconds(), where
	out.ConfigReverted += r.watch.reverted
	out.AssignmentsLost, out.StatusesChecked = r.watch.lost, r.watch.checked
	for _, n := range r.fleet.Nodes {
		if !n.Running() {
			out.Failures = append(out.Failures, fmt.Sprintf("process %s does not run at the end", n.Name))
		}
	}
	for _, p := range r.probes {
		// The fleet must be whole again at the end.
		if p.worst(ended-time.Second, ended) >= time.Second {
			out.Failures = append(out.Failures, fmt.Sprintf("key %s of %s is not served at the end", p.key, p.service))
		}
	}
}

// leavingWork returns the longest time after which a leaving server still got new work.
func (r *faultRun) leavingWork() (worst time.Duration) {
	for _, e := range r.fleet.Ledger.Report().Executions {
		for _, l := range r.leaving {
			if e.Server == l.name && e.Start > l.from && e.Start < l.to && e.Status != emulator.Fenced {
				worst = max(worst, e.Start-l.from)
			}
		}
	}
	return worst
}

// faulted returns how much of a time a process was hit by a fault, or the log.
func (r *faultRun) faulted(node int, from, to time.Duration) (total time.Duration) {
	for _, f := range r.faults {
		if f.Node != node && !logFault(f.Kind) && f.Kind != faultRolling {
			continue
		}
		// A process needs a moment after its fault to read on, or to start.
		total += max(0, min(to, f.end()+time.Second)-max(from, f.begin()))
	}
	return total
}
