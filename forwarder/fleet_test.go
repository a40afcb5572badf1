package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/admitter"
	"hibiscusline/balancer"
	"hibiscusline/executor"
	"hibiscusline/limiter"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
)

// coldFleet plays servers and entries in virtual time. All servers are cold from the start.
type coldFleet struct {
	servers []*admitter.Admitter
	entries []*forwardedRequest
	// waiting holds who waits at a server, by the number of the request, and ends the ends of running ones.
	waiting []map[uint64]fleetRequest
	ends    []map[uint64]time.Duration
	starts  [][]time.Duration
	lastID  uint64
	// hops counts the attempts, and refused the requests that no server took.
	hops, arrived, refused int
	started                [2]int
}

type fleetRequest struct{ entry, priority int }

const fleetTarget = 500 * time.Millisecond

func newColdFleet(servers, entries int, until time.Duration) *coldFleet {
	f := &coldFleet{starts: make([][]time.Duration, servers)}
	for range servers {
		a := admitter.New(admitter.Config{
			Slots: 9, QueueLimit: 512, Pace: limiter.Config{Share: 1.5, Slack: 8},
			Ranks: []admitter.Rank{{Name: "0", Urgency: 0, Target: fleetTarget}, {Name: "1", Urgency: 1, Target: fleetTarget}},
		})
		a.Step(time.Minute, admitter.Pace{State: limiter.State{Until: until, Rate: 16}})
		f.servers = append(f.servers, a)
		f.waiting, f.ends = append(f.waiting, map[uint64]fleetRequest{}), append(f.ends, map[uint64]time.Duration{})
	}
	for i := range entries {
		e := New(Config{Member: "entry", Seed: uint64(i)})
		p := &forwardedRequest{forwarder: e, service: e.service("stock")}
		p.match.Service = matcher.Service{Name: "stock", ColdTime: 3 * time.Second, ColdRate: 16}
		for s := range servers {
			p.service.ages[fmt.Sprint(s)] = knownServer{since: time.Minute}
		}
		f.entries = append(f.entries, p)
	}
	return f
}

// report returns what a server tells with a result.
func (f *coldFleet) report(now time.Duration, server int) executor.Load {
	room, cold := f.servers[server].Room(now)
	return executor.Load{Slots: 9, ColdFor: cold, ColdRoom: room}
}

// step applies an event to a server. It reports whether the request was refused at once.
func (f *coldFleet) step(now time.Duration, server int, id uint64, e admitter.Event) bool {
	refused := false
	for _, action := range f.servers[server].Step(now, e) {
		switch d := action.(type) {
		case admitter.Start:
			q := f.waiting[server][d.ID]
			f.started[q.priority]++
			f.starts[server] = append(f.starts[server], now)
			f.ends[server][d.ID] = now + 200*time.Millisecond
		case admitter.Refuse:
			q := f.waiting[server][d.ID]
			delete(f.waiting[server], d.ID)
			f.entries[q.entry].service.cold.record(fmt.Sprint(server), now, q.priority, executor.Result{
				Outcome: executor.NotRun, Reason: executor.DeadlineTooClose, RetryAfter: d.RetryAfter, Load: f.report(now, server),
			})
			refused = refused || d.ID == id
		}
	}
	return refused
}

// arrive lets an entry try servers for a request as tryMembers does.
func (f *coldFleet) arrive(now time.Duration, entry, priority int) {
	p := f.entries[entry]
	f.arrived++
	tried := map[int]bool{}
	for range maxTries {
		var candidates []balancer.Candidate
		for s := range f.servers {
			name := fmt.Sprint(s)
			if _, refused := p.service.cold.lookUp(name, now, priority); refused || tried[s] {
				continue
			}
			candidates = append(candidates, balancer.Candidate{
				ID: memberID(name), Zone: "a", Slots: 9, ReportAge: -1, Age: now - time.Minute,
				ColdWait: p.coldWait(now, registrar.Member{Name: name}, len(f.entries)),
			})
		}
		id, found := p.service.chooser.Pick(now, candidates, "a")
		if !found {
			break
		}
		server := 0
		for memberID(fmt.Sprint(server)) != id {
			server++
		}
		tried[server] = true
		f.hops++
		f.lastID++
		p.service.cold.send(fmt.Sprint(server), now)
		p.service.chooser.Started(id)
		f.waiting[server][f.lastID] = fleetRequest{entry, priority}
		if !f.step(now, server, f.lastID, admitter.Arrive{ID: f.lastID, Rank: fmt.Sprint(priority), Deadline: now + 2*time.Second}) {
			return
		}
		p.service.chooser.Finished(now, id, balancer.Shed, 0)
	}
	f.refused++
}

func (f *coldFleet) finish(now time.Duration) {
	for s := range f.servers {
		for id, end := range f.ends[s] {
			if end > now {
				continue
			}
			q := f.waiting[s][id]
			delete(f.ends[s], id)
			delete(f.waiting[s], id)
			f.step(now, s, 0, admitter.Finish{ID: id, Completed: true})
			p, name := f.entries[q.entry], fmt.Sprint(s)
			p.service.chooser.Finished(now, memberID(name), balancer.Success, 200*time.Millisecond)
			p.service.loads[name] = reportedLoad{Load: f.report(now, s), reportedAt: now}
			p.service.cold.record(name, now, q.priority, executor.Result{Load: f.report(now, s)})
		}
		f.step(now, s, 0, admitter.Tick{})
	}
}

// TestFleetBackCold guards against a fleet that comes back cold at once, under its full load of 1.2 times what it can do
// when warm, and against entries that waste its rate, since each knows only a part, or ask every server for every request.
// What it can't start is refused, the least urgent first.
func TestFleetBackCold(t *testing.T) {
	const servers, entries, cold = 10, 20, 3 * time.Second
	f := newColdFleet(servers, entries, time.Minute+cold)
	random := rand.New(rand.NewPCG(5, 6))
	for now := time.Minute; now < time.Minute+cold; now += 5 * time.Millisecond {
		f.finish(now)
		for priority, rate := range [2]float64{120, 420} {
			for n := rate * 0.005; n > 0; n-- {
				if random.Float64() < n {
					f.arrive(now, random.IntN(entries), priority)
				}
			}
		}
	}
	for _, starts := range f.starts {
		for i, first := range starts {
			count := 0
			for _, s := range starts[i:] {
				if s < first+time.Second {
					count++
				}
			}
			require.LessOrEqual(t, count, 32)
		}
	}
	t.Logf("arrived %d, started %v, refused %d, hops %d", f.arrived, f.started, f.refused, f.hops)
	total := f.started[0] + f.started[1]
	require.Greater(t, float64(total), 0.85*16*servers*cold.Seconds(), "the rate is used")
	require.Greater(t, float64(f.started[0]), 0.85*120*cold.Seconds(), "the most urgent first")
	require.Less(t, float64(f.hops), 1.5*float64(f.arrived), "hops of a request")
}
