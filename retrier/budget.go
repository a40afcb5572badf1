package retrier

import "time"

// Defaults of a Config.
const (
	DefaultShare            = 0.1
	DefaultMinimumPerSecond = 1
	DefaultBurst            = 100
)

// Config configures a Budget. Zero fields take the defaults; a negative Share or MinimumPerSecond means none.
type Config struct {
	// Share is the number of retries that each successful first try allows.
	Share float64
	// MinimumPerSecond is the number of retries per second that are allowed regardless of successes, so that a caller
	// with little traffic can retry too.
	MinimumPerSecond float64
	// Burst bounds the number of retries saved up in good times.
	Burst float64
}

// Budget is a token bucket of retries. It is not safe for concurrent use.
type Budget struct {
	config Config
	tokens float64
	last   time.Duration
	begun  bool
}

// NewBudget returns a budget that allows one retry at once.
func NewBudget(c Config) *Budget {
	c.Share = withDefault(c.Share, DefaultShare)
	c.MinimumPerSecond = withDefault(c.MinimumPerSecond, DefaultMinimumPerSecond)
	c.Burst = max(withDefault(c.Burst, DefaultBurst), 1)
	return &Budget{config: c, tokens: 1}
}

func withDefault(value, standard float64) float64 {
	if value == 0 {
		return standard
	}
	return max(value, 0)
}

// Observe records the end of a first try. Retries are not observed: a retry that succeeds must not pay for further
// retries.
func (b *Budget) Observe(success bool) {
	if success {
		b.tokens = min(b.tokens+b.config.Share, b.config.Burst)
	}
}

// Allow reports whether a retry may be made now, and takes it from the budget.
func (b *Budget) Allow(now time.Duration) bool {
	if !b.begun {
		b.begun, b.last = true, now
	}
	if now > b.last {
		b.tokens = min(b.tokens+b.config.MinimumPerSecond*(now-b.last).Seconds(), b.config.Burst)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that would be allowed without further successes or time.
func (b *Budget) Available() float64 { return b.tokens }
