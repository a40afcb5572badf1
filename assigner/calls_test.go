package assigner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/assigner"
	"hibiscusline/granter"
)

// sentCall is a call in flight with its fate.
type sentCall struct {
	call    granter.Call
	to      *server
	outcome granter.Outcome
	// answerAt is the time at which the process learns the outcome.
	answerAt time.Duration
}

// lateGrant is a grant without an answer that a server applies later.
type lateGrant struct {
	call             granter.GrantCall
	arrived, applyAt time.Duration
}

// sendCalls lets a process send the calls that are due. Some are lost, applied late, or answered late.
func (w *system) sendCalls(p *process) {
	if !p.alive || w.keys() == nil {
		return
	}
	limit := 1 + w.random.IntN(4)
	if w.reliable {
		limit = len(w.keys().Slices)
	}
	for _, c := range p.granter.Calls(w.now, limit) {
		x := sentCall{call: c, to: p.server, outcome: w.deliverCall(p, c)}
		x.answerAt = w.now
		if x.outcome == granter.Unanswered || w.faulty(0.2) {
			x.answerAt += time.Duration(w.random.IntN(1500)) * time.Millisecond
		}
		p.calls = append(p.calls, x)
	}
	w.answerCalls(p)
}

// deliverLateBeats lets heartbeats arrive that were held up, maybe after their server was replaced.
func (w *system) deliverLateBeats(p *process) {
	if !p.alive {
		return
	}
	for _, h := range p.lateBeats {
		if known := p.granter.Incarnation(); h.Incarnation != known && h.Incarnation.Born >= known.Born {
			p.granter.Revoke()
		}
		if _, current := p.granter.Heartbeat(w.now, h); current {
			p.ended = false
		}
	}
	p.lateBeats = nil
}

// deliverCall sends a call to the server and returns its outcome. A process may be frozen before it sends the call.
func (w *system) deliverCall(p *process, c granter.Call) granter.Outcome {
	g, isGrant := c.(granter.GrantCall)
	if !isGrant {
		return w.applyRelease(p.server, c.(granter.ReleaseCall))
	}
	if p.connected != p.server {
		if !p.granter.MayConnect(w.now, false) {
			return granter.NotConnected
		}
		p.connected = p.server
	}
	switch {
	case !p.server.alive, w.faulty(0.05):
		return granter.NotSent
	case w.faulty(0.2):
		p.server.late = append(p.server.late, lateGrant{
			call: g, arrived: w.now, applyAt: w.now + time.Duration(w.random.IntN(9000))*time.Millisecond,
		})
		return granter.Unanswered
	case !w.applyGrant(p.server, g, w.now):
		return granter.Superseded
	case w.faulty(0.1):
		return granter.Unanswered
	}
	return granter.Applied
}

// applyGrant applies a grant, whose time counts from its arrival, unless the server has seen a higher token.
func (w *system) applyGrant(s *server, c granter.GrantCall, arrived time.Duration) bool {
	first, last := w.keys().SliceOf(c.First), w.keys().SliceOf(c.Last)
	for i := first; i <= last; i++ {
		if s.highestTokens[i] > c.Token {
			return false
		}
	}
	end := arrived + time.Duration(float64(c.HoldTime)/s.clockRate)
	for i := first; i <= last; i++ {
		if w.now < end {
			w.hold(s, i, c.Token)
			s.ends[i] = end
		}
	}
	return true
}

func (w *system) applyLateGrants(s *server) {
	rest := s.late[:0]
	for _, g := range s.late {
		switch {
		case !s.alive:
		case w.now < g.applyAt:
			rest = append(rest, g)
		default:
			w.applyGrant(s, g.call, g.arrived)
		}
	}
	s.late = rest
}

func (w *system) applyRelease(s *server, c granter.ReleaseCall) granter.Outcome {
	if !s.alive {
		return granter.NotSent
	}
	for i := w.keys().SliceOf(c.First); i <= w.keys().SliceOf(c.Last); i++ {
		delete(s.holds, i)
	}
	if w.faulty(0.2) {
		return granter.Unanswered
	}
	return granter.Applied
}

// faulty reports whether a fault that has a chance occurs.
func (w *system) faulty(share float64) bool { return !w.reliable && w.chance(share) }

// answerCalls reports the outcomes that have arrived to a process.
func (w *system) answerCalls(p *process) {
	rest := p.calls[:0]
	for _, x := range p.calls {
		switch {
		case w.now < x.answerAt:
			rest = append(rest, x)
		case !x.to.alive && x.outcome == granter.Applied:
			p.granter.Finished(w.now, x.call, granter.Unanswered, "")
		default:
			p.granter.Finished(w.now, x.call, x.outcome, "text")
		}
	}
	p.calls = rest
}

// findReleased looks for slices that the server can't hold any more, to transfer them.
func (w *system) findReleased(p *process) {
	if !p.alive || p.release != nil {
		return
	}
	if list := p.granter.ReleasedSlices(w.now); len(list) > 0 {
		p.release = &waitingRelease{
			owner: assigner.Owner{Member: p.name, Incarnation: p.granter.Incarnation()}, list: list,
		}
		if w.chance(0.5) {
			w.release(p)
		}
	}
}

// TestCallsServeKeys guards against a granter that keeps all rules by granting nothing: without faults, the servers hold
// all slices.
func TestCallsServeKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSystem(t, true)
		w.reliable = true
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 80 {
			for _, p := range w.processes {
				w.read(p, 0)
				w.heartbeat(p)
				w.deliverLateBeats(p)
				w.publish(p)
				w.deliver(p)
				w.sendCalls(p)
				w.answerCalls(p)
				w.findReleased(p)
				w.release(p)
				w.plan(p)
			}
			w.now += 200 * time.Millisecond
			w.check()
		}
		held := 0
		for _, p := range w.processes {
			held += len(p.server.holds)
		}
		require.Equal(t, len(w.keys().Slices), held)
	})
}
