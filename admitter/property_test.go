package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	_ "hibiscusline/seeder"
	"pgregory.net/rapid"
)

// model tracks what the caller of an Admitter has observed and checks the actions against it.
type model struct {
	t       *rapid.T
	slots   int
	ranks   map[string]Rank
	strict  bool
	arrived map[uint64]Arrive
	running map[uint64]bool
	decided map[uint64]bool
}

func (m *model) check(now time.Duration, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			m.checkStart(now, m.arrived[a.ID])
			m.decide(a.ID)
			m.running[a.ID] = true
		case Refuse:
			m.decide(a.ID)
		}
	}
}

func (m *model) decide(id uint64) {
	require.Contains(m.t, m.arrived, id)
	require.False(m.t, m.decided[id], "request %d got two actions", id)
	m.decided[id] = true
}

func (m *model) checkStart(now time.Duration, started Arrive) {
	require.Less(m.t, len(m.running), m.slots, "more requests run than there are slots")
	require.True(m.t, started.Deadline == 0 || now < started.Deadline, "a request started after its deadline")
	plain := 0
	for id := range m.running {
		require.False(m.t, m.arrived[id].Exclusive, "a request started while an exclusive one was running")
		if !m.arrived[id].Nested {
			plain++
		}
	}
	require.False(m.t, started.Exclusive && len(m.running) > 0, "an exclusive request started while others were running")
	if m.slots > 1 && !started.Nested && !started.Exclusive {
		require.Less(m.t, plain, m.slots-1, "no slot is left for nested requests")
	}
	if !m.strict || started.Nested || started.Exclusive {
		return
	}
	for id, other := range m.arrived {
		waits := !m.decided[id] && !other.Exclusive && !other.Nested
		require.False(m.t, waits && m.ranks[other.Rank].Urgency < m.ranks[started.Rank].Urgency,
			"a request of rank %s started while one of rank %s waited", started.Rank, other.Rank)
	}
}

func drawArrival(t *rapid.T, id uint64, now time.Duration) Arrive {
	e := Arrive{
		ID: id, Rank: rapid.SampledFrom([]string{"order", "stock", "pattern", "none"}).Draw(t, "rank"),
		Nested: rapid.IntRange(0, 5).Draw(t, "nested") == 0, Exclusive: rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if rapid.Bool().Draw(t, "bounded") {
		e.Deadline = now + time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline"))*time.Millisecond
	}
	return e
}

// TestAdmitterInvariants guards against more running requests than slots, lost or duplicate decisions, less urgent
// ranks served before more urgent ones, nested requests without an available slot, exclusive requests that run
// concurrently with others, and requests that are never released.
func TestAdmitterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		strict := rapid.Bool().Draw(t, "strict")
		floor := 0.3
		if strict {
			floor = 0
		}
		ranks := []Rank{
			{Name: "pattern", Urgency: 9, Floor: floor / 2, Target: time.Second},
			{Name: "order", Urgency: 1, Floor: floor, Target: 50 * time.Millisecond},
			{Name: "stock", Urgency: 4, Floor: floor, Target: 100 * time.Millisecond},
		}
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		a := New(Config{
			Slots: slots, Ranks: ranks, QueueLimit: rapid.IntRange(1, 8).Draw(t, "limit"), NestedShare: 0.1,
			Policy: rapid.SampledFrom([]Policy{Ranked, LeastCost}).Draw(t, "policy"),
		})
		m := &model{
			t: t, slots: slots, strict: strict, ranks: map[string]Rank{},
			arrived: map[uint64]Arrive{}, running: map[uint64]bool{}, decided: map[uint64]bool{},
		}
		for _, r := range ranks {
			m.ranks[r.Name] = r
		}
		var now time.Duration
		step := func(e Event) { m.check(now, a.Step(now, e)) }
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "events")) {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				step(Tick{})
			case 1:
				step(Cancel{ID: rapid.Uint64Range(0, id).Draw(t, "cancelled")})
			case 2, 3, 4:
				finishOne(t, m, step)
			default:
				m.arrived[id] = drawArrival(t, id, now)
				step(m.arrived[id])
			}
		}
		for range 5000 {
			now += 10 * time.Second
			for id := range m.running {
				delete(m.running, id)
				step(Finish{ID: id, Completed: true})
			}
			step(Tick{})
		}
		require.Len(t, m.decided, len(m.arrived), "a request was never decided")
		require.Empty(t, a.requests)
	})
}

func finishOne(t *rapid.T, m *model, step func(Event)) {
	for id := range uint64(len(m.arrived) + 200) {
		if m.running[id] {
			delete(m.running, id)
			step(Finish{ID: id, Completed: rapid.Bool().Draw(t, "completed")})
			return
		}
	}
}

// TestResizeAndReconfigure guards against requests that wait forever after a drain or after the removal of their rank.
func TestResizeAndReconfigure(t *testing.T) {
	a := New(Config{Slots: 1, Ranks: []Rank{{Name: "order"}, {Name: "stock", Urgency: 1}}, QueueLimit: 4})
	require.Equal(t, []Action{Start{ID: 1}}, a.Step(0, Arrive{ID: 1, Rank: "order"}))
	require.Empty(t, a.Step(0, Arrive{ID: 2, Rank: "stock"}))
	require.Empty(t, a.Step(0, Arrive{ID: 3, Rank: "order"}))
	require.Equal(t, []Action{Refuse{ID: 2, Reason: UnknownRank}}, a.Step(1, Reconfigure{Ranks: []Rank{{Name: "order"}}}))
	require.Equal(t, []Action{Refuse{ID: 3, Reason: Draining, RetryAfter: minRetryAfter}}, a.Step(2, Resize{}))
	require.Empty(t, a.Step(3, Finish{ID: 1, Completed: true}))
	require.Empty(t, a.requests)
}
