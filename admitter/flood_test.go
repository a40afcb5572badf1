package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// workload is the simulated load of one rank.
type workload struct {
	Rank
	rate           float64 // requests/s
	service        time.Duration
	constant       bool
	exclusiveShare float64       // share of exclusive requests
	timeout        time.Duration // the target if zero
	nested         bool
	// factor multiplies the rate at a given time. Nil means one.
	factor func(now time.Duration) float64
	// from is the arrival time from which requests are counted, if it is after the warm-up.
	from time.Duration
}

// outcome counts the requests of a workload. Only arrived and refused include the warm-up.
type outcome struct {
	arrived, inTime, late, refused int
	slotTime                       time.Duration
}

type job struct {
	id       uint64
	class    int
	service  time.Duration
	arrived  time.Duration
	finishAt time.Duration
}

const warmUp = 2 * time.Second

// simulate generates Poisson arrivals for a number of seconds of virtual time.
func simulate(c Config, classes []workload, seconds int) []outcome {
	for _, k := range classes {
		if !slices.Contains(c.Ranks, k.Rank) {
			c.Ranks = append(c.Ranks, k.Rank)
		}
	}
	a := New(c)
	random := rand.New(rand.NewPCG(1, 2))
	results, jobs, running := make([]outcome, len(classes)), map[uint64]*job{}, []*job{}
	var id uint64
	handle := func(now time.Duration, actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case Start:
				j := jobs[action.ID]
				j.finishAt = now + j.service
				running = append(running, j)
			case Refuse:
				results[jobs[action.ID].class].refused++
				delete(jobs, action.ID)
			}
		}
	}
	const tick = 500 * time.Microsecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += tick {
		unfinished := running[:0:0]
		finished := []*job{}
		for _, j := range running {
			if j.finishAt <= now {
				finished = append(finished, j)
			} else {
				unfinished = append(unfinished, j)
			}
		}
		running = unfinished
		for _, j := range finished {
			record(&results[j.class], classes[j.class], j)
			delete(jobs, j.id)
			handle(now, a.Step(now, Finish{ID: j.id, Completed: true}))
		}
		for i, k := range classes {
			rate := k.rate
			if k.factor != nil {
				rate *= k.factor(now)
			}
			for range arrivals(random, rate*tick.Seconds()) {
				id++
				service := k.service
				if !k.constant {
					service = time.Duration(random.ExpFloat64() * float64(k.service))
				}
				jobs[id] = &job{id: id, class: i, service: service, arrived: now}
				results[i].arrived++
				handle(now, a.Step(now, Arrive{
					ID: id, Rank: k.Name, Deadline: now + max(k.Target, k.timeout), Exclusive: random.Float64() < k.exclusiveShare, Nested: k.nested,
				}))
			}
		}
		handle(now, a.Step(now, Tick{}))
	}
	return results
}

func record(o *outcome, k workload, j *job) {
	if j.finishAt < warmUp || j.arrived < k.from {
		return
	}
	o.slotTime += j.service
	if j.finishAt-j.arrived <= k.Target {
		o.inTime++
	} else {
		o.late++
	}
}

func arrivals(random *rand.Rand, mean float64) int {
	count, product := 0, random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= random.Float64()
	}
	return count
}

// underPolicies runs a test under each policy that serves ranks in order of urgency.
func underPolicies(t *testing.T, test func(t *testing.T, p Policy)) {
	for _, p := range []Policy{Ranked, LeastCost} {
		t.Run(p.String(), func(t *testing.T) { test(t, p) })
	}
}

// workloads returns three workloads with the given rates in requests/s. The capacity in these tests is
// 12 slots / 10 ms = 1200 requests/s.
func workloads(orders, stock, patterns float64) []workload {
	return []workload{
		{
			Rank: Rank{Name: "order", Urgency: 0, Floor: 0.2, Target: 150 * time.Millisecond},
			rate: orders, service: 10 * time.Millisecond,
		},
		{
			Rank: Rank{Name: "stock", Urgency: 1, Floor: 0.2, Target: 250 * time.Millisecond},
			rate: stock, service: 10 * time.Millisecond,
		},
		{
			Rank: Rank{Name: "pattern", Urgency: 2, Floor: 0.1, Target: time.Second},
			rate: patterns, service: 10 * time.Millisecond,
		},
	}
}

// TestFloods guards against overloads that break the service targets: urgent requests must keep theirs while the least
// urgent rank is overloaded, and goodput and floors must hold while the most urgent rank is.
func TestFloods(t *testing.T) { underPolicies(t, testFloods) }

func testFloods(t *testing.T, p Policy) {
	const seconds = 22
	capacity := 12 * (seconds*time.Second - warmUp)
	config := Config{Slots: 12, QueueLimit: 200, Policy: p}
	t.Run("least urgent", func(t *testing.T) {
		o := simulate(config, workloads(200, 300, 6000), seconds)
		t.Logf("%+v", o)
		require.GreaterOrEqual(t, float64(o[0].inTime), 0.99*200*20*0.97,
			"orders kept 99%% of their rate, less the variance of arrivals")
		require.Less(t, float64(o[0].late+o[0].refused), 0.01*float64(o[0].arrived))
		require.Less(t, float64(o[1].late+o[1].refused), 0.02*float64(o[1].arrived))
	})
	t.Run("most urgent", func(t *testing.T) {
		o := simulate(config, workloads(6000, 600, 600), seconds)
		t.Logf("%+v", o)
		goodput := 0
		for _, k := range o {
			goodput += k.inTime
		}
		require.Greater(t, float64(goodput), 0.95*1200*20)
		require.Greater(t, float64(o[1].slotTime), 0.97*0.2*float64(capacity))
		require.Greater(t, float64(o[2].slotTime), 0.97*0.1*float64(capacity))
	})
	t.Run("callers that wait longer than the target", func(t *testing.T) {
		c := workloads(6000, 300, 100)
		c[0].timeout, c[1].timeout, c[2].timeout = time.Second, time.Second, 2*time.Second
		o := simulate(Config{Slots: 12, QueueLimit: 2000, Policy: p}, c, seconds)
		t.Logf("%+v", o)
		require.Greater(t, float64(o[0].inTime), 0.9*800*20, "a standing queue must not make all answers late")
		require.Less(t, float64(o[0].late), 0.1*float64(o[0].inTime))
	})
	t.Run("less than the floor", func(t *testing.T) {
		c := workloads(6000, 190, 100)
		c[1].Target = 50 * time.Millisecond
		c[0].timeout, c[1].timeout, c[2].timeout = time.Second, time.Second, 2*time.Second
		o := simulate(Config{Slots: 12, QueueLimit: 2000, Policy: p}, c, seconds)
		t.Logf("%+v", o)
		require.Zero(t, o[1].refused, "a rank that asks for less than its floor must get it")
	})
	t.Run("long requests", func(t *testing.T) {
		c := workloads(600, 6000, 100)
		c[0].service, c[0].Target = 200*time.Millisecond, 2*time.Second
		c[2].service, c[2].Target = 100*time.Millisecond, 2*time.Second
		o := simulate(config, c, seconds)
		t.Logf("%+v", o)
		require.Greater(t, float64(o[1].slotTime), 0.95*0.2*float64(capacity))
		require.Greater(t, float64(o[2].slotTime), 0.95*0.1*float64(capacity))
	})
	t.Run("suspects", func(t *testing.T) {
		c := workloads(400, 0, 600)
		c[2].exclusiveShare = 1
		o := simulate(config, c, seconds)
		t.Logf("%+v", o)
		require.Greater(t, float64(o[0].inTime), 0.85*400*20, "exclusive requests must leave most of the time to others")
		require.Positive(t, o[2].inTime)
	})
}

// TestIdleCredit guards against a rank that accumulates credit while idle and then delays urgent requests with a burst.
func TestIdleCredit(t *testing.T) {
	a := New(Config{Slots: 4, Ranks: []Rank{{Name: "order"}, {Name: "pattern", Urgency: 1, Floor: 0.5}}, QueueLimit: 100})
	a.Step(0, Arrive{ID: 1, Rank: "pattern"})
	a.Step(10*time.Millisecond, Finish{ID: 1, Completed: true})
	now := time.Hour
	for id := uint64(10); id < 40; id++ {
		a.Step(now, Arrive{ID: id, Rank: "order"})
	}
	for id := uint64(110); id < 140; id++ {
		a.Step(now, Arrive{ID: id, Rank: "pattern"})
	}
	for id := uint64(10); id < 20; id++ {
		require.Equal(t, []Action{Start{ID: id + 4}}, a.Step(now, Finish{ID: id, Completed: true}))
	}
}

// TestEqualUrgency guards against a rank that gets no slots behind a flood of another rank of the same urgency, in whichever
// order the ranks were met: routes that are added later have ranks of their own.
func TestEqualUrgency(t *testing.T) { underPolicies(t, testEqualUrgency) }

func testEqualUrgency(t *testing.T, p Policy) {
	const seconds = 22
	for _, floodFirst := range []bool{true, false} {
		flood := workload{
			Rank: Rank{Name: "first", Target: 800 * time.Millisecond}, rate: 400, service: 100 * time.Millisecond, timeout: 5 * time.Second,
		}
		few := workload{
			Rank: Rank{Name: "added", Target: time.Second}, rate: 10, service: 100 * time.Millisecond, timeout: 5 * time.Second,
		}
		list := []workload{flood, few}
		if !floodFirst {
			list = []workload{few, flood}
		}
		o := simulate(Config{Slots: 12, QueueLimit: 512, Policy: p}, list, seconds)
		t.Logf("%+v", o)
		share := map[string]float64{}
		for i, w := range list {
			share[w.Name] = float64(o[i].inTime+o[i].late) / float64(o[i].arrived)
		}
		// The slots serve 120 of 410 requests a second. Neither rank may get less than half of its part of them.
		const fair = 120.0 / 410
		require.Greater(t, share["added"], fair/2)
		require.Greater(t, share["first"], fair/2)
	}
}

// slowServer returns more requests than a server with 11 slots can serve, whose service times are close to the target or
// above it. Their callers wait for three times the target.
func slowServer(rate float64, service time.Duration) workload {
	return workload{
		Rank: Rank{Name: "stock", Target: time.Second}, rate: rate, service: service, timeout: 3 * time.Second,
	}
}

// shareInTime returns the share of the responses to a workload with exponential service times that meet the target if each
// request waits for minWaitShare of it.
func shareInTime(w workload) float64 {
	return 1 - math.Exp(-(1-minWaitShare)*float64(w.Target)/float64(w.service))
}

// TestSlowServer guards against a queue that grows until callers give up because the server is so slow that few requests
// could wait and still meet the target: the responses are late then, and callers that wait for less time get none.
func TestSlowServer(t *testing.T) { underPolicies(t, testSlowServer) }

func testSlowServer(t *testing.T, p Policy) {
	const seconds = 62
	for name, w := range map[string]workload{
		"service time above the target":    slowServer(24, 700*time.Millisecond),
		"service time close to the target": slowServer(66, 500*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			o := simulate(Config{Slots: 11, QueueLimit: 512, Policy: p}, []workload{w}, seconds)[0]
			t.Logf("%+v", o)
			require.Greater(t, float64(o.inTime), 0.9*shareInTime(w)*float64(o.inTime+o.late))
			require.Greater(t, o.slotTime, 95*11*(seconds*time.Second-warmUp)/100, "the slots stay busy")
		})
	}
}

// TestNoTarget guards against refusals of requests that could finish before their deadlines, of a rank without a target.
func TestNoTarget(t *testing.T) { underPolicies(t, testNoTarget) }

func testNoTarget(t *testing.T, p Policy) {
	const seconds = 22
	o := simulate(Config{Slots: 11, QueueLimit: 512, Policy: p}, []workload{
		{Rank: Rank{Name: "stock"}, rate: 20, service: 500 * time.Millisecond, timeout: time.Minute},
	}, seconds)[0]
	t.Logf("%+v", o)
	require.Zero(t, o.refused)
}

// TestSlowServerFlood guards against a queue that admits half a second of a flood each time it is empty for a moment.
func TestSlowServerFlood(t *testing.T) { underPolicies(t, testSlowServerFlood) }

func testSlowServerFlood(t *testing.T, p Policy) {
	const seconds = 62
	w := slowServer(48, 700*time.Millisecond)
	o := simulate(Config{Slots: 11, QueueLimit: 512, Policy: p}, []workload{w}, seconds)[0]
	t.Logf("%+v", o)
	require.Greater(t, float64(o.inTime), 0.9*shareInTime(w)*float64(o.inTime+o.late))
	require.Greater(t, o.slotTime, 95*11*(seconds*time.Second-warmUp)/100, "the slots stay busy")
}

// TestShortDeadlines guards against requests that get no slot because all others of their rank may wait longer: under
// overload each younger request was preferred to them.
func TestShortDeadlines(t *testing.T) { underPolicies(t, testShortDeadlines) }

func testShortDeadlines(t *testing.T, p Policy) {
	const seconds = 62
	for name, flood := range map[string]workload{
		"service time above the target":    slowServer(30, 700*time.Millisecond),
		"service time close to the target": slowServer(30, 500*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			few := flood
			few.rate, few.timeout = 2, flood.Target
			o := simulate(Config{Slots: 11, QueueLimit: 512, Policy: p}, []workload{flood, few}, seconds)
			t.Logf("%+v", o)
			served := func(o outcome) float64 { return float64(o.inTime+o.late) / float64(o.arrived) }
			require.Greater(t, served(o[1]), served(o[0])/2, "neither may get less than half of its part of the slots")
		})
	}
}
