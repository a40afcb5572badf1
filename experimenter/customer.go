package experimenter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/settings"
	"hibiscusline/validator"
)

// customer is one of the users of section 1 of the design page with the sizes of its services.
type customer struct {
	name          string
	configuration validator.Configuration
	zones         []string
	connections   int
	// orders, stock and patterns are the names of the services.
	orders, stock, patterns string
	servers                 map[string]int
}

const slotsPerServer = 12

func customers() ([]customer, error) {
	v := customer{
		name: "vatilaane", zones: []string{"a", "b", "c", "d"}, connections: 130,
		orders: "order-desk", stock: "stock-lookup", patterns: "pattern-archive",
		servers: map[string]int{"stock-lookup": 6, "order-desk": 5, "pattern-archive": 4},
	}
	k := customer{
		name: "karri_ridge", zones: []string{"a", "b", "c"}, connections: 110,
		orders: "order-book", stock: "catalogue", patterns: "pattern-library",
		servers: map[string]int{"catalogue": 5, "order-book": 3, "pattern-library": 3},
	}
	var err error
	if v.configuration, err = validator.Parse(settings.Vatilaane); err != nil {
		return nil, err
	}
	if k.configuration, err = validator.Parse(settings.KarriRidge); err != nil {
		return nil, err
	}
	return []customer{v, k}, nil
}

// backend returns the settings of a healthy backend server with the costs of section 1 of the design page.
func backend(serviceTime time.Duration) emulator.ServerSettings {
	return emulator.ServerSettings{
		ServiceTime: validator.Duration(serviceTime), Distribution: emulator.Lognormal,
		ConnectCost: validator.Duration(time.Millisecond), ProbeCost: validator.Duration(6 * time.Millisecond),
	}
}

// capacity returns the requests/s that the servers of a service can answer.
func (c customer) capacity(service string, serviceTime time.Duration) float64 {
	return float64(c.servers[service]*slotsPerServer) / serviceTime.Seconds()
}

func (c customer) service(name string, s emulator.ServerSettings) launcher.Service {
	return launcher.Service{
		Name: name, Servers: c.servers[name], Slots: slotsPerServer, Connections: c.connections, Settings: s,
	}
}

// start starts a fleet with the customer's services, or only with those that are named.
func (c customer) start(
	ctx context.Context, o Options, s emulator.ServerSettings, baseline loader.BaselineSettings, only ...string,
) (*launcher.Fleet, error) {
	const startTimeout = time.Minute
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var services []launcher.Service
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		if len(only) == 0 || slices.Contains(only, name) {
			services = append(services, c.service(name, s))
		}
	}
	f, err := launcher.Start(ctx, launcher.Config{
		Services: services, Zones: c.zones, Configuration: c.configuration, Command: o.Command, Seed: o.Seed,
		Edit: func(d *loader.DaemonSettings) { d.Baseline = baseline },
	})
	if err != nil {
		return nil, err
	}
	if err := awaitSpread(ctx, f, spreadLimit); err != nil {
		return nil, errors.WithMessage(err, fmt.Sprintf("spread ranges (stop: %v)", f.Stop()))
	}
	return f, nil
}

// target returns the target of a rank.
func (c customer) target(rank string) validator.Duration {
	return c.configuration.Ranks[rank].LatencyTarget
}

// safety is the part of a result that no policy may break.
type safety struct {
	Crossed      uint64 `json:"crossed"`
	Truncated    uint64 `json:"truncated"`
	Overlaps     int    `json:"overlaps"`
	Inversions   int    `json:"inversions"`
	Doubled      int    `json:"doubled"`
	NotRunButRan int    `json:"not_run_but_ran"`
	// Unjudged counts executions and ids that were dropped for lack of memory; the judgement covers the others.
	Unjudged uint64 `json:"unjudged"`
}

func judgeSafety(f *launcher.Fleet, r generator.Report) safety {
	ledger := f.Ledger.Report()
	verdict := emulator.Judge(ledger.Executions, r.NotRunIDs)
	s := safety{
		Overlaps: len(verdict.Overlaps), Inversions: len(verdict.Inversions), Doubled: len(verdict.Doubled),
		NotRunButRan: len(verdict.NotRunButRan), Unjudged: ledger.Dropped + r.NotRunIDsDropped,
	}
	for _, stream := range r.Streams {
		s.Crossed += stream.Crossed
		s.Truncated += stream.Truncated
	}
	return s
}

func (s safety) broken(name string) (broken []string) {
	for _, count := range []struct {
		what  string
		count uint64
	}{
		{"answers of another request", s.Crossed},
		{"truncated answers presented as complete", s.Truncated},
		{"executions of a key on two servers at once", uint64(s.Overlaps)},
		{"executions with an older epoch after a newer one", uint64(s.Inversions)},
		{"non-repeatable requests that ran twice", uint64(s.Doubled)},
		{"requests reported as not run that ran", uint64(s.NotRunButRan)},
	} {
		if count.count > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d %s", name, count.count, count.what))
		}
	}
	return broken
}

// rankService is the service that one rank got.
type rankService struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	// WithinTarget is the share of the sent requests that were answered within the rank's target.
	WithinTarget float64           `json:"within_target"`
	P50          float64           `json:"p50_ms"`
	P99          float64           `json:"p99_ms"`
	Reasons      map[string]uint64 `json:"reasons,omitempty"`
	// Errors counts transport errors by class; Aborted counts answers that broke off.
	Errors  map[string]uint64 `json:"errors,omitempty"`
	Aborted uint64            `json:"aborted,omitempty"`
}

func serviceOf(s generator.Summary) rankService {
	return rankService{
		Sent: s.Sent + s.Overflow, Answered: s.Answered, NotRun: s.NotRun, Unknown: s.Unknown,
		WithinTarget: ratio(float64(s.WithinTarget), float64(s.Sent+s.Overflow)),
		P50:          s.Latency.P50, P99: s.Latency.P99, Reasons: s.Reasons, Errors: s.Errors,
		Aborted: s.Aborted,
	}
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// weighted returns the share of the sent requests' weight that was answered within target.
func (c customer) weighted(ranks map[string]rankService) float64 {
	var served, sent float64
	for name, r := range ranks {
		weight := c.configuration.Ranks[name].Weight * float64(r.Sent)
		sent += weight
		served += weight * r.WithinTarget
	}
	return ratio(served, sent)
}

// moment is a point of a time series by rank.
type moment struct {
	At       float64 `json:"at_seconds"`
	Answered uint64  `json:"answered"`
	NotRun   uint64  `json:"not_run"`
	P99      float64 `json:"p99_ms"`
}

// seriesOf adds up the series of the streams of each rank in steps of half a second. P99 is the highest of the parts.
func seriesOf(r generator.Report) map[string][]moment {
	const step = 0.5
	series := map[string][]moment{}
	for _, stream := range r.Streams {
		for _, p := range stream.Series {
			i := int(p.At / step)
			for len(series[stream.Rank]) <= i {
				series[stream.Rank] = append(series[stream.Rank], moment{At: float64(len(series[stream.Rank])) * step})
			}
			m := &series[stream.Rank][i]
			m.Answered += p.Answered
			m.NotRun += p.NotRun
			m.P99 = max(m.P99, p.P99)
		}
	}
	return series
}

// answeredBetween counts the requests of a stream that were answered in a part of the run.
func answeredBetween(s generator.StreamReport, from, to time.Duration) (sum float64) {
	for _, p := range s.Series {
		if p.At >= from.Seconds() && p.At < to.Seconds() {
			sum += float64(p.Answered)
		}
	}
	return sum
}
