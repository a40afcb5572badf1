package admitter

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	costSlots   = 9
	costService = 130 * time.Millisecond
	// costCapacity is the number of requests/s that the slots serve.
	costCapacity = costSlots / 0.130
	costSeconds  = 62
)

// lookups returns requests of one kind whose load is the given multiple of the capacity at each time.
func lookups(factor func(now time.Duration) float64) workload {
	return workload{
		Rank: Rank{Name: "lookup", Target: 400 * time.Millisecond}, rate: costCapacity, service: costService,
		timeout: time.Second, factor: factor,
	}
}

func always(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// every returns a load that is high for the first part of each period, and low for the rest.
func every(period, part time.Duration, high, low float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now%period < part {
			return high
		}
		return low
	}
}

// TestLeastCost guards against slots that are used for answers that come late while others could still come in time: in
// bursts, in waves and in a lasting overload.
func TestLeastCost(t *testing.T) {
	capacity := costCapacity * (costSeconds - warmUp.Seconds())
	atOnce := 1 - math.Exp(-400.0/130)
	for name, c := range map[string]struct {
		factor func(time.Duration) float64
		// lasting means that the load exceeds the capacity all the time.
		lasting bool
	}{
		"twice the capacity":      {factor: always(2), lasting: true},
		"five times the capacity": {factor: always(5), lasting: true},
		"bursts of 2.5 times":     {factor: every(4*time.Second, time.Second, 2.5, 0.6)},
		"short waves":             {factor: every(time.Second, 300*time.Millisecond, 2.5, 0.5)},
	} {
		t.Run(name, func(t *testing.T) {
			w := lookups(c.factor)
			before := simulate(Config{Slots: costSlots, QueueLimit: 512, Policy: Ranked}, []workload{w}, costSeconds)[0]
			after := simulate(Config{Slots: costSlots, QueueLimit: 512, Policy: LeastCost}, []workload{w}, costSeconds)[0]
			t.Logf("in order of arrival %+v, least cost %+v", before, after)
			require.GreaterOrEqual(t, after.inTime, before.inTime)
			if c.lasting {
				require.Greater(t, float64(after.inTime), 0.9*atOnce*capacity)
				require.Greater(t, float64(after.inTime+after.late), 0.9*capacity)
			}
		})
	}
}

// TestBackAfterOverload guards against work left from an overload that makes later answers late.
func TestBackAfterOverload(t *testing.T) {
	const overload = 20 * time.Second
	w := lookups(func(now time.Duration) float64 {
		if now < overload {
			return 5
		}
		return 0.7
	})
	calm := lookups(always(0.7))
	w.from = overload + 5*time.Second
	calm.from = w.from
	config := Config{Slots: costSlots, QueueLimit: 512, Policy: LeastCost}
	after := simulate(config, []workload{w}, costSeconds)[0]
	usual := simulate(config, []workload{calm}, costSeconds)[0]
	t.Logf("after the overload %+v, usually %+v", after, usual)
	share := func(o outcome) float64 { return float64(o.inTime) / float64(o.inTime+o.late) }
	require.Greater(t, share(after), share(usual)-0.02)
}

// TestNestedFirst guards against a call of a running request that is refused, or waits, behind requests of callers that are no
// more urgent: a refusal costs the slot time of the request that makes the call as well.
func TestNestedFirst(t *testing.T) {
	a := New(Config{Slots: 1, QueueLimit: 100, Policy: LeastCost, Ranks: []Rank{
		{Name: "register", Urgency: 1, Target: 800 * time.Millisecond},
		{Name: "read", Urgency: 1, Target: 120 * time.Millisecond},
		{Name: "pay", Urgency: 0, Target: 400 * time.Millisecond},
	}})
	now := time.Second
	a.Step(now, Arrive{ID: 1, Rank: "register", Deadline: now + time.Second})
	now += 100 * time.Millisecond
	a.Step(now, Finish{ID: 1, Completed: true})
	for id := uint64(2); id < 30; id++ {
		a.Step(now, Arrive{ID: id, Rank: "register", Deadline: now + 1200*time.Millisecond})
	}
	now += 10 * time.Millisecond
	require.Empty(t, a.Step(now, Arrive{ID: 100, Rank: "read", Nested: true, Deadline: now + 400*time.Millisecond}))
	require.Empty(t, a.Step(now, Arrive{ID: 101, Rank: "pay", Deadline: now + time.Second}))
	require.Equal(t, []Action{Start{ID: 101}}, a.Step(now, Finish{ID: 2, Completed: true}), "it isn't put before a more urgent request")
	require.Equal(t, []Action{Start{ID: 100}}, a.Step(now, Finish{ID: 101, Completed: true}))
}

// TestEqualWork guards against a rank that gets no slots because another of its urgency needs less work.
func TestEqualWork(t *testing.T) {
	short := workload{Rank: Rank{Name: "short", Target: 400 * time.Millisecond}, rate: 300, service: 50 * time.Millisecond, timeout: time.Second}
	long := workload{Rank: Rank{Name: "long", Target: 800 * time.Millisecond}, rate: 100, service: 200 * time.Millisecond, timeout: 2 * time.Second}
	o := simulate(Config{Slots: costSlots, QueueLimit: 512, Policy: LeastCost}, []workload{short, long}, costSeconds)
	before := simulate(Config{Slots: costSlots, QueueLimit: 512}, []workload{short, long}, costSeconds)
	t.Logf("in order of arrival %+v, least cost %+v", before, o)
	served := func(o outcome) float64 { return float64(o.inTime + o.late) }
	// The slots serve 9 s of work a second, where 35 s arrive.
	const fair = costSlots / (300*0.05 + 100*0.2)
	for i, w := range []workload{short, long} {
		require.Greater(t, served(o[i]), fair/2*w.rate*(costSeconds-warmUp.Seconds()), w.Name)
	}
	require.Greater(t, served(o[0])+served(o[1]), served(before[0])+served(before[1]))
}

// TestNestedFlood guards against callers' requests that get no slots behind more nested requests of their urgency than the slots
// can serve.
func TestNestedFlood(t *testing.T) {
	calls := workload{
		Rank: Rank{Name: "calls", Target: 120 * time.Millisecond}, rate: 600, service: 30 * time.Millisecond,
		timeout: 400 * time.Millisecond, nested: true,
	}
	o := simulate(Config{Slots: costSlots, QueueLimit: 512, Policy: LeastCost}, []workload{calls, lookups(always(0.5))}, costSeconds)
	t.Logf("%+v", o)
	served := func(o outcome) float64 { return float64(o.inTime+o.late) / float64(o.arrived) }
	// Half of the share that all would get, less the variance of arrivals and the warm-up.
	const fair = costSlots / (600*0.030 + 0.5*costSlots)
	require.Greater(t, served(o[1]), 0.9*fair/2)
}

// TestRetrySpread guards against callers that are refused together and told to come back together.
func TestRetrySpread(t *testing.T) {
	a := New(Config{Slots: 1, QueueLimit: 2, Policy: LeastCost, Ranks: []Rank{{Name: "lookup", Target: time.Second}}})
	seen := map[time.Duration]bool{}
	for id := range uint64(50) {
		for _, action := range a.Step(time.Second, Arrive{ID: id + 1, Rank: "lookup", Deadline: 10 * time.Second}) {
			if r, refused := action.(Refuse); refused {
				require.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
				seen[r.RetryAfter] = true
			}
		}
	}
	require.Len(t, seen, 47)
}
