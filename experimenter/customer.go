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

// customer is one of the users in section 1 of docs/design.md, with the sizes of its services.
type customer struct {
	name          string
	configuration validator.Configuration
	zones         []string
	// connections is the connection limit of each backend server.
	connections int
	// orders, stock and patterns are the names of the services.
	orders, stock, patterns string
	// servers is the number of backend servers by service name.
	servers map[string]int
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

// backendSettings returns the settings of a healthy backend server, with the costs in section 1 of docs/design.md.
func backendSettings(serviceTime time.Duration) emulator.ServerSettings {
	return emulator.ServerSettings{
		ServiceTime: validator.Duration(serviceTime), Distribution: emulator.Lognormal,
		ConnectCost: validator.Duration(time.Millisecond), ProbeCost: validator.Duration(6 * time.Millisecond),
	}
}

// capacity returns the number of requests per second that the servers of a service can answer.
func (c customer) capacity(service string, serviceTime time.Duration) float64 {
	return float64(c.servers[service]*slotsPerServer) / serviceTime.Seconds()
}

func (c customer) service(name string, s emulator.ServerSettings) launcher.Service {
	return launcher.Service{
		Name: name, Servers: c.servers[name], Slots: slotsPerServer, Connections: c.connections, Settings: s,
	}
}

// startFleet starts a fleet with all services of the customer, or only with the given ones, and waits until each member
// owns its fair share of the ranges.
func (c customer) startFleet(
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
		EditSettings: func(d *loader.DaemonSettings) { d.Baseline = baseline },
	})
	if err != nil {
		return nil, err
	}
	if err := awaitFairShares(ctx, f, fairShareTimeout); err != nil {
		return nil, errors.WithMessage(err, fmt.Sprintf("wait for fair shares of ranges (stop fleet: %v)", f.Stop()))
	}
	return f, nil
}

// target returns the target latency of a rank.
func (c customer) target(rank string) validator.Duration {
	return c.configuration.Ranks[rank].LatencyTarget
}

// safetyReport counts violations of the guarantees that hold under any policy.
type safetyReport struct {
	// Mismatched counts responses that belong to another request.
	Mismatched uint64 `json:"crossed"`
	// Truncated counts truncated responses that were presented as complete.
	Truncated uint64 `json:"truncated"`
	// Overlaps counts executions of a key on two servers at the same time.
	Overlaps int `json:"overlaps"`
	// Inversions counts executions with an older epoch after one with a newer epoch.
	Inversions int `json:"inversions"`
	// Duplicates counts non-repeatable requests that ran twice.
	Duplicates int `json:"doubled"`
	// NotRunButRan counts requests that ran although the caller was told that they did not.
	NotRunButRan int `json:"not_run_but_ran"`
	// Unchecked counts executions and request ids that were dropped to limit memory and are not checked.
	Unchecked uint64 `json:"unjudged"`
}

// checkSafety checks the executions of the backend servers against the responses that the callers got.
func checkSafety(f *launcher.Fleet, r generator.Report) safetyReport {
	ledger := f.Ledger.Report()
	violations := emulator.CheckInvariants(ledger.Executions, r.NotRunIDs)
	s := safetyReport{
		Overlaps: len(violations.Overlaps), Inversions: len(violations.Inversions),
		Duplicates: len(violations.Duplicates), NotRunButRan: len(violations.NotRunButRan),
		Unchecked: ledger.Dropped + r.NotRunIDsDropped,
	}
	for _, stream := range r.Streams {
		s.Mismatched += stream.Mismatched
		s.Truncated += stream.Truncated
	}
	return s
}

func (s safetyReport) violations(name string) (violations []string) {
	for _, violation := range []struct {
		description string
		count       uint64
	}{
		{"responses that belong to another request", s.Mismatched},
		{"truncated responses presented as complete", s.Truncated},
		{"executions of a key on two servers at the same time", uint64(s.Overlaps)},
		{"executions with an older epoch after a newer one", uint64(s.Inversions)},
		{"non-repeatable requests that ran twice", uint64(s.Duplicates)},
		{"requests reported as not run that ran", uint64(s.NotRunButRan)},
	} {
		if violation.count > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d %s", name, violation.count, violation.description))
		}
	}
	return violations
}

// rankStats counts the requests of one rank by their outcome.
type rankStats struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	// WithinTarget is the share of the sent requests that were answered within the rank's target latency.
	WithinTarget float64           `json:"within_target"`
	P50          float64           `json:"p50_ms"`
	P99          float64           `json:"p99_ms"`
	Reasons      map[string]uint64 `json:"reasons,omitempty"`
	// Errors counts transport errors by class, Aborted the responses that ended early.
	Errors  map[string]uint64 `json:"errors,omitempty"`
	Aborted uint64            `json:"aborted,omitempty"`
}

func newRankStats(s generator.Summary) rankStats {
	return rankStats{
		Sent: s.Sent + s.Overflow, Answered: s.Answered, NotRun: s.NotRun, Unknown: s.Unknown,
		WithinTarget: ratio(float64(s.WithinTarget), float64(s.Sent+s.Overflow)),
		P50:          s.Latency.P50, P99: s.Latency.P99, Reasons: s.Reasons, Errors: s.Errors,
		Aborted: s.Aborted,
	}
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// weightedService returns the share of the sent requests that was answered within target, weighted by rank.
func (c customer) weightedService(ranks map[string]rankStats) float64 {
	var served, sent float64
	for name, r := range ranks {
		weight := c.configuration.Ranks[name].Weight * float64(r.Sent)
		sent += weight
		served += weight * r.WithinTarget
	}
	return ratio(served, sent)
}

// seriesPoint is a point in the time series of a rank.
type seriesPoint struct {
	At       float64 `json:"at_seconds"`
	Answered uint64  `json:"answered"`
	NotRun   uint64  `json:"not_run"`
	P99      float64 `json:"p99_ms"`
}

// seriesOf adds up the series of all streams of each rank in steps of half a second. P99 is the highest of the added
// points.
func seriesOf(r generator.Report) map[string][]seriesPoint {
	const step = 0.5
	series := map[string][]seriesPoint{}
	for _, stream := range r.Streams {
		for _, p := range stream.Series {
			i := int(p.At / step)
			for len(series[stream.Rank]) <= i {
				series[stream.Rank] = append(series[stream.Rank], seriesPoint{
					At: float64(len(series[stream.Rank])) * step,
				})
			}
			m := &series[stream.Rank][i]
			m.Answered += p.Answered
			m.NotRun += p.NotRun
			m.P99 = max(m.P99, p.P99)
		}
	}
	return series
}

// answeredBetween returns the number of requests of a stream that were answered in [from, to).
func answeredBetween(s generator.StreamReport, from, to time.Duration) (sum float64) {
	for _, p := range s.Series {
		if p.At >= from.Seconds() && p.At < to.Seconds() {
			sum += float64(p.Answered)
		}
	}
	return sum
}
