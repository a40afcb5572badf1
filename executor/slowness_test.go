package executor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform/simulator"
)

// TestSlowness guards against a report of a server that counts for its successor, for longer than it is worth something, or as
// zero because a later response has none.
func TestSlowness(t *testing.T) {
	g, now := New(Config{}), time.Hour
	note := func(instance, text string) {
		g.noteSlowness(now, Server{Instance: instance}, simulator.LoadHeader(text))
	}
	require.Zero(t, g.slowness.at(now, ""))
	note("i-1", "1, 0, 9, 300")
	require.InDelta(t, 3, g.slowness.at(now, "i-1"), 1e-9)
	require.Zero(t, g.slowness.at(now, "i-2"))
	note("i-1", "1, 0, 9")
	require.InDelta(t, 3, g.slowness.at(now, "i-1"), 1e-9)
	note("i-1", "1, 0, 9, 80")
	require.InDelta(t, 0.8, g.slowness.at(now, "i-1"), 1e-9)
	require.Zero(t, g.slowness.at(now+slownessLifetime, "i-1"))
}
