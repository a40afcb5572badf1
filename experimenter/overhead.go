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
	Name: "overhead", Short: "latency that the router adds, and requests a core of one hibiscusd",
	Duration: 30 * time.Second, Run: runOverhead,
})

const (
	// overheadRounds interleave the paths, so that a slow moment of the machine meets all of them.
	overheadRounds = 3
	// overheadRate is far from what one core carries, so that the open loop measures latency and no queue.
	overheadRate    = 500
	overheadWorkers = 16
	overheadSlots   = 64
)

// Overhead compares three paths of the same load to backend servers that answer at once.
type Overhead struct {
	// Direct goes to the backend server, Owner through the hibiscusd beside the owner, Forwarded through another one.
	Direct    PathCost `json:"direct"`
	Owner     PathCost `json:"owner"`
	Forwarded PathCost `json:"forwarded"`
	// Ratios are to Direct.
	OwnerRatio     LatencyRatio `json:"owner_ratio"`
	ForwardedRatio LatencyRatio `json:"forwarded_ratio"`
	// Loss counts requests that were not answered.
	Loss uint64 `json:"loss"`
}

// PathCost holds medians over the rounds. Each hibiscusd has one core (GOMAXPROCS=1).
type PathCost struct {
	// Open and Closed are the latencies in an open loop at a fixed rate and in a closed loop of workers.
	Open   LatencyPair `json:"open"`
	Closed LatencyPair `json:"closed"`
	// Rate is the requests per second of the closed loop.
	Rate float64 `json:"closed_rate"`
	// EntryCPU and OwnerCPU are processor microseconds a request of the processes on the path, in the closed loop.
	EntryCPU float64 `json:"entry_cpu_us"`
	OwnerCPU float64 `json:"owner_cpu_us"`
	// PerCore is the requests per second of one core of the entry, from its processor time.
	PerCore float64 `json:"entry_requests_per_core"`
}

// LatencyPair holds quantiles in milliseconds.
type LatencyPair struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// LatencyRatio compares the quantiles of two paths.
type LatencyRatio struct {
	OpenP50   float64 `json:"open_p50"`
	OpenP99   float64 `json:"open_p99"`
	ClosedP50 float64 `json:"closed_p50"`
	ClosedP99 float64 `json:"closed_p99"`
}

// Broken lists the promises that did not hold. Latency is no promise of this experiment.
func (o Overhead) Broken() []string {
	if o.Loss > 0 {
		return []string{fmt.Sprintf("%d requests were not answered", o.Loss)}
	}
	return nil
}

// path is one way to the backend server.
type path struct {
	name   string
	entry  netip.AddrPort
	direct bool
	// nodes are the entry and the owner, where they are on the path.
	nodes []*launcher.Node
	costs []PathCost
}

func runOverhead(ctx context.Context, o Options) (Result, error) {
	all, err := customers()
	if err != nil {
		return nil, err
	}
	c := all[0]
	// The key stays where it is although it is hot, since the paths differ only in the place of its owner.
	c.configuration.Placements = maps.Clone(c.configuration.Placements)
	for name, p := range c.configuration.Placements {
		p.MaxMovesPerMinute = 0
		c.configuration.Placements[name] = p
	}
	f, err := launcher.Start(ctx, launcher.Config{
		Services: []launcher.Service{{Name: c.stock, Servers: 2, Slots: overheadSlots, Connections: 2 * overheadSlots}},
		Zones:    c.zones[:2], Configuration: c.configuration, Seed: o.Seed, Command: oneCore(o.Command),
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

// oneCore limits each hibiscusd to one core, so that its processor time is that of one core.
func oneCore(command func(string) *exec.Cmd) func(string) *exec.Cmd {
	return func(settings string) *exec.Cmd {
		c := command(settings)
		if c.Env == nil {
			c.Env = os.Environ()
		}
		c.Env = append(c.Env, "GOMAXPROCS=1")
		return c
	}
}

func measureOverhead(ctx context.Context, o Options, f *launcher.Fleet, service string) (Overhead, error) {
	const key = "k0"
	member, _, err := f.Owner(ctx, service, key)
	if err != nil {
		return Overhead{}, err
	}
	i := slices.IndexFunc(f.Nodes, func(n *launcher.Node) bool { return n.Name == member.Name })
	owner, other := f.Nodes[i], f.Nodes[1-i]
	paths := []*path{
		{name: "direct", entry: owner.Server.Address(), direct: true},
		{name: "owner", entry: owner.Settings.Listen, nodes: []*launcher.Node{owner}},
		{name: "forwarded", entry: other.Settings.Listen, nodes: []*launcher.Node{other, owner}},
	}
	var result Overhead
	each := o.Duration / time.Duration(overheadRounds*len(paths)*2)
	for round := range overheadRounds {
		for _, p := range paths {
			cost, lost, err := p.measure(ctx, o.Seed+uint64(round), service, key, each)
			if err != nil {
				return result, errors.WithMessage(err, p.name)
			}
			now, _, err := f.Owner(ctx, service, key)
			if err != nil {
				return result, err
			}
			if now.ID != member.ID {
				return result, errors.New("the key moved during the measurement")
			}
			result.Loss += lost
			p.costs = append(p.costs, cost)
			progressf(o, "round %d, %s: closed loop %.0f requests/s, open loop p50 %.2f ms, p99 %.2f ms\n",
				round+1, p.name, cost.Rate, cost.Open.P50, cost.Open.P99)
		}
	}
	result.Direct, result.Owner, result.Forwarded = paths[0].median(), paths[1].median(), paths[2].median()
	result.OwnerRatio, result.ForwardedRatio = result.Owner.ratio(result.Direct), result.Forwarded.ratio(result.Direct)
	return result, nil
}

func progressf(o Options, format string, values ...any) {
	if o.Progress != nil {
		// Progress that can't be shown must not end the experiment.
		_, _ = fmt.Fprintf(o.Progress, format, values...)
	}
}

func (p *path) measure(ctx context.Context, seed uint64, service, key string, span time.Duration) (PathCost, uint64, error) {
	var cost PathCost
	report, err := generator.Run(ctx, generator.Config{
		Entries: []netip.AddrPort{p.entry}, Duration: validator.Duration(span), Seed: seed, Direct: p.direct,
		Streams: []generator.Stream{{Name: "all", Rate: overheadRate, Service: service, Path: "/", KeyCount: 1, KeyPrefix: key[:len(key)-1]}},
	})
	if err != nil {
		return cost, 0, err
	}
	all := report.Ranks[0]
	cost.Open = LatencyPair{P50: all.Latency.P50, P99: all.Latency.P99}
	before, err := p.cpu()
	if err != nil {
		return cost, 0, err
	}
	closed := closedLoop{entry: p.entry, service: service, key: key, direct: p.direct}
	closed.run(ctx, overheadWorkers, span)
	after, err := p.cpu()
	if err != nil {
		return cost, 0, err
	}
	cost.Closed, cost.Rate = closed.latency(), float64(closed.answered)/span.Seconds()
	spent := func(i int) float64 {
		return float64((after[i] - before[i]).Microseconds()) / max(1, float64(closed.answered))
	}
	if len(p.nodes) > 0 {
		cost.EntryCPU, cost.OwnerCPU = spent(0), spent(len(p.nodes)-1)
		cost.PerCore = 1e6 / max(cost.EntryCPU, 1e-3)
	}
	return cost, all.Sent - all.Answered + closed.lost, nil
}

func (p *path) cpu() ([]time.Duration, error) {
	used := make([]time.Duration, len(p.nodes))
	for i, n := range p.nodes {
		var err error
		if used[i], err = processCPU(n.PID()); err != nil {
			return nil, err
		}
	}
	return used, nil
}

func (p *path) median() PathCost {
	of := func(get func(PathCost) float64) float64 {
		var values []float64
		for _, c := range p.costs {
			values = append(values, get(c))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return PathCost{
		Open: LatencyPair{
			P50: of(func(c PathCost) float64 { return c.Open.P50 }), P99: of(func(c PathCost) float64 { return c.Open.P99 }),
		},
		Closed: LatencyPair{
			P50: of(func(c PathCost) float64 { return c.Closed.P50 }), P99: of(func(c PathCost) float64 { return c.Closed.P99 }),
		},
		Rate:     of(func(c PathCost) float64 { return c.Rate }),
		EntryCPU: of(func(c PathCost) float64 { return c.EntryCPU }), OwnerCPU: of(func(c PathCost) float64 { return c.OwnerCPU }),
		PerCore: of(func(c PathCost) float64 { return c.PerCore }),
	}
}

func (c PathCost) ratio(direct PathCost) LatencyRatio {
	return LatencyRatio{
		OpenP50: ratio(c.Open.P50, direct.Open.P50), OpenP99: ratio(c.Open.P99, direct.Open.P99),
		ClosedP50: ratio(c.Closed.P50, direct.Closed.P50), ClosedP99: ratio(c.Closed.P99, direct.Closed.P99),
	}
}
