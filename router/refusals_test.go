package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/encoder"
)

// TestRefusalCache guards against an overload in which each refused request costs a round trip to the owner, and
// against cached refusals of requests that the owner would run.
func TestRefusalCache(t *testing.T) {
	now := time.Now()
	overloaded := encoder.Response{
		Outcome: encoder.NotRun, Reason: encoder.Overloaded, RetryAfter: time.Second,
		Load: encoder.Load{Queued: 10, Rate: 100, LowestAdmitted: 1},
	}
	refused := func(cache *refusalCache, urgency int, remaining, after time.Duration) bool {
		_, refused := cache.lookUp(7, urgency, remaining, now.Add(after))
		return refused
	}
	for _, urgency := range []int{0, 2} {
		cache := &refusalCache{}
		require.False(t, refused(cache, urgency, time.Second, 0))
		cache.record(7, urgency, time.Second, overloaded, now)
		require.True(t, refused(cache, urgency, time.Second, 20*time.Millisecond))
		require.False(t, refused(cache, urgency, 2*time.Second, 0), "a request with more time may run")
		require.False(t, refused(cache, 1, time.Second, 0), "another rank may have its floor")
		require.False(t, refused(cache, urgency, time.Second, maxRefusalLifetime+1))
	}
	cache := &refusalCache{}
	cache.record(7, 0, time.Second, overloaded, now)
	require.False(t, refused(cache, 0, time.Second, 26*time.Millisecond), "the owner's queue must not run empty")
	idle := overloaded
	idle.Load.Queued = 0
	cache = &refusalCache{}
	cache.record(7, 0, time.Second, idle, now)
	require.False(t, refused(cache, 0, time.Second, 0), "an owner without queue must get requests")
}
