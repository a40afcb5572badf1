package waiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPromiseCoversItsWaits guards against shares with which a lost answer, or an absence of the other party that has
// ended, breaks the promise (issue 33).
func TestPromiseCoversItsWaits(t *testing.T) {
	for _, within := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		p := Promise{Name: "test", Within: within}
		lost := p.Hedge(p.Hold(), 0)
		require.Less(t, lost.Overdue, within*6/10, "the answer to a read with a hold is lost")
		require.LessOrEqual(t, p.Pause()+lost.Overdue, within*96/100, "the answer to a read after a pause is lost")
		away := p.Hedge(Hold{}, 0)
		require.Less(t, away.Interval+p.Retry(), within*9/10, "the other party is back after a read was sent")
		silent := p.HedgeAfterSilence(Hold{}, 0)
		require.Equal(t, away.Interval, silent.Interval, "the other party is back after several reads got no answer")
		require.Greater(t, silent.Overdue+time.Duration(silent.Attempts-1)*silent.Interval, within*3/2, "a slow party is read")
		require.Positive(t, lost.Pause)
		require.Less(t, lost.Pause+away.Interval, within*9/10, "an answer begins and stops, and the repeat begins late")
		peers := p.HedgePeers()
		require.Less(t, p.FallbackDelay()+max(peers.Overdue, peers.Pause), within*7/10, "the usual source and another process are lost")
		require.Less(t, p.MaxAge(), within)
		require.Greater(t, p.MaxAge(), p.Hold().Duration()+p.RelayHold(), "the age of what others know in calm")
	}
}

// TestHoldIsBounded guards against a hold that is longer than its promise allows.
func TestHoldIsBounded(t *testing.T) {
	p := Promise{Name: "test", Within: 10 * time.Second}
	require.Equal(t, 4*time.Second, p.Hold().AtMost(time.Minute).Duration())
	require.Equal(t, time.Second, p.Hold().AtMost(time.Second).Duration())
	require.Zero(t, p.Hold().AtMost(-time.Second).Duration())
}

// TestSlowAnswers guards against a party whose reads are repeated, or given up, because it is slow.
func TestSlowAnswers(t *testing.T) {
	p := Promise{Name: "test", Within: 2 * time.Second}
	require.Equal(t, p.Hedge(p.Hold(), 0), p.Hedge(p.Hold(), 100*time.Millisecond))
	require.Equal(t, p.Hold().Duration()+1200*time.Millisecond, p.Hedge(p.Hold(), 600*time.Millisecond).Overdue)
	require.Equal(t, p.Hold().Duration()+maxSlowAnswer, p.Hedge(p.Hold(), time.Minute).Overdue)
}

// TestUrgentRead guards against a read that is repeated only when its answer comes too late, and against a store that is slow,
// or back after a longer time, and is asked twice by every read.
func TestUrgentRead(t *testing.T) {
	p := Promise{Name: "test", Within: 2 * time.Second}
	calm := p.Hedge(Hold{}, 0)
	require.Equal(t, 150*time.Millisecond, p.HedgeBy(300*time.Millisecond, 0).Overdue)
	require.Equal(t, calm.Interval, p.HedgeBy(300*time.Millisecond, 0).Interval)
	require.Equal(t, 600*time.Millisecond, p.HedgeBy(300*time.Millisecond, 300*time.Millisecond).Overdue)
	require.Equal(t, p.Hedge(Hold{}, time.Minute), p.HedgeBy(300*time.Millisecond, time.Minute))
	require.Equal(t, 100*time.Millisecond, p.HedgeBy(time.Millisecond, 0).Overdue)
	require.Equal(t, calm, p.HedgeBy(0, 0))
	require.Equal(t, calm, p.HedgeBy(time.Minute, 0))
}

// TestBoundEndsWait guards against a question that is awaited longer than its promise allows, or, without a bound, at all.
func TestBoundEndsWait(t *testing.T) {
	p := Promise{Name: "test", Within: 2 * time.Second}
	require.Equal(t, 500*time.Millisecond, p.Answer().Duration())
	require.Less(t, 2*p.Answer().Duration()+p.Retry(), p.Within, "one answer is lost, and the next one comes late")
	ctx, cancel := Exception{Reason: "test", Within: time.Millisecond}.Answer().Context(t.Context())
	defer cancel()
	<-ctx.Done()
	ctx, cancel = Bound{}.Context(t.Context())
	defer cancel()
	require.Error(t, ctx.Err())
}
