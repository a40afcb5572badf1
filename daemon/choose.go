package daemon

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/balancer"
	"hibiscusline/encoder"
	"hibiscusline/loader"
	"hibiscusline/retrier"
	"hibiscusline/router"
	"hibiscusline/timer"
)

// budget shares a retry budget between requests.
type budget struct {
	mu     sync.Mutex
	budget *retrier.Budget
}

func newBudget() *budget { return &budget{budget: retrier.NewBudget(retrier.Config{})} }

// unlimitedBudget is the baseline without a retry budget.
type unlimitedBudget struct{}

// Observe does nothing.
func (unlimitedBudget) Observe(bool) {}

// Retry allows every retry.
func (unlimitedBudget) Retry() bool { return true }

func budgetFor(b loader.BaselineSettings) router.RetryBudget {
	if b.UnlimitedRetries {
		return unlimitedBudget{}
	}
	return newBudget()
}

// maxFailedAnswers returns the bound on error answers of a request; the baseline without a retry budget has none.
func maxFailedAnswers(b loader.BaselineSettings) int {
	if b.UnlimitedRetries {
		return math.MaxInt
	}
	return 0
}

// admissionPolicy returns the policy that the settings name; the loader has checked the name.
func admissionPolicy(name string) admitter.Policy {
	switch name {
	case admitter.SingleQueue.String():
		return admitter.SingleQueue
	case admitter.Unlimited.String():
		return admitter.Unlimited
	}
	return admitter.Ranked
}

func chooserPolicy(name string) balancer.Policy {
	switch name {
	case balancer.RoundRobin.String():
		return balancer.RoundRobin
	case balancer.ReportedLoad.String():
		return balancer.ReportedLoad
	}
	return balancer.TwoChoices
}

// Observe counts the end of a first try.
func (b *budget) Observe(success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Observe(success)
}

// Retry takes one retry from the budget.
func (b *budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(timer.Now())
}

const (
	backoffBase  = 5 * time.Millisecond
	backoffLimit = 100 * time.Millisecond
)

func newBackoff() func(attempt int) time.Duration {
	var mu sync.Mutex
	jitter := retrier.NewJitter(backoffBase, backoffLimit, rand.Uint64())
	return func(attempt int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return jitter.Backoff(attempt)
	}
}

// chooser shares one balancer.Chooser for each service between requests.
type chooser struct {
	zone    string
	policy  balancer.Policy
	reports func(applier.MemberID) (memberLoad, bool)

	mu       sync.Mutex
	services map[string]*serviceChooser
}

// serviceChooser chooses between the members of one service.
type serviceChooser struct {
	*balancer.Chooser
	// seen holds the time since which each member is known. Members that are known from the start count as warm.
	seen map[applier.MemberID]time.Duration
}

func newChooser(zone string, policy balancer.Policy, reports func(applier.MemberID) (memberLoad, bool)) *chooser {
	return &chooser{
		zone: zone, policy: policy, reports: reports,
		services: map[string]*serviceChooser{},
	}
}

// of returns the chooser of a service. The lock must be held.
func (c *chooser) of(service string) *serviceChooser {
	s, known := c.services[service]
	if !known {
		s = &serviceChooser{
			Chooser: balancer.NewChooser(balancer.ChooserConfig{Seed: rand.Uint64(), Policy: c.policy}),
			seen:    map[applier.MemberID]time.Duration{},
		}
		c.services[service] = s
	}
	return s
}

// Pick implements router.Chooser.
func (c *chooser) Pick(service string, members []applier.Member, tried []applier.MemberID) (applier.MemberID, bool) {
	now := timer.Now()
	candidates := make([]balancer.Candidate, len(members))
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(service)
	s.note(members, now)
	for i, m := range members {
		candidates[i] = balancer.Candidate{
			ID: m.ID, Zone: m.Zone, Slots: m.Slots, Age: now - s.seen[m.ID], ReportAge: -1,
			Tried: slices.Contains(tried, m.ID),
		}
		if report, known := c.reports(m.ID); known {
			candidates[i].ReportedInFlight = report.load.Running + report.load.Queued
			candidates[i].ReportAge = time.Since(report.at)
		}
	}
	return s.Pick(now, candidates, c.zone)
}

// maxSeen bounds the memory for members that have left.
const maxSeen = 1 << 16

// note remembers since when members are known.
func (s *serviceChooser) note(members []applier.Member, now time.Duration) {
	if len(s.seen)+len(members) > maxSeen {
		clear(s.seen)
	}
	at := now
	if len(s.seen) == 0 {
		at = 0
	}
	for _, m := range members {
		if _, known := s.seen[m.ID]; !known {
			s.seen[m.ID] = at
		}
	}
}

// Started implements router.Chooser.
func (c *chooser) Started(service string, id applier.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(service).Started(id)
}

// Finished implements router.Chooser.
func (c *chooser) Finished(service string, id applier.MemberID, r encoder.Response, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(service).Finished(timer.Now(), id, outcomeOf(r), latency)
}

// sum adds a figure of the choosers of all services up.
func (c *chooser) sum(figure func(*balancer.Chooser) float64) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		sum += figure(s.Chooser)
	}
	return sum
}

// register adds the gauges for operators.
func (c *chooser) register(set *metrics.Set) {
	gauge := func(name string, figure func(*balancer.Chooser) float64) {
		set.NewGauge(name, func() float64 { return c.sum(figure) })
	}
	gauge("hibiscus_members_ejected", func(c *balancer.Chooser) float64 { return float64(c.EjectedCount()) })
	for _, cause := range []balancer.Cause{balancer.Failing, balancer.Slow, balancer.Frozen} {
		gauge(`hibiscus_ejections{cause="`+cause.String()+`"}`, func(c *balancer.Chooser) float64 {
			return float64(c.Counts().Ejected[cause])
		})
	}
	gauge("hibiscus_ejections_refused", func(c *balancer.Chooser) float64 { return float64(c.Counts().EjectionsRefused) })
	gauge("hibiscus_ejections_replaced", func(c *balancer.Chooser) float64 { return float64(c.Counts().EjectionsReplaced) })
}

// outcomeOf judges a member by what became of a request there.
func outcomeOf(r encoder.Response) balancer.Outcome {
	switch {
	case r.Outcome == encoder.Answered && r.Status == http.StatusServiceUnavailable, r.Reason == encoder.Overloaded:
		return balancer.Shed
	case r.Outcome == encoder.Answered && !r.Failed():
		return balancer.Success
	case r.Reason == encoder.DeadlineExceeded:
		return balancer.Timeout
	case r.Reason == encoder.Cancelled:
		return balancer.Abandoned
	case r.Outcome == encoder.NotRun && r.Reason == encoder.Poison:
		// The request is to blame, not the member.
		return balancer.Success
	}
	return balancer.Failure
}
