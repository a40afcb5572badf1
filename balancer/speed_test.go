package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/estimator"
)

const (
	speedWork   = 130 * time.Millisecond
	speedTarget = 400 * time.Millisecond
	speedSlots  = 9
	// manyEntries is the number of entries of a larger fleet, each of which hears of a server about twice a second.
	manyEntries = 40
	// fewEntries is one at which an entry hears of each server about ten times a second.
	fewEntries = 8
	// admissionMargin is the number of mean service times that must be left to the target for a server to queue a request.
	admissionMargin = 1.6
	speedDuration   = 30 * time.Second
	// speedWarmUp is the time that isn't measured, in which the estimates form.
	speedWarmUp = 5 * time.Second
)

// speedServer is a backend server in virtual time, which runs requests in order of arrival at its speed and refuses those that
// would have to wait and might miss the target then.
type speedServer struct {
	speed float64
	// slow is how long work takes now, as a multiple of the usual time, and report what the server says of it.
	slow, report float64
	// said means that the server says how slow it is.
	said    bool
	slots   [speedSlots]time.Duration
	ended   []time.Duration
	service time.Duration
	picked  int
}

// speedLoad is a load on servers of unequal speed.
type speedLoad struct {
	speeds []float64
	// entries is the number of processes that choose, each by what it sees.
	entries int
	// offered is the load as a share of the capacity.
	offered float64
	// step changes what the servers are and say, once a millisecond.
	step func(now time.Duration, servers []*speedServer)
	// blind means that the choice doesn't use the estimates.
	blind bool
}

// speedResult is what became of the requests: the share that was answered within the target, of the requests and of the capacity.
type speedResult struct {
	inTime, ofCapacity float64
	picked             []int
}

type speedRequest struct {
	server, entry       int
	started, ends, work time.Duration
	refused             bool
}

func runSpeeds(l speedLoad) speedResult {
	random := rand.New(rand.NewPCG(5, 6))
	servers, candidates := make([]*speedServer, len(l.speeds)), make([]Candidate, len(l.speeds))
	capacity := 0.0
	for i, s := range l.speeds {
		servers[i] = &speedServer{speed: s, slow: 1, report: 1, said: true, service: time.Duration(float64(speedWork) / s)}
		candidates[i] = Candidate{ID: applier.MemberID(i + 1), Zone: "a", Slots: speedSlots, Age: time.Hour, ReportAge: -1}
		capacity += s * speedSlots / speedWork.Seconds()
	}
	type entry struct {
		chooser    *Chooser
		estimates  *estimator.Estimator
		candidates []Candidate
		heard      []time.Duration
	}
	entries := make([]entry, l.entries)
	for i := range entries {
		entries[i] = entry{
			chooser: NewChooser(ChooserConfig{Seed: uint64(i + 1)}), estimates: estimator.NewEstimator(),
			candidates: append([]Candidate(nil), candidates...), heard: make([]time.Duration, len(servers)),
		}
	}
	var inFlight []speedRequest
	measured, inTime, start := 0, 0, time.Hour
	for now := start; now < start+speedDuration; now += time.Millisecond {
		if l.step != nil {
			l.step(now-start, servers)
		}
		left := inFlight[:0]
		for _, f := range inFlight {
			if f.ends > now {
				left = append(left, f)
				continue
			}
			e, s, name := &entries[f.entry], servers[f.server], string(rune('a'+f.server))
			outcome := Success
			if f.refused {
				outcome = Shed
			} else {
				s.service += (f.work - s.service) / 16
				e.estimates.Observe(now, name, now-f.started)
			}
			e.chooser.Finished(now, candidates[f.server].ID, outcome, now-f.started)
			r := estimator.Report{ServiceTime: s.service}
			if s.said {
				r.Slowness = s.report
			}
			e.estimates.Report(now, name, r)
			e.heard[f.server] = now
			e.candidates[f.server].ReportedInFlight = s.inFlight(now)
			if !f.refused && now-f.started <= speedTarget && f.started >= start+speedWarmUp {
				inTime++
			}
		}
		inFlight = left
		for n := poisson(random, capacity*l.offered/1000); n > 0; n-- {
			if now >= start+speedWarmUp {
				measured++
			}
			at := random.IntN(len(entries))
			e := &entries[at]
			for i := range e.candidates {
				if e.heard[i] > 0 {
					e.candidates[i].ReportAge = now - e.heard[i]
				}
				if !l.blind {
					e.candidates[i].Expected = e.estimates.Expected(now, string(rune('a'+i)))
				}
			}
			id, _ := e.chooser.Pick(now, e.candidates, "a")
			e.chooser.Started(id)
			s := servers[id-1]
			s.picked++
			f := s.accept(now, time.Duration(random.ExpFloat64()*0.3*float64(speedWork)+0.7*float64(speedWork)))
			f.server, f.entry = int(id-1), at
			inFlight = append(inFlight, f)
		}
	}
	span := (speedDuration - speedWarmUp).Seconds()
	r := speedResult{inTime: float64(inTime) / float64(measured), ofCapacity: float64(inTime) / span / capacity}
	for _, s := range servers {
		r.picked = append(r.picked, s.picked)
	}
	return r
}

// accept starts or queues a request, or refuses it after a millisecond if it can't meet the target.
func (s *speedServer) accept(now, work time.Duration) speedRequest {
	first := 0
	for i := range s.slots {
		if s.slots[i] < s.slots[first] {
			first = i
		}
	}
	starts := max(s.slots[first], now)
	work = time.Duration(float64(work) * s.slow / s.speed)
	if starts > now && starts+time.Duration(admissionMargin*float64(s.service)) > now+speedTarget {
		return speedRequest{started: now, ends: now + time.Millisecond, refused: true}
	}
	s.slots[first] = starts + work
	s.ended = append(s.ended, starts+work)
	return speedRequest{started: now, ends: starts + work, work: work}
}

// inFlight returns the number of requests that run or wait.
func (s *speedServer) inFlight(now time.Duration) int {
	left := s.ended[:0]
	for _, at := range s.ended {
		if at > now {
			left = append(left, at)
		}
	}
	s.ended = left
	return len(left)
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

var unequalSpeeds = []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}

// noisy makes a fifth of the servers three times as slow for moments of 0.4 s.
func noisy(now time.Duration, servers []*speedServer) {
	for i, s := range servers {
		s.slow = 1
		if (int(now/(400*time.Millisecond))+i*3)%5 == 0 {
			s.slow = 3
		}
		s.report = s.slow
	}
}

// silence ends what the servers say after 10 s.
func silence(now time.Duration, servers []*speedServer) {
	for _, s := range servers {
		s.said = now < 10*time.Second
	}
}

// lies makes two servers say always 1 and always 10,000.
func lies(_ time.Duration, servers []*speedServer) {
	servers[0].report, servers[2].report = 0.01, 100
}

// TestSpeeds guards against slow servers that get as many requests as fast ones, so that requests miss their target while fast
// servers have free slots.
func TestSpeeds(t *testing.T) {
	for name, c := range map[string]struct {
		load speedLoad
		// inTime is the least share of the requests, and ofCapacity that of the capacity, that is answered within the target.
		inTime, ofCapacity float64
	}{
		"speeds 0.7 0.7 1.6 at 0.8":        {speedLoad{offered: 0.8, entries: manyEntries}, 0.98, 0},
		"speeds 0.7 0.7 1.6 at 1.0":        {speedLoad{offered: 1, entries: manyEntries}, 0, 0.9},
		"speeds 0.7 0.7 1.6 at 1.1":        {speedLoad{offered: 1.1, entries: manyEntries}, 0, 0.9},
		"speeds 0.7 0.7 1.6 at 1.2":        {speedLoad{offered: 1.2, entries: manyEntries}, 0, 0.9},
		"moments of 3x, reports often":     {speedLoad{offered: 0.5, entries: fewEntries, step: noisy}, 0.9, 0},
		"moments of 3x, reports seldom":    {speedLoad{offered: 0.5, entries: manyEntries, step: noisy}, 0, 0},
		"always 1 and always 10000 at 0.8": {speedLoad{offered: 0.8, entries: manyEntries, step: lies}, 0.98, 0},
		"silence after 10 s at 0.8":        {speedLoad{offered: 0.8, entries: manyEntries, step: silence}, 0.98, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.load.speeds = unequalSpeeds
			r := runSpeeds(c.load)
			c.load.blind = true
			b := runSpeeds(c.load)
			t.Logf("in time %.4f, of capacity %.4f, picked %v; without estimates %.4f, %.4f, %v",
				r.inTime, r.ofCapacity, r.picked, b.inTime, b.ofCapacity, b.picked)
			require.GreaterOrEqual(t, r.inTime, max(c.inTime, b.inTime))
			require.GreaterOrEqual(t, r.ofCapacity, c.ofCapacity)
			for i, n := range r.picked {
				require.Greater(t, n, total(r.picked)/len(r.picked)/4, "server %d is starved", i)
			}
		})
	}
}

func total(counts []int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
