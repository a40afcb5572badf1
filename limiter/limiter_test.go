package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	_ "hibiscusline/seeder"
	"pgregory.net/rapid"
)

// TestBound guards against more requests in a second than a cold server may get, whatever arrives, whenever it becomes cold
// again, and whenever the process beside it starts again.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Share: rapid.Float64Range(1, 2).Draw(t, "share"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack")}
		rate := rapid.Float64Range(0.5, 80).Draw(t, "rate")
		l := New(c)
		now := time.Second
		var starts []time.Duration
		var coldSince, until time.Duration
		restart := func() {
			// The process starts again at once and takes the server to be cold.
			l = New(c)
			if until <= now {
				coldSince = now
			}
			until = max(until, now+3*time.Second)
			l.Set(now, State{Until: until, Rate: rate})
		}
		restart()
		for range rapid.IntRange(100, 2000).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 300).Draw(t, "event") {
			case 0:
				restart()
			case 1:
				if until <= now {
					coldSince = now
				}
				until = now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold"))*time.Millisecond
				l.Set(now, State{Until: until, Rate: rate})
			}
			for l.Allows(now) && (until > now || rapid.Bool().Draw(t, "arrives")) {
				l.Started(now)
				if now < until {
					starts = append(starts, now)
				}
			}
			inSecond := 0
			for _, s := range starts {
				if s > now-time.Second && s >= coldSince {
					inSecond++
				}
			}
			require.LessOrEqual(t, float64(inSecond), rate*c.Share+c.Slack, "more than the bound in one second")
		}
	})
}

// TestRate guards against a pace that leaves a part of what the cold server tolerates unused while requests wait, and
// against one that goes on after the server is warm.
func TestRate(t *testing.T) {
	l := New(Config{Share: 1.5, Slack: 8})
	l.Set(0, State{Until: 10 * time.Second, Rate: 16})
	started := 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		for l.Allows(now) {
			l.Started(now)
			started++
		}
	}
	require.InDelta(t, 160, started, 2)
	for range 100 {
		require.True(t, l.Allows(10*time.Second), "the server is warm")
		l.Started(10 * time.Second)
	}
}

// TestColdAgain guards against a server that gets a second's requests twice because it becomes cold in the middle: those
// that it got before count, since it may have been cold before that was known.
func TestColdAgain(t *testing.T) {
	l := New(Config{Share: 1.5, Slack: 8})
	l.Set(0, State{Rate: 16})
	for now := time.Duration(0); now < time.Second; now += 20 * time.Millisecond {
		require.True(t, l.Allows(now))
		l.Started(now)
	}
	l.Set(time.Second, State{Until: 4 * time.Second, Rate: 16})
	now := time.Second
	for !l.Allows(now) {
		now += 20 * time.Millisecond
	}
	require.Greater(t, now, 1400*time.Millisecond, "32 of the 50 starts of the last second are left to wait for")
	require.Less(t, now, 1500*time.Millisecond)
}

// TestWait guards against estimates that let requests wait for a server that can't be sent them in time, or refuse those
// that it can be sent.
func TestWait(t *testing.T) {
	l := New(Config{Share: 1.5, Slack: 8})
	require.Zero(t, l.Wait(0, 100, 16), "a server without a rate")
	l.Set(0, State{Until: 3 * time.Second, Rate: 10})
	require.Equal(t, 100*time.Millisecond, l.Wait(0, 0, 10))
	require.Equal(t, 600*time.Millisecond, l.Wait(0, 5, 10))
	require.Equal(t, 3*time.Second, l.Wait(0, 100, 10), "until it is warm")
	require.Zero(t, l.Wait(100*time.Millisecond, 0, 10))
	require.Zero(t, l.Wait(3*time.Second, 100, 10))
}

// TestSignal guards against a server that is overwhelmed because a late, missing or contradicting report counts as warm, and
// against one that stays paced for good.
func TestSignal(t *testing.T) {
	const cold = 3 * time.Second
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	var s Signal
	s.Assume(at(10), cold, NewServer)
	require.Equal(t, at(13), s.Until(), "a new server without a report")
	s.Observe(at(10.1), 1, 0, cold)
	require.LessOrEqual(t, s.Until(), at(10.1), "a new server that says it is warm is believed")
	s.Observe(at(11), 2, at(2), cold)
	require.Equal(t, at(13), s.Until())
	s.Observe(at(11.2), 1, 0, cold)
	require.Equal(t, at(13), s.Until(), "an earlier report arrives late")
	s.Observe(at(12), 3, at(1), cold)
	require.Equal(t, at(13), s.Until())
	s.Observe(at(12.5), 4, cold, cold)
	require.Equal(t, at(15.5), s.Until(), "cold again")
	for i := range 20 {
		s.Observe(at(13)+time.Duration(i)*time.Second/2, uint64(5+i), cold, cold)
	}
	require.Equal(t, at(15.5), s.Until(), "a rest that doesn't change is believed for the cold time")
	s.Assume(at(30), cold, Silence)
	require.Equal(t, at(33), s.Until())
	s.Observe(at(31), 40, 0, cold)
	require.LessOrEqual(t, s.Until(), at(31), "the report after a silence")
	var warm Signal
	warm.Assume(at(1), 0, NewProcess)
	warm.Observe(at(1), 1, cold, 0)
	require.Zero(t, warm.Until(), "a service without a cold time")
}
