package experimenter

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "overhead", Short: "latency that the router adds, and requests per second on one core of hibiscusd",
	Duration: 30 * time.Second, Run: runOverhead,
})

const (
	// overheadRounds is the number of rounds. Each measures all paths, so that slow phases of the machine affect them
	// alike.
	overheadRounds = 3
	// overheadRate is the rate of the open loop in requests per second. It is far below the capacity of one core, so
	// that the latencies include no queueing.
	overheadRate    = 500
	overheadWorkers = 16
	overheadSlots   = 64
)

// OverheadResult compares three paths of the same load to backend servers that answer immediately.
type OverheadResult struct {
	// Requests of Direct go straight to the backend server, those of Owner through the hibiscusd that owns the key, and
	// those of Forwarded through another hibiscusd, which forwards them to the owner.
	Direct    PathCost `json:"direct"`
	Owner     PathCost `json:"owner"`
	Forwarded PathCost `json:"forwarded"`
	// The ratios are relative to Direct.
	OwnerRatio     LatencyRatios `json:"owner_ratio"`
	ForwardedRatio LatencyRatios `json:"forwarded_ratio"`
	// Loss counts requests that were not answered.
	Loss uint64 `json:"loss"`
}

// PathCost holds medians over the rounds. Each hibiscusd has one core (GOMAXPROCS=1).
type PathCost struct {
	// Open holds the latencies in an open loop with a fixed rate, Closed those in a closed loop with a fixed number of
	// workers.
	Open   LatencyQuantiles `json:"open"`
	Closed LatencyQuantiles `json:"closed"`
	// ClosedRate is the number of requests per second in the closed loop.
	ClosedRate float64 `json:"closed_rate"`
	// EntryCPUMicros and OwnerCPUMicros are the CPU times per request of the processes on the path, in the closed loop.
	EntryCPUMicros float64 `json:"entry_cpu_us"`
	OwnerCPUMicros float64 `json:"owner_cpu_us"`
	// RequestsPerCore is the number of requests per second that one core of the entry can handle, from its CPU time.
	RequestsPerCore float64 `json:"entry_requests_per_core"`
}

// LatencyQuantiles holds quantiles in milliseconds.
type LatencyQuantiles struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// LatencyRatios holds the latency quantiles of one path divided by those of another.
type LatencyRatios struct {
	OpenP50   float64 `json:"open_p50"`
	OpenP99   float64 `json:"open_p99"`
	ClosedP50 float64 `json:"closed_p50"`
	ClosedP99 float64 `json:"closed_p99"`
}

// Violations implements Result. Only lost requests are violations; there is no limit on the latency.
func (o OverheadResult) Violations() []string {
	if o.Loss > 0 {
		return []string{fmt.Sprintf("%d requests were not answered", o.Loss)}
	}
	return nil
}

// requestPath is a path of requests to the backend server.
type requestPath struct {
	name   string
	entry  netip.AddrPort
	direct bool
	// nodes are the hibiscusd processes on the path, from the entry to the owner.
	nodes []*launcher.Node
	// costs holds the measurement of each round.
	costs []PathCost
}

func runOverhead(ctx context.Context, o Options) (Result, error) {
	all, err := customers()
	if err != nil {
		return nil, err
	}
	c := all[0]
	// Moves are disabled, since the only key is hot and its owner must stay the same while the paths are compared.
	c.configuration.Placements = maps.Clone(c.configuration.Placements)
	for name, p := range c.configuration.Placements {
		p.MaxMovesPerMinute = 0
		c.configuration.Placements[name] = p
	}
	f, err := launcher.Start(ctx, launcher.Config{
		Services: []launcher.Service{{Name: c.stock, Servers: 2, Slots: overheadSlots, Connections: 2 * overheadSlots}},
		Zones:    c.zones[:2], Configuration: c.configuration, Seed: o.Seed, Command: limitToOneCore(o.Command),
	})
	if err != nil {
		return nil, err
	}
	result, err := measureOverhead(ctx, o, f, c.stock)
	if stopErr := f.Stop(); err == nil {
		err = stopErr
	}
	return result, err
}

// limitToOneCore limits each hibiscusd to one core, so that its CPU time is that of one core.
func limitToOneCore(command func(string) *exec.Cmd) func(string) *exec.Cmd {
	return func(settings string) *exec.Cmd {
		c := command(settings)
		if c.Env == nil {
			c.Env = os.Environ()
		}
		c.Env = append(c.Env, "GOMAXPROCS=1")
		return c
	}
}

func measureOverhead(ctx context.Context, o Options, f *launcher.Fleet, service string) (OverheadResult, error) {
	const key = "k0"
	member, _, err := f.Owner(ctx, service, key)
	if err != nil {
		return OverheadResult{}, err
	}
	i := slices.IndexFunc(f.Nodes, func(n *launcher.Node) bool { return n.Name == member.Name })
	owner, nonOwner := f.Nodes[i], f.Nodes[1-i]
	paths := []*requestPath{
		{name: "direct", entry: owner.Server.Address(), direct: true},
		{name: "owner", entry: owner.Settings.Listen, nodes: []*launcher.Node{owner}},
		{name: "forwarded", entry: nonOwner.Settings.Listen, nodes: []*launcher.Node{nonOwner, owner}},
	}
	var result OverheadResult
	phaseDuration := o.Duration / time.Duration(overheadRounds*len(paths)*2)
	for round := range overheadRounds {
		for _, p := range paths {
			cost, lost, err := p.measure(ctx, o.Seed+uint64(round), service, key, phaseDuration)
			if err != nil {
				return result, errors.WithMessage(err, p.name)
			}
			currentOwner, _, err := f.Owner(ctx, service, key)
			if err != nil {
				return result, err
			}
			if currentOwner.ID != member.ID {
				return result, errors.New("the owner of the measured key changed during the measurement")
			}
			result.Loss += lost
			p.costs = append(p.costs, cost)
			reportProgress(o, "round %d, %s: closed loop %.0f requests/s, open loop p50 %.2f ms, p99 %.2f ms\n",
				round+1, p.name, cost.ClosedRate, cost.Open.P50, cost.Open.P99)
		}
	}
	result.Direct, result.Owner, result.Forwarded = paths[0].medianCost(), paths[1].medianCost(), paths[2].medianCost()
	result.OwnerRatio, result.ForwardedRatio =
		result.Owner.ratioTo(result.Direct), result.Forwarded.ratioTo(result.Direct)
	return result, nil
}

func reportProgress(o Options, format string, values ...any) {
	if o.Progress != nil {
		// A failure to write progress messages must not abort the experiment.
		_, _ = fmt.Fprintf(o.Progress, format, values...)
	}
}

// measure returns the costs of the path and the number of requests that were not answered.
func (p *requestPath) measure(
	ctx context.Context, seed uint64, service, key string, duration time.Duration,
) (PathCost, uint64, error) {
	var cost PathCost
	report, err := generator.Run(ctx, generator.Config{
		Entries: []netip.AddrPort{p.entry}, Duration: validator.Duration(duration), Seed: seed, Direct: p.direct,
		Streams: []generator.Stream{{Name: "all", Rate: overheadRate, Service: service, Path: "/", KeyCount: 1, KeyPrefix: key[:len(key)-1]}},
	})
	if err != nil {
		return cost, 0, err
	}
	all := report.Ranks[0]
	cost.Open = LatencyQuantiles{P50: all.Latency.P50, P99: all.Latency.P99}
	before, err := p.cpuTimes()
	if err != nil {
		return cost, 0, err
	}
	closed := closedLoop{entry: p.entry, service: service, key: key, direct: p.direct}
	closed.run(ctx, overheadWorkers, duration)
	after, err := p.cpuTimes()
	if err != nil {
		return cost, 0, err
	}
	cost.Closed, cost.ClosedRate = closed.latency(), float64(closed.answered)/duration.Seconds()
	cpuMicrosPerRequest := func(i int) float64 {
		return float64((after[i] - before[i]).Microseconds()) / max(1, float64(closed.answered))
	}
	if len(p.nodes) > 0 {
		cost.EntryCPUMicros, cost.OwnerCPUMicros = cpuMicrosPerRequest(0), cpuMicrosPerRequest(len(p.nodes)-1)
		cost.RequestsPerCore = 1e6 / max(cost.EntryCPUMicros, 1e-3)
	}
	return cost, all.Sent - all.Answered + closed.failed, nil
}

// cpuTimes returns the CPU time that each process on the path has used.
func (p *requestPath) cpuTimes() ([]time.Duration, error) {
	used := make([]time.Duration, len(p.nodes))
	for i, n := range p.nodes {
		var err error
		if used[i], err = processCPU(n.PID()); err != nil {
			return nil, err
		}
	}
	return used, nil
}

// medianCost returns the median of each value over the rounds.
func (p *requestPath) medianCost() PathCost {
	medianOf := func(get func(PathCost) float64) float64 {
		var values []float64
		for _, c := range p.costs {
			values = append(values, get(c))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return PathCost{
		Open: LatencyQuantiles{
			P50: medianOf(func(c PathCost) float64 { return c.Open.P50 }),
			P99: medianOf(func(c PathCost) float64 { return c.Open.P99 }),
		},
		Closed: LatencyQuantiles{
			P50: medianOf(func(c PathCost) float64 { return c.Closed.P50 }),
			P99: medianOf(func(c PathCost) float64 { return c.Closed.P99 }),
		},
		ClosedRate:      medianOf(func(c PathCost) float64 { return c.ClosedRate }),
		EntryCPUMicros:  medianOf(func(c PathCost) float64 { return c.EntryCPUMicros }),
		OwnerCPUMicros:  medianOf(func(c PathCost) float64 { return c.OwnerCPUMicros }),
		RequestsPerCore: medianOf(func(c PathCost) float64 { return c.RequestsPerCore }),
	}
}

func (c PathCost) ratioTo(direct PathCost) LatencyRatios {
	return LatencyRatios{
		OpenP50: ratio(c.Open.P50, direct.Open.P50), OpenP99: ratio(c.Open.P99, direct.Open.P99),
		ClosedP50: ratio(c.Closed.P50, direct.Closed.P50), ClosedP99: ratio(c.Closed.P99, direct.Closed.P99),
	}
}
