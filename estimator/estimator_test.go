package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const work = 100 * time.Millisecond

// reporting reports for some time, every 20 ms, and returns the time after it.
func reporting(e *Estimator, now, span time.Duration, r Report) time.Duration {
	for end := now + span; now < end; now += 20 * time.Millisecond {
		e.Report(now, "a", r)
	}
	return now
}

// steady returns an estimator that knows a server at which work takes as long as usual.
func steady() (*Estimator, time.Duration) {
	e := NewEstimator()
	now := reporting(e, time.Hour, 30*time.Second, Report{ServiceTime: work, Slowness: 1})
	return e, now
}

// TestQuickDownCarefulUp guards against requests that still go to a server after it has said that it is slow, and against a
// herd at one that has just said that it is fast again.
func TestQuickDownCarefulUp(t *testing.T) {
	e, now := steady()
	require.InDelta(t, work, e.Expected(now, "a"), float64(work/50))
	e.Report(now, "a", Report{ServiceTime: work, Slowness: 3})
	require.InDelta(t, 3*work, e.Expected(now, "a"), float64(work/10), "one report that a server is slow counts at once")
	now += 20 * time.Millisecond
	e.Report(now, "a", Report{ServiceTime: work, Slowness: 1})
	require.Greater(t, e.Expected(now, "a"), 2*work, "one report that it is fast again doesn't")
	now = reporting(e, now, time.Second, Report{ServiceTime: work, Slowness: 1})
	require.InDelta(t, work, e.Expected(now, "a"), float64(work/10))
}

// TestReportFades guards against a server that is avoided, or sought, for longer than its report is worth something, when no
// newer one arrives.
func TestReportFades(t *testing.T) {
	for _, slowness := range []float64{0.6, 3} {
		e, now := steady()
		now = reporting(e, now, 400*time.Millisecond, Report{ServiceTime: work, Slowness: slowness})
		at := e.Expected(now, "a")
		half := e.Expected(now+reportLifetime/2, "a")
		require.InDelta(t, float64(at+work)/2, float64(half), float64(work/5))
		require.InDelta(t, work, e.Expected(now+reportLifetime, "a"), float64(work/50))
	}
}

// TestConstantLies guards against a server that attracts or repels requests because it always says the same.
func TestConstantLies(t *testing.T) {
	for _, slowness := range []float64{0.01, 100} {
		e := NewEstimator()
		now := time.Hour
		for range 1500 {
			now = reporting(e, now, 20*time.Millisecond, Report{ServiceTime: work, Slowness: slowness})
			require.GreaterOrEqual(t, e.Expected(now, "a"), work/2)
			require.LessOrEqual(t, e.Expected(now, "a"), 4*work)
		}
		require.InDelta(t, work, e.Expected(now, "a"), float64(work/20))
	}
}

// TestSilence guards against estimates for servers that never say how slow they are, and against a choice that changes its kind
// whenever such a report is missing.
func TestSilence(t *testing.T) {
	e := NewEstimator()
	now := reporting(e, time.Hour, 10*time.Second, Report{ServiceTime: work})
	e.Observe(now, "a", work)
	require.Zero(t, e.Expected(now, "a"))
	require.Zero(t, e.Expected(now, "unknown"))
	now = reporting(e, now, time.Second, Report{ServiceTime: work, Slowness: 1})
	now = reporting(e, now, 5*time.Second, Report{ServiceTime: 2 * work})
	require.InDelta(t, 2*work, e.Expected(now, "a"), float64(work/20), "without a report the measured mean counts")
}

// TestObserved guards against servers without an estimate because the process beside them hasn't measured anything, and against
// response times that count beside measured service times.
func TestObserved(t *testing.T) {
	e := NewEstimator()
	now := time.Hour
	e.Report(now, "a", Report{Slowness: 1})
	require.Zero(t, e.Expected(now, "a"))
	e.Observe(now, "a", 3*work)
	require.InDelta(t, 3*work, e.Expected(now, "a"), float64(work/50))
	e.Report(now, "a", Report{ServiceTime: work, Slowness: 1})
	require.InDelta(t, work, e.Expected(now, "a"), float64(work/50))
}

// TestBounded guards against estimates beyond the limits around what was measured, whatever a server says and however late, and
// against memory that grows with former servers.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := NewEstimator(), time.Hour
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			slowness := rapid.SampledFrom([]float64{0, 0.01, 0.5, 1, 3, 100, 1e4}).Draw(t, "slowness")
			e.Report(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Report{ServiceTime: work, Slowness: slowness})
			for name := range e.servers {
				if got := e.Expected(now, name); got != 0 {
					require.InDelta(t, work, got, 3*float64(work))
					require.GreaterOrEqual(t, got, work/2-1)
				}
			}
		}
		e.Report(now+2*expiry, "d", Report{ServiceTime: work})
		require.Len(t, e.servers, 1)
	})
}
