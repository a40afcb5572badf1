package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	_ "hibiscusline/seeder"
	"pgregory.net/rapid"
)

// TestNoRetryStorm guards against retries that multiply the load on a failing service: after 60 s of successes, a
// random share of attempts fails for 60 s, and each failure is retried up to five times if the budget allows.
func TestNoRetryStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Share:            rapid.Float64Range(0.01, 0.5).Draw(t, "share"),
			MinimumPerSecond: rapid.Float64Range(0.1, 20).Draw(t, "minimum"),
			Burst:            rapid.Float64Range(1, 200).Draw(t, "burst"),
		}
		perSecond := rapid.IntRange(1, 200).Draw(t, "rate")
		failingShare := rapid.Float64Range(0, 1).Draw(t, "failing")
		b := NewBudget(c)
		for range 60 * perSecond {
			b.Observe(true)
		}
		successes, retries := 0, 0
		for i := range 60 * perSecond {
			now := time.Hour + time.Duration(i)*time.Second/time.Duration(perSecond)
			success := float64(i%100) >= 100*failingShare
			b.Observe(success)
			if success {
				successes++
				continue
			}
			for range 5 {
				if !b.Allow(now) {
					break
				}
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), c.Burst+c.Share*float64(successes)+c.MinimumPerSecond*60+1)
	})
}

// TestMinimum guards against a client without successes that can never retry.
func TestMinimum(t *testing.T) {
	b := NewBudget(Config{Share: -1, MinimumPerSecond: 0.5})
	require.True(t, b.Allow(time.Second))
	require.False(t, b.Allow(2*time.Second))
	require.True(t, b.Allow(3*time.Second))
	require.False(t, b.Allow(time.Second), "a clock that goes backwards must not add to the budget")
}

// TestBackoff guards against backoff times above their bound, overflow at high attempt numbers, and clients that retry
// in lockstep.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := NewJitter(10*time.Millisecond, time.Second, rapid.Uint64().Draw(t, "seed"))
		attempt := rapid.IntRange(-1, 1000).Draw(t, "attempt")
		bound := 10 * time.Millisecond << min(max(attempt-1, 0), 10)
		distinct := map[time.Duration]bool{}
		for range 20 {
			d := j.Backoff(attempt)
			require.GreaterOrEqual(t, d, time.Duration(0))
			require.Less(t, d, min(bound, time.Second))
			distinct[d] = true
		}
		require.Greater(t, len(distinct), 10)
	})
}
