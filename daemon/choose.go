package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/retrier"
	"hibiscusline/timer"
)

// budget shares a retry budget between requests.
type budget struct {
	mu     sync.Mutex
	budget *retrier.Budget
}

func newBudget() *budget { return &budget{budget: retrier.NewBudget(retrier.Config{})} }

// Sent counts a first try.
func (b *budget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Observe(true)
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

// chooser picks the member with fewer requests of this process in flight out of two sampled ones.
type chooser struct {
	zone string
	mu   sync.Mutex
	busy map[applier.MemberID]int
}

func newChooser(zone string) *chooser { return &chooser{zone: zone, busy: map[applier.MemberID]int{}} }

// Pick implements router.Chooser.
func (c *chooser) Pick(members []applier.Member, avoid []applier.MemberID) (applier.MemberID, bool) {
	fresh := slices.DeleteFunc(slices.Clone(members), func(m applier.Member) bool { return slices.Contains(avoid, m.ID) })
	if len(fresh) == 0 {
		fresh = members
	}
	if len(fresh) == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a, b := fresh[rand.IntN(len(fresh))], fresh[rand.IntN(len(fresh))]
	if c.busy[b.ID] < c.busy[a.ID] {
		return b.ID, true
	}
	return a.ID, true
}

// Started implements router.Chooser.
func (c *chooser) Started(id applier.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[id]++
}

// Finished implements router.Chooser.
func (c *chooser) Finished(id applier.MemberID, _ encoder.Response, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[id]--; c.busy[id] <= 0 {
		delete(c.busy, id)
	}
}
