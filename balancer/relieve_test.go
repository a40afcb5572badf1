package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// TestTargetsBelongToOneOwner guards against a target that two overloaded owners fill at the same time, and against
// targets that no owner may use.
func TestTargetsBelongToOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stats []memberStat
		sum := 0.0
		for i := range rapid.IntRange(2, 300).Draw(t, "members") {
			load := rapid.Float64Range(10, 30).Draw(t, "load")
			stats = append(stats, memberStat{id: applier.MemberID(i + 1), slots: 12, load: load, mayReceive: true})
			sum += load
		}
		mean := sum / float64(len(stats))
		salt := rapid.Uint64().Draw(t, "salt")
		ownerCounts := map[applier.MemberID]int{}
		for _, s := range stats {
			if s.load < overloadRatio*mean {
				continue
			}
			for _, target := range targetsOf(stats, s.id, mean, salt) {
				require.Less(t, target.load, mean)
				ownerCounts[target.id]++
			}
		}
		for id, count := range ownerCounts {
			require.Equal(t, 1, count, id)
		}
		if len(stats) >= groupSize {
			return
		}
		for _, s := range stats {
			if s.load < mean && len(ownerCounts) > 0 {
				require.Contains(t, ownerCounts, s.id)
			}
		}
	})
}

// TestHistory guards against a range, or a part of it, that returns to a former owner within the cooldown time, and
// against a first member that gets no load back because new members received their fair share from it.
func TestHistory(t *testing.T) {
	halves := hasher.Divide(2)
	assignments := func(first, second applier.MemberID) []applier.Assignment {
		return []applier.Assignment{{Range: halves[0], Owner: first}, {Range: halves[1], Owner: second}}
	}
	known := map[applier.MemberID]bool{1: true, 2: true}
	var h history
	h.update(0, time.Minute, assignments(1, 2), known)
	h.update(time.Second, time.Minute, assignments(2, 3), known)
	for _, part := range halves[0].SplitAt(halves[0].Low + 1000) {
		require.True(t, h.formerlyOwned(part, 1))
		require.False(t, h.formerlyOwned(part, 2))
	}
	require.False(t, h.formerlyOwned(halves[1], 2), "member 3 is new")
	own := h.forRanges(assignments(2, 3)[:1])
	require.True(t, own.formerlyOwned(halves[0], 1))
	h.update(2*time.Minute, time.Minute, assignments(2, 3), known)
	require.False(t, h.formerlyOwned(halves[0], 1))
}

// TestSplitPosition guards against splits that leave all load of a range in one part.
func TestSplitPosition(t *testing.T) {
	whole := hasher.Range{Low: 1 << 32, High: 1<<32 + 999_999}
	at := func(offset hasher.Position) hasher.Position { return whole.Low + offset }
	require.InDelta(t, 500_000, float64(splitPosition(whole, 100, nil)-whole.Low), 2)
	hot := []KeyRate{{Position: at(7), Rate: 60}, {Position: at(9), Rate: 10}}
	require.Equal(t, at(7), splitPosition(whole, 100, hot))
	two := []KeyRate{{Position: at(100_000), Rate: 40}, {Position: at(900_000), Rate: 40}, {Position: 5, Rate: 30}}
	require.InDelta(t, 500_000, float64(splitPosition(whole, 100, two)-whole.Low), 2)
	require.Equal(t, at(900_001), splitPosition(whole, 100, []KeyRate{{at(900_000), 49}, {at(950_000), 48}}),
		"one key a side")
}

// TestSketchFollowsJumps guards against rates that show only a part of a new load for many seconds, of one range or of
// all ranges, and against averages that restart under constant load.
func TestSketchFollowsJumps(t *testing.T) {
	c := newMeasuredCluster(1, 40, 6, 1)
	id := c.state.MembersOf("stock")[0].ID
	c.change(func() { c.even(120) })
	for range 20 {
		c.step()
	}
	require.InDelta(t, 120, c.reported[id], 15)
	for i, s := range c.sketches[id].ranges {
		require.Less(t, s.start, c.now-10*time.Second, "the average of range %d restarted", i)
	}
	c.change(func() { c.even(120); c.hot("bolt", 75) })
	for range 3 {
		c.step()
	}
	require.InDelta(t, 195, c.reported[id], 30)
	c.change(func() { c.even(40) })
	for range 3 {
		c.step()
	}
	require.InDelta(t, 40, c.reported[id], 15, fmt.Sprint("seconds ", c.second))
}
