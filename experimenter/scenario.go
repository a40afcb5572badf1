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

// scenario is an experiment that sends load to some services of each customer while a script changes the fleet.
type scenario struct {
	name        string
	serviceTime time.Duration
	// baseline is the plain policy; comparable tells that there is one.
	baseline   loader.BaselineSettings
	comparable bool
	services   func(customer) []string
	streams    func(customer, time.Duration) []generator.Stream
	// entries chooses the processes that callers use. Nil takes all.
	entries func(*launcher.Fleet, customer) []*launcher.Node
	script  func(context.Context, *stage) error
	// finish adds figures after the load has ended.
	finish func(context.Context, *stage, generator.Report) error
	// missed lists the targets that a run misses.
	missed func(scenarioRun) []string
}

// stage is what a script works on.
type stage struct {
	customer customer
	fleet    *launcher.Fleet
	options  Options
	// length is the duration of the load.
	length  time.Duration
	started time.Time

	mu      sync.Mutex
	figures map[string]float64
	counts  map[string]uint64
}

func (s *stage) set(name string, value float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures[name] = value
}

func (s *stage) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

// until waits for a part of the load. It reports false when the run was ended.
func (s *stage) until(ctx context.Context, part float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(s.started.Add(time.Duration(part * float64(s.length))))):
		return true
	}
}

// nodes returns the nodes of a service.
func (s *stage) nodes(service string) (nodes []*launcher.Node) {
	for _, n := range s.fleet.Nodes {
		if n.Service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// scenarioResult is the result of a scenario.
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
	Ranks           map[string]rankService `json:"ranks"`
	WeightedService float64                `json:"weighted_service"`
	// Failed counts requests that were not answered.
	Failed uint64 `json:"failed"`
	// Figures and Counts are those of the scenario.
	Figures map[string]float64  `json:"figures"`
	Counts  map[string]uint64   `json:"counts,omitempty"`
	Safety  safety              `json:"safety"`
	Series  map[string][]moment `json:"series"`
}

// Violations implements Result.
func (r scenarioResult) Violations() (broken []string) {
	for _, c := range r.Customers {
		broken = append(broken, c.Policy.Safety.broken(c.Customer)...)
	}
	return broken
}

func (s scenario) run(ctx context.Context, o Options) (Result, error) {
	all, err := customers()
	if err != nil {
		return nil, err
	}
	result := scenarioResult{Experiment: s.name, Seed: o.Seed, Missed: []string{}}
	for _, c := range all {
		figures := scenarioCustomer{Customer: c.name}
		if figures.Policy, err = s.once(ctx, o, c, loader.BaselineSettings{}); err != nil {
			return nil, errors.WithMessage(err, c.name)
		}
		if o.Baseline && s.comparable {
			baseline, err := s.once(ctx, o, c, s.baseline)
			if err != nil {
				return nil, errors.WithMessage(err, c.name+" baseline")
			}
			figures.Baseline = &baseline
		}
		result.Customers = append(result.Customers, figures)
		for _, missed := range s.missed(figures.Policy) {
			result.Missed = append(result.Missed, c.name+": "+missed)
		}
	}
	return result, nil
}

func (s scenario) once(ctx context.Context, o Options, c customer, baseline loader.BaselineSettings) (scenarioRun, error) {
	fleet, err := c.start(ctx, o, backend(s.serviceTime), baseline, s.services(c)...)
	if err != nil {
		return scenarioRun{}, err
	}
	defer func() { _ = fleet.Stop() }()
	st := &stage{
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
	go func() { script <- s.script(ctx, st) }()
	report, err := generator.Run(ctx, generator.Config{
		Entries: entries, Duration: validator.Duration(st.length), Seed: o.Seed, Streams: s.streams(c, st.length),
	})
	if err != nil {
		return scenarioRun{}, err
	}
	if err := <-script; err != nil {
		return scenarioRun{}, errors.WithMessage(err, "script")
	}
	if err := s.finish(ctx, st, report); err != nil {
		return scenarioRun{}, err
	}
	run := scenarioRun{
		Ranks: map[string]rankService{}, Figures: st.figures, Counts: st.counts, Safety: judgeSafety(fleet, report),
		Series: seriesOf(report),
	}
	for _, r := range report.Ranks {
		run.Ranks[r.Rank] = serviceOf(r.Summary)
		run.Failed += r.Sent + r.Overflow - r.Answered
	}
	run.WeightedService = c.weighted(run.Ranks)
	_, _ = fmt.Fprintf(o.Progress, "%s %s %+v: failed %d, weighted service %.3f, figures %v, counts %v, ranks %+v\n",
		s.name, c.name, baseline, run.Failed, run.WeightedService, run.Figures, run.Counts, run.Ranks)
	return run, nil
}
