package daemon

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

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

func budgetFor(b loader.BaselineSettings) router.Budget {
	if b.UnlimitedRetries {
		return unlimitedBudget{}
	}
	return newBudget()
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

// chooser shares a balancer.Chooser between requests.
type chooser struct {
	zone    string
	reports func(applier.MemberID) (memberLoad, bool)

	mu      sync.Mutex
	chooser *balancer.Chooser
	// seen holds the time since which each member is known. Members that are known from the start count as warm.
	seen map[applier.MemberID]time.Duration
}

func newChooser(zone string, policy balancer.Policy, reports func(applier.MemberID) (memberLoad, bool)) *chooser {
	return &chooser{
		zone: zone, reports: reports,
		chooser: balancer.NewChooser(balancer.ChooserConfig{Seed: rand.Uint64(), Policy: policy}),
		seen:    map[applier.MemberID]time.Duration{},
	}
}

// Pick implements router.Chooser.
func (c *chooser) Pick(members []applier.Member, avoid []applier.MemberID) (applier.MemberID, bool) {
	fresh := slices.DeleteFunc(slices.Clone(members), func(m applier.Member) bool { return slices.Contains(avoid, m.ID) })
	if len(fresh) == 0 {
		fresh = members
	}
	now := timer.Now()
	candidates := make([]balancer.Candidate, len(fresh))
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, m := range fresh {
		candidates[i] = balancer.Candidate{ID: m.ID, Zone: m.Zone, Slots: m.Slots, Joined: now - c.firstSeen(m.ID, now), ReportAge: -1}
		if report, known := c.reports(m.ID); known {
			candidates[i].ReportedInFlight = report.load.Running + report.load.Queued
			candidates[i].ReportAge = time.Since(report.at)
		}
	}
	return c.chooser.Pick(now, candidates, c.zone)
}

// maxSeen bounds the memory for members that have left.
const maxSeen = 1 << 16

func (c *chooser) firstSeen(id applier.MemberID, now time.Duration) time.Duration {
	if at, known := c.seen[id]; known {
		return at
	}
	if len(c.seen) >= maxSeen {
		clear(c.seen)
	}
	at := now
	if len(c.seen) == 0 {
		at = 0
	}
	c.seen[id] = at
	return at
}

// Started implements router.Chooser.
func (c *chooser) Started(id applier.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.Started(id)
}

// Finished implements router.Chooser.
func (c *chooser) Finished(id applier.MemberID, r encoder.Response, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.Finished(timer.Now(), id, outcomeOf(r), latency)
}

// outcomeOf judges a member by what became of a request there.
func outcomeOf(r encoder.Response) balancer.Outcome {
	switch {
	case r.Outcome == encoder.Answered && r.Status == http.StatusServiceUnavailable, r.Reason == encoder.Overloaded:
		return balancer.Shed
	case r.Outcome == encoder.Answered && r.Status < http.StatusInternalServerError:
		return balancer.Success
	case r.Reason == encoder.DeadlineExceeded:
		return balancer.Timeout
	case r.Outcome == encoder.NotRun && (r.Reason == encoder.Poison || r.Reason == encoder.Cancelled):
		// The request is to blame, not the member.
		return balancer.Success
	}
	return balancer.Failure
}
