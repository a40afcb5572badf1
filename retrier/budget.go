package retrier

import "time"

// Defaults of a Config.
const (
	DefaultShare            = 0.1
	DefaultMinimumPerSecond = 1
	DefaultBurst            = 100
)

// Config configures a Budget. Zero fields take the defaults; a negative Share or MinimumPerSecond means zero.
type Config struct {
	// Share is the number of retries that each successful first attempt adds to the budget.
	Share float64
	// MinimumPerSecond is the number of retries per second added regardless of successes, so that a client with little
	// traffic can retry too.
	MinimumPerSecond float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// Budget is a token bucket for retries. It is not safe for concurrent use.
type Budget struct {
	config     Config
	tokens     float64
	lastRefill time.Duration
	started    bool
}

// NewBudget returns a budget that holds one retry.
func NewBudget(c Config) *Budget {
	c.Share = withDefault(c.Share, DefaultShare)
	c.MinimumPerSecond = withDefault(c.MinimumPerSecond, DefaultMinimumPerSecond)
	c.Burst = max(withDefault(c.Burst, DefaultBurst), 1)
	return &Budget{config: c, tokens: 1}
}

func withDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

// Observe records the result of a first attempt. It must not be called for retries: a successful retry must not add to
// the budget.
func (b *Budget) Observe(success bool) {
	if success {
		b.tokens = min(b.tokens+b.config.Share, b.config.Burst)
	}
}

// Allow reports whether a retry may be made now and, if so, removes it from the budget.
func (b *Budget) Allow(now time.Duration) bool {
	if !b.started {
		b.started, b.lastRefill = true, now
	}
	if now > b.lastRefill {
		b.tokens = min(b.tokens+b.config.MinimumPerSecond*(now-b.lastRefill).Seconds(), b.config.Burst)
		b.lastRefill = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries in the budget as of the last call of Allow or Observe.
func (b *Budget) Available() float64 { return b.tokens }
