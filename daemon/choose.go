package daemon

import (
	"maps"
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

// sharedBudget makes a retrier.Budget safe for concurrent use.
type sharedBudget struct {
	mu     sync.Mutex
	budget *retrier.Budget
}

func newSharedBudget() *sharedBudget {
	return &sharedBudget{budget: retrier.NewBudget(retrier.Config{})}
}

// unlimitedBudget is the baseline for experiments without a retry budget.
type unlimitedBudget struct{}

// Observe does nothing.
func (unlimitedBudget) Observe(bool) {}

// Retry allows every retry.
func (unlimitedBudget) Retry() bool { return true }

func budgetFor(b loader.BaselineSettings) router.RetryBudget {
	if b.UnlimitedRetries {
		return unlimitedBudget{}
	}
	return newSharedBudget()
}

// maxFailedResponses returns the maximum number of error responses per request, where 0 selects the default. The
// baseline without a retry budget has no maximum.
func maxFailedResponses(b loader.BaselineSettings) int {
	if b.UnlimitedRetries {
		return math.MaxInt
	}
	return 0
}

// admissionPolicy returns the policy with the given name. The loader has validated the name.
func admissionPolicy(name string) admitter.Policy {
	switch name {
	case admitter.SingleQueue.String():
		return admitter.SingleQueue
	case admitter.Unlimited.String():
		return admitter.Unlimited
	case admitter.Ranked.String():
		return admitter.Ranked
	}
	return admitter.LeastCost
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

// Observe records the result of the first attempt of a request.
func (b *sharedBudget) Observe(success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Observe(success)
}

// Retry consumes one retry from the budget and reports whether it was available.
func (b *sharedBudget) Retry() bool {
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

// chooser holds one balancer.Chooser per service and is safe for concurrent use.
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
	// firstSeen holds the time at which each member was first seen. Members present at the start have time zero and
	// count as warm.
	firstSeen map[applier.MemberID]time.Duration
}

func newChooser(zone string, policy balancer.Policy, reports func(applier.MemberID) (memberLoad, bool)) *chooser {
	return &chooser{
		zone: zone, policy: policy, reports: reports,
		services: map[string]*serviceChooser{},
	}
}

// forService returns the chooser of a service, creating it if necessary. The lock must be held.
func (c *chooser) forService(service string) *serviceChooser {
	s, known := c.services[service]
	if !known {
		s = &serviceChooser{
			Chooser:   balancer.NewChooser(balancer.ChooserConfig{Seed: rand.Uint64(), Policy: c.policy}),
			firstSeen: map[applier.MemberID]time.Duration{},
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
	s := c.forService(service)
	s.recordMembers(members, now)
	for i, m := range members {
		candidates[i] = balancer.Candidate{
			ID: m.ID, Zone: m.Zone, Slots: m.Slots, Age: now - s.firstSeen[m.ID], ReportAge: -1,
			Tried: slices.Contains(tried, m.ID),
		}
		if report, known := c.reports(m.ID); known {
			candidates[i].ReportedInFlight = report.load.Running + report.load.Queued
			candidates[i].ReportAge = time.Since(report.at)
		}
	}
	return s.Pick(now, candidates, c.zone)
}

// maxTrackedMembers bounds the memory used for members that have left.
const maxTrackedMembers = 1 << 16

// recordMembers stores the time at which new members are first seen.
func (s *serviceChooser) recordMembers(members []applier.Member, now time.Duration) {
	if len(s.firstSeen)+len(members) > maxTrackedMembers {
		clear(s.firstSeen)
	}
	at := now
	if len(s.firstSeen) == 0 {
		at = 0
	}
	for _, m := range members {
		if _, known := s.firstSeen[m.ID]; !known {
			s.firstSeen[m.ID] = at
		}
	}
	if len(s.firstSeen) > len(members) {
		s.forgetAbsent(members)
	}
}

// forgetAbsent deletes the members that are not candidates now. They count as new when they return, such as those of an
// evacuated zone after its restoration.
func (s *serviceChooser) forgetAbsent(members []applier.Member) {
	present := make(map[applier.MemberID]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	maps.DeleteFunc(s.firstSeen, func(id applier.MemberID, _ time.Duration) bool { return !present[id] })
}

// Started implements router.Chooser.
func (c *chooser) Started(service string, id applier.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forService(service).Started(id)
}

// Finished implements router.Chooser.
func (c *chooser) Finished(service string, id applier.MemberID, r encoder.Response, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forService(service).Finished(timer.Now(), id, outcomeOf(r), latency)
}

// sum returns the sum of a value over the choosers of all services.
func (c *chooser) sum(value func(*balancer.Chooser) float64) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		sum += value(s.Chooser)
	}
	return sum
}

// registerGauges registers the gauges of ejected members, summed over all services.
func (c *chooser) registerGauges(set *metrics.Set) {
	gauge := func(name string, value func(*balancer.Chooser) float64) {
		set.NewGauge(name, func() float64 { return c.sum(value) })
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

// outcomeOf maps the response of a member to the outcome that the chooser records for it.
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
		// The request was refused because it crashes servers; this says nothing about the member.
		return balancer.Success
	}
	return balancer.Failure
}
