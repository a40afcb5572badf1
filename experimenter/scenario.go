package experimenter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/validator"
)

// scenario is an experiment that sends load to some services of each customer while a script changes the fleet. The
// load takes half of the duration of the experiment.
type scenario struct {
	name        string
	serviceTime time.Duration
	// baseline configures the simpler policy to compare with, if hasBaseline is set.
	baseline    loader.BaselineSettings
	hasBaseline bool
	// services names the services to start.
	services func(customer) []string
	// streams returns the load for a run of the given length.
	streams func(customer, time.Duration) []generator.Stream
	// entries returns the processes that receive the load. If nil, all of them do.
	entries func(*launcher.Fleet, customer) []*launcher.Node
	// script runs concurrently with the load.
	script func(context.Context, *session) error
	// finish adds figures after the load and the script have ended.
	finish func(context.Context, *session, generator.Report) error
	// missedTargets describes the targets that a run misses.
	missedTargets func(scenarioRun) []string
}

// session is one run of a scenario for one customer. The script acts on its fleet and records figures and counts.
type session struct {
	customer customer
	fleet    *launcher.Fleet
	options  Options
	// length is the duration of the load, which began at started.
	length  time.Duration
	started time.Time

	mu      sync.Mutex
	figures map[string]float64
	counts  map[string]uint64
}

func (s *session) setFigure(name string, value float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures[name] = value
}

func (s *session) incrementCount(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

// waitFor waits until the given fraction of the load's duration has passed. It returns false if the context ended
// first.
func (s *session) waitFor(ctx context.Context, fraction float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(s.started.Add(time.Duration(fraction * float64(s.length))))):
		return true
	}
}

// nodes returns the processes whose backend server has the given service.
func (s *session) nodes(service string) (nodes []*launcher.Node) {
	for _, n := range s.fleet.Nodes {
		if n.Service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// scenarioResult is the result of a scenario for all customers.
type scenarioResult struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Customers  []scenarioCustomer `json:"customers"`
	Missed     []string           `json:"missed"`
}

type scenarioCustomer struct {
	Customer string       `json:"customer"`
	Policy   scenarioRun  `json:"policy"`
	Baseline *scenarioRun `json:"baseline,omitempty"`
}

type scenarioRun struct {
	Ranks           map[string]rankStats `json:"ranks"`
	WeightedService float64              `json:"weighted_service"`
	// Failed counts requests that were not answered.
	Failed uint64 `json:"failed"`
	// Figures and Counts are the values that the scenario's functions recorded.
	Figures map[string]float64       `json:"figures"`
	Counts  map[string]uint64        `json:"counts,omitempty"`
	Safety  safetyReport             `json:"safety"`
	Series  map[string][]seriesPoint `json:"series"`
}

// Violations implements Result.
func (r scenarioResult) Violations() (violations []string) {
	for _, c := range r.Customers {
		violations = append(violations, c.Policy.Safety.violations(c.Customer)...)
	}
	return violations
}

func (s scenario) run(ctx context.Context, o Options) (Result, error) {
	all, err := customers()
	if err != nil {
		return nil, err
	}
	result := scenarioResult{Experiment: s.name, Seed: o.Seed, Missed: []string{}}
	for _, c := range all {
		customerResult := scenarioCustomer{Customer: c.name}
		if customerResult.Policy, err = s.runOnce(ctx, o, c, loader.BaselineSettings{}); err != nil {
			return nil, errors.WithMessage(err, c.name)
		}
		if o.Baseline && s.hasBaseline {
			baseline, err := s.runOnce(ctx, o, c, s.baseline)
			if err != nil {
				return nil, errors.WithMessage(err, c.name+" baseline")
			}
			customerResult.Baseline = &baseline
		}
		result.Customers = append(result.Customers, customerResult)
		for _, missed := range s.missedTargets(customerResult.Policy) {
			result.Missed = append(result.Missed, c.name+": "+missed)
		}
	}
	return result, nil
}

func (s scenario) runOnce(
	ctx context.Context, o Options, c customer, baseline loader.BaselineSettings,
) (scenarioRun, error) {
	fleet, err := c.startFleet(ctx, o, backendSettings(s.serviceTime), baseline, s.services(c)...)
	if err != nil {
		return scenarioRun{}, err
	}
	defer func() { _ = fleet.Stop() }()
	current := &session{
		customer: c, fleet: fleet, options: o, length: o.Duration / 2, started: time.Now(),
		figures: map[string]float64{}, counts: map[string]uint64{},
	}
	entries := fleet.Entries()
	if s.entries != nil {
		entries = nil
		for _, n := range s.entries(fleet, c) {
			entries = append(entries, n.Settings.Listen)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	script := make(chan error, 1)
	go func() { script <- s.script(ctx, current) }()
	report, err := generator.Run(ctx, generator.Config{
		Entries: entries, Duration: validator.Duration(current.length), Seed: o.Seed,
		Streams: s.streams(c, current.length),
	})
	if err != nil {
		return scenarioRun{}, err
	}
	if err := <-script; err != nil {
		return scenarioRun{}, errors.WithMessage(err, "script")
	}
	if err := s.finish(ctx, current, report); err != nil {
		return scenarioRun{}, err
	}
	run := scenarioRun{
		Ranks: map[string]rankStats{}, Figures: current.figures, Counts: current.counts,
		Safety: checkSafety(fleet, report), Series: seriesOf(report),
	}
	for _, r := range report.Ranks {
		run.Ranks[r.Rank] = newRankStats(r.Summary)
		run.Failed += r.Sent + r.Overflow - r.Answered
	}
	run.WeightedService = c.weightedService(run.Ranks)
	_, _ = fmt.Fprintf(o.Progress, "%s %s %+v: failed %d, weighted service %.3f, figures %v, counts %v, ranks %+v\n",
		s.name, c.name, baseline, run.Failed, run.WeightedService, run.Figures, run.Counts, run.Ranks)
	return run, nil
}
