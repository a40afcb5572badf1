package experimenter

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/loader"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "flood", Short: "service of each rank during floods of requests", Duration: time.Minute, Run: runFlood,
})

const (
	// floodServiceTime limits the largest flood, 20 times the capacity of the order service, to 12,000 requests/s,
	// which a machine that also runs the fleet can just send. With half of it, the results depend on the machine
	// instead of the policy. Service times don't vary, since at this mean their variance alone would miss the targets.
	floodServiceTime = 100 * time.Millisecond
	floodWarmUp      = 2 * time.Second
	// orderLoadShare is the load of orders without a flood, as a share of the capacity.
	orderLoadShare = 0.35
	// floorLoadShare is the load of the other ranks without a flood, as a share of their floors. Keys load the servers
	// unevenly; the margin below the floor lets nearly all of this load be answered as long as the floor is kept.
	floorLoadShare = 0.8
)

// floodCase is one part of a run. Flooded lists the ranks with a flood; there is only the normal load if it is empty.
type floodCase struct {
	Flooded []string `json:"flooded"`
	// Times is the rate of the flood as a multiple of the capacity.
	Times float64 `json:"times"`
	// start and stop are since the start of the load.
	start time.Duration
	stop  time.Duration
}

// name returns the name of the stream with the normal load of a rank.
func (c floodCase) name(rank string) string { return fmt.Sprintf("%s/%v/%g", rank, c.Flooded, c.Times) }

// floodCases returns the cases of a run, which start at the given interval.
func floodCases(caseInterval time.Duration) []floodCase {
	cases := []floodCase{{}}
	for _, times := range []float64{2, 5, 20} {
		for _, flooded := range [][]string{{"pattern"}, {"stock"}, {"order"}, {"pattern", "order"}} {
			cases = append(cases, floodCase{Flooded: flooded, Times: times})
		}
	}
	for i := range cases {
		// In the pause after each case, its last requests end before the next case starts.
		cases[i].start = floodWarmUp + time.Duration(i)*caseInterval
		cases[i].stop = cases[i].start + caseInterval*2/3
	}
	return cases
}

// floodResult is the result of the experiment.
type floodResult struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	// The next three are the lowest values of all customers in floods of less urgent ranks with 5 times the capacity.
	UrgentWithinTarget float64            `json:"urgent_within_target"`
	OrdersKept         float64            `json:"orders_kept"`
	Kept               map[string]float64 `json:"kept"`

	Customers []floodCustomer `json:"customers"`
	Missed    []string        `json:"missed"`
}

// summarize computes the figures over all customers.
func (r *floodResult) summarize() {
	r.UrgentWithinTarget, r.OrdersKept, r.Kept = math.Inf(1), math.Inf(1), map[string]float64{}
	for _, c := range r.Customers {
		for _, f := range c.Policy.Cases {
			if f.Times != 5 || slices.Contains(f.Flooded, "order") {
				continue
			}
			r.UrgentWithinTarget = min(r.UrgentWithinTarget, f.UrgentWithinTarget)
			r.OrdersKept = min(r.OrdersKept, f.OrdersKept)
			for rank, kept := range f.Kept {
				if lowest, present := r.Kept[rank]; !present || kept < lowest {
					r.Kept[rank] = kept
				}
			}
		}
	}
}

type floodCustomer struct {
	Customer string    `json:"customer"`
	Capacity float64   `json:"capacity_per_second"`
	Policy   floodRun  `json:"policy"`
	Baseline *floodRun `json:"baseline,omitempty"`
}

type floodRun struct {
	Cases  []floodCaseResult        `json:"cases"`
	Safety safetyReport             `json:"safety"`
	Series map[string][]seriesPoint `json:"series"`
}

// floodCaseResult holds the figures of one case.
type floodCaseResult struct {
	floodCase
	// UrgentWithinTarget is the share of requests of the most urgent rank, including its flood, that were answered
	// within target.
	UrgentWithinTarget float64 `json:"urgent_within_target"`
	// OrdersKept is the answered share of the normal load of orders, relative to the case without a flood. Kept is the
	// same for each rank.
	OrdersKept float64            `json:"orders_kept"`
	Kept       map[string]float64 `json:"kept"`
	// Goodput is the rate of answers as a share of the capacity.
	Goodput float64 `json:"goodput_share"`
	// FloorsKept reports whether each rank without a flood got its floor, or all that it requested if that was less,
	// within floorTolerance.
	FloorsKept bool `json:"floors_kept"`
	// Floors is the rate of answers of each rank without a flood, relative to its floor or to its load, if that is
	// lower.
	Floors map[string]float64 `json:"floors"`
	// SentTimes is the rate of all requests that the generator sent, as a multiple of the capacity.
	SentTimes float64 `json:"sent_times"`
	// SendLag is the p99 of the time by which requests were sent late, in milliseconds.
	SendLag float64 `json:"send_lag_p99_ms"`
	// Ranks covers the normal load of each rank, Flood the requests of the floods.
	Ranks map[string]rankStats `json:"ranks"`
	// WeightedService is the share of the normal load that was answered within target, weighted by rank.
	WeightedService float64              `json:"weighted_service"`
	Flood           map[string]rankStats `json:"flood,omitempty"`
}

// Violations implements Result.
func (r floodResult) Violations() (violations []string) {
	for _, c := range r.Customers {
		violations = append(violations, c.Policy.Safety.violations(c.Customer)...)
	}
	return violations
}

func runFlood(ctx context.Context, o Options) (Result, error) {
	all, err := customers()
	if err != nil {
		return nil, err
	}
	result := floodResult{Experiment: "flood", Seed: o.Seed, Missed: []string{}}
	for _, c := range all {
		c.configuration.Rules = slices.Insert(c.configuration.Rules, 0, validator.Rule{
			Name: "sheets", Service: c.orders, Method: "GET", PathPrefix: "/sheets", Rank: "pattern",
		})
		customerResult := floodCustomer{Customer: c.name, Capacity: c.capacity(c.orders, floodServiceTime)}
		if customerResult.Policy, err = runFloodOnce(ctx, o, c, loader.BaselineSettings{}); err != nil {
			return nil, errors.WithMessage(err, c.name)
		}
		if o.Baseline {
			baseline, err := runFloodOnce(ctx, o, c, loader.BaselineSettings{
				Admission: "single_queue", UnlimitedRetries: true,
			})
			if err != nil {
				return nil, errors.WithMessage(err, c.name+" baseline")
			}
			customerResult.Baseline = &baseline
		}
		result.Customers = append(result.Customers, customerResult)
		result.Missed = append(result.Missed, customerResult.missedTargets()...)
	}
	result.summarize()
	return result, nil
}

// runFloodOnce runs all cases for a customer on one fleet.
func runFloodOnce(ctx context.Context, o Options, c customer, baseline loader.BaselineSettings) (floodRun, error) {
	fleet, err := c.startFleet(ctx, o, floodBackendSettings(), baseline)
	if err != nil {
		return floodRun{}, err
	}
	defer func() { _ = fleet.Stop() }()
	cases := floodCases(o.Duration / 2 / 10)
	report, err := generator.Run(ctx, generator.Config{
		Entries: fleet.Entries(), Duration: validator.Duration(cases[len(cases)-1].stop), Seed: o.Seed,
		Streams: c.floodStreams(cases),
	})
	if err != nil {
		return floodRun{}, err
	}
	run := floodRun{Safety: checkSafety(fleet, report), Series: seriesOf(report)}
	for _, f := range cases {
		run.Cases = append(run.Cases, c.evaluateFloodCase(f, report))
	}
	for i := range run.Cases {
		run.Cases[i].compareWithUnloaded(run.Cases[0])
	}
	for _, f := range run.Cases {
		_, _ = fmt.Fprintf(o.Progress, "%s %s %v %gx (sent %.1fx, lag %.0f ms): urgent within target %.3f, orders kept %.3f, goodput %.3f, floors %v, kept %v\n",
			c.name, baseline.Admission, f.Flooded, f.Times, f.SentTimes, f.SendLag, f.UrgentWithinTarget, f.OrdersKept, f.Goodput, f.Floors, f.Kept)
	}
	return run, nil
}

func floodBackendSettings() emulator.ServerSettings {
	s := backendSettings(floodServiceTime)
	s.Distribution = emulator.Fixed
	return s
}

// normalShare returns the load of a rank without a flood, as a share of the capacity.
func (c customer) normalShare(rank string) float64 {
	if rank == "order" {
		return orderLoadShare
	}
	return floorLoadShare * c.configuration.Ranks[rank].Floor
}

func (c customer) floodStreams(cases []floodCase) (streams []generator.Stream) {
	capacity := c.capacity(c.orders, floodServiceTime)
	for _, rank := range []string{"order", "stock", "pattern"} {
		warm := c.floodStream(rank, capacity*c.normalShare(rank))
		warm.Name, warm.Stop = "warm-up/"+rank, validator.Duration(floodWarmUp*3/4)
		streams = append(streams, warm)
		for _, f := range cases {
			s := c.floodStream(rank, capacity*c.normalShare(rank))
			s.Name, s.Start, s.Stop = f.name(rank), validator.Duration(f.start), validator.Duration(f.stop)
			streams = append(streams, s)
			if slices.Contains(f.Flooded, rank) {
				s.Name, s.Rate = "flood/"+s.Name, capacity*f.Times
				streams = append(streams, s)
			}
		}
	}
	return streams
}

// floodStream returns a stream of one rank. All ranks use the servers of the order service and compete for them.
func (c customer) floodStream(rank string, rate float64) generator.Stream {
	s := generator.Stream{
		Rank: rank, Rate: rate, Service: c.orders, Method: "GET", KeyCount: 20_000, KeyPrefix: "item-",
		Timeout: validator.Duration(time.Second), LatencyTarget: c.target(rank),
	}
	switch rank {
	case "order":
		s.Method, s.Path, s.NonRepeatable = "POST", "/reservations", true
	case "stock":
		s.Path = "/dues/1"
	default:
		s.Path = "/sheets/1"
	}
	return s
}

func (c customer) evaluateFloodCase(f floodCase, r generator.Report) floodCaseResult {
	capacity := c.capacity(c.orders, floodServiceTime)
	result := floodCaseResult{
		floodCase: f, Ranks: map[string]rankStats{}, Flood: map[string]rankStats{}, Floors: map[string]float64{},
		FloorsKept: true, Kept: map[string]float64{},
	}
	// Goodput doesn't count the first third of a case, in which queues fill up.
	from := f.start + (f.stop-f.start)/3
	from = from.Truncate(100 * time.Millisecond)
	seconds := (f.stop - from).Seconds()
	var within, sent, answered, all float64
	for _, s := range r.Streams {
		normal, flood := s.Name == f.name(s.Rank), s.Name == "flood/"+f.name(s.Rank)
		if !normal && !flood {
			continue
		}
		rate := answeredBetween(s, from, f.stop) / seconds
		answered += rate
		all += float64(s.Sent + s.Overflow)
		result.SendLag = max(result.SendLag, s.SendLag.P99)
		if s.Rank == "order" {
			within += float64(s.WithinTarget)
			sent += float64(s.Sent + s.Overflow)
		}
		if flood {
			result.Flood[s.Rank] = newRankStats(s.Summary)
			continue
		}
		result.Ranks[s.Rank] = newRankStats(s.Summary)
		if !slices.Contains(f.Flooded, s.Rank) {
			entitled := min(c.configuration.Ranks[s.Rank].Floor*capacity, float64(s.Sent)/(f.stop-f.start).Seconds())
			result.Floors[s.Rank] = ratio(float64(s.Answered)/(f.stop-f.start).Seconds(), entitled)
		}
	}
	for _, share := range result.Floors {
		result.FloorsKept = result.FloorsKept && share >= floorTolerance
	}
	result.UrgentWithinTarget, result.Goodput = ratio(within, sent), answered/capacity
	result.SentTimes = all / (f.stop - f.start).Seconds() / capacity
	result.WeightedService = c.weightedService(result.Ranks)
	return result
}

// compareWithUnloaded sets the shares that were kept relative to the case without a flood.
func (f *floodCaseResult) compareWithUnloaded(unloaded floodCaseResult) {
	for rank, r := range f.Ranks {
		normal := unloaded.Ranks[rank]
		f.Kept[rank] = ratio(ratio(float64(r.Answered), float64(r.Sent)), ratio(float64(normal.Answered), float64(normal.Sent)))
	}
	f.OrdersKept = f.Kept["order"]
}

// Targets from docs/design.md.
const (
	urgentTarget  = 0.99
	keptTarget    = 0.99
	goodputTarget = 0.95
	// floorTolerance allows for the variation of random arrivals in a short case.
	floorTolerance = 0.97
	// maxSendLagMs is the SendLag above which the machine is too busy for a valid result.
	maxSendLagMs = 50
)

// missedTargets compares the floods of 5 times the capacity with the targets.
func (c floodCustomer) missedTargets() (missed []string) {
	for _, f := range c.Policy.Cases {
		if f.Times != 5 {
			continue
		}
		if unloaded := c.Policy.Cases[0].UrgentWithinTarget; f.SendLag > maxSendLagMs || unloaded < urgentTarget {
			missed = append(missed, fmt.Sprintf(
				"%s: flood of %v not evaluated, machine too busy: lag %.0f ms, urgent within target without flood %.3f",
				c.Customer, f.Flooded, f.SendLag, unloaded))
			continue
		}
		name := fmt.Sprintf("%s: flood of %v", c.Customer, f.Flooded)
		if slices.Contains(f.Flooded, "order") {
			if f.Goodput < goodputTarget {
				missed = append(missed, fmt.Sprintf("%s: goodput is %.3f of the capacity", name, f.Goodput))
			}
			if !f.FloorsKept {
				missed = append(missed, fmt.Sprintf("%s: the shares of the floors are %v", name, f.Floors))
			}
			continue
		}
		if f.UrgentWithinTarget < urgentTarget {
			missed = append(missed, fmt.Sprintf("%s: %.3f of the urgent requests are within target",
				name, f.UrgentWithinTarget))
		}
		if f.OrdersKept < keptTarget {
			missed = append(missed, fmt.Sprintf("%s: %.3f of the orders are kept", name, f.OrdersKept))
		}
	}
	return missed
}
