package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPreview guards against a preview that refuses a request that would be admitted, or that gives another reason.
func TestPreview(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Ranked, LeastCost}).Draw(t, "policy")
		a := New(Config{Slots: 2, QueueLimit: 50, Policy: policy, Ranks: []Rank{
			{Name: "order", Floor: 0.4, Target: 100 * time.Millisecond},
			{Name: "stock", Urgency: 1, Floor: 0.2, Target: time.Second},
		}})
		now, running := time.Hour, []uint64{}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				for _, action := range a.Step(now, Finish{ID: running[0], Completed: true}) {
					if s, started := action.(Start); started {
						running = append(running, s.ID)
					}
				}
				running = running[1:]
			}
			e := Arrive{
				ID: id + 1, Rank: rapid.SampledFrom([]string{"order", "stock", "none"}).Draw(t, "rank"),
				Deadline: now + time.Duration(rapid.IntRange(1, 400).Draw(t, "deadline"))*time.Millisecond,
			}
			expected, refused := a.Preview(now, e)
			ownRefused := false
			for _, action := range a.Step(now, e) {
				switch action := action.(type) {
				case Start:
					running = append(running, action.ID)
				case Refuse:
					ownRefused = ownRefused || action.ID == e.ID
					if refused && action.ID == e.ID {
						require.Equal(t, expected.Reason, action.Reason)
					}
				}
			}
			if refused {
				require.True(t, ownRefused, "the preview refused a request that was admitted")
			}
		}
	})
}
