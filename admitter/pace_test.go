package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/limiter"
)

// coldLoad is the load of the tests of cold servers: a server of 9 slots that does 45 requests a second when warm and
// tolerates 16 while it is cold gets 20 urgent and 25 other requests a second.
const (
	coldRate    = 16.0
	coldBound   = coldRate*1.5 + 8
	coldService = 200 * time.Millisecond
)

type pacedRequest struct {
	urgent                      bool
	arrived, decidedAt, started time.Duration
	refusal                     *Refuse
}

// playCold plays a load of requests on a server that is cold in the given spans, and returns the requests and the starts.
func playCold(until time.Duration, rates [2]float64, spans [][2]time.Duration) (requests []*pacedRequest, starts []time.Duration) {
	a := New(Config{
		Slots: 9, QueueLimit: 512, Pace: limiter.Config{Share: 1.5, Slack: 8},
		Ranks: []Rank{
			{Name: "urgent", Urgency: 0, Target: 500 * time.Millisecond},
			{Name: "other", Urgency: 1, Target: 500 * time.Millisecond},
		},
	})
	random := rand.New(rand.NewPCG(3, 4))
	finish := map[uint64]time.Duration{}
	handle := func(now time.Duration, actions []Action) {
		for _, action := range actions {
			switch d := action.(type) {
			case Start:
				q := requests[d.ID]
				q.started, q.decidedAt, finish[d.ID] = now, now, now+coldService
				starts = append(starts, now)
			case Refuse:
				requests[d.ID].refusal, requests[d.ID].decidedAt = &d, now
			}
		}
	}
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < until; now += tick {
		for _, s := range spans {
			if s[0] == now {
				handle(now, a.Step(now, Pace{limiter.State{Until: s[1], Rate: coldRate}}))
			}
		}
		for id := range requests {
			if end, running := finish[uint64(id)]; running && end <= now {
				delete(finish, uint64(id))
				handle(now, a.Step(now, Finish{ID: uint64(id), Completed: true}))
			}
		}
		for rank, rate := range rates {
			for range arrivals(random, rate*tick.Seconds()) {
				id := uint64(len(requests))
				requests = append(requests, &pacedRequest{urgent: rank == 0, arrived: now})
				name := [2]string{"urgent", "other"}[rank]
				handle(now, a.Step(now, Arrive{ID: id, Rank: name, Deadline: now + 2*time.Second}))
			}
		}
		handle(now, a.Step(now, Tick{}))
	}
	return requests, starts
}

// mostInSecond returns the largest number of starts within one second of a span.
func mostInSecond(starts []time.Duration, from, to time.Duration) int {
	most := 0
	for i, first := range starts {
		count := 0
		for _, s := range starts[i:] {
			if first >= from && s < to && s < first+time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestFleetBackCold guards against a fleet that comes back cold at once, under its full load, and is sent more than it
// tolerates, so that it ends and comes back cold again. Each server has its share of the load and runs as much as it
// tolerates; the most urgent go first, and the others are refused at once.
func TestFleetBackCold(t *testing.T) {
	const cold = 3 * time.Second
	requests, starts := playCold(8*time.Second, [2]float64{20, 25}, [][2]time.Duration{{0, cold}})
	require.LessOrEqual(t, float64(mostInSecond(starts, 0, cold)), coldBound)
	var started [2]int
	atOnce, refused := 0, 0
	for _, q := range requests {
		switch {
		case q.arrived >= cold:
		case q.refusal != nil:
			refused++
			require.Positive(t, q.refusal.RetryAfter)
			if q.decidedAt == q.arrived {
				atOnce++
			}
		case q.started < cold && q.urgent:
			started[0]++
		case q.started < cold:
			started[1]++
		}
	}
	t.Logf("started %v, refused %d, at once %d", started, refused, atOnce)
	require.GreaterOrEqual(t, float64(started[0]+started[1]), 0.9*coldRate*cold.Seconds(), "the rate is used")
	require.Greater(t, started[0], 6*started[1], "the most urgent first")
	require.Greater(t, float64(atOnce), 0.9*float64(refused))
}

// TestWarmAgain guards against requests that are paced, or refused for the pace, after the server is warm.
func TestWarmAgain(t *testing.T) {
	const cold = 3 * time.Second
	requests, _ := playCold(8*time.Second, [2]float64{20, 15}, [][2]time.Duration{{0, cold}})
	late := 0
	for _, q := range requests {
		if q.arrived < cold+500*time.Millisecond || q.arrived > 7500*time.Millisecond {
			continue
		}
		require.Nil(t, q.refusal, "refused at %s", q.arrived)
		if q.started-q.arrived > 300*time.Millisecond {
			late++
		}
	}
	require.Zero(t, late)
}

// TestColdInTheMiddle guards against a server that becomes cold in the middle of its work and is sent what a warm one gets,
// and against a queue behind it that is longer than what it can start before the deadlines: all of these would be refused
// late.
func TestColdInTheMiddle(t *testing.T) {
	requests, starts := playCold(9*time.Second, [2]float64{20, 25}, [][2]time.Duration{{0, 0}, {2 * time.Second, 5 * time.Second}})
	require.LessOrEqual(t, float64(mostInSecond(starts, 2*time.Second, 5*time.Second)), coldBound)
	late := 0
	for _, q := range requests {
		if q.refusal != nil && q.decidedAt-q.arrived > time.Second {
			late++
		}
	}
	require.LessOrEqual(t, late, 3)
}

// TestOwnerOfHotKeys guards against a cold owner of hot keys at which three times the tolerated requests of one rank queue:
// for keys there is no other server. What it starts must be in time, and the wait is bounded by the target.
func TestOwnerOfHotKeys(t *testing.T) {
	const cold = 3 * time.Second
	requests, starts := playCold(cold, [2]float64{50, 0}, [][2]time.Duration{{0, cold}})
	require.LessOrEqual(t, float64(mostInSecond(starts, 0, cold)), coldBound)
	require.GreaterOrEqual(t, float64(len(starts)), 0.9*coldRate*cold.Seconds())
	for _, q := range requests {
		if q.refusal == nil && q.decidedAt > 0 {
			require.LessOrEqual(t, q.started-q.arrived, 500*time.Millisecond)
		}
	}
}
