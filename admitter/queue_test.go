package admitter

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestQueue guards against requests that wait for ever after their context ended, and against a slot that is lost when the
// decision and the end of the context come together.
func TestQueue(t *testing.T) {
	q := NewQueue(Config{Slots: 1, Ranks: []Rank{{Name: "order"}}, QueueLimit: 10})
	first, decided := q.Add(1, Arrive{Rank: "order"})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	action, cancelled := Await(ended, decided, func() { t.Error("the decision was there") })
	require.Equal(t, Start{ID: first}, action)
	require.False(t, cancelled)

	second, decided := q.Add(2, Arrive{Rank: "order"})
	require.Equal(t, 1, q.Waiting())
	action, cancelled = Await(ended, decided, func() { q.Step(3, Cancel{ID: second}) })
	require.Equal(t, Refuse{ID: second, Reason: Cancelled}, action)
	require.True(t, cancelled)
	require.Zero(t, q.Waiting())

	third, decided := q.Add(4, Arrive{Rank: "order"})
	action, cancelled = Await(ended, decided, func() {
		q.Finish(5, first, true)
		q.Step(5, Cancel{ID: third})
	})
	require.Equal(t, Start{ID: third}, action, "its slot must be given back")
	require.True(t, cancelled)
	q.Finish(6, third, false)
	require.Zero(t, q.Running())
}
