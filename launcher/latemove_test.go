package launcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/hasher"
	"hibiscusline/timer"
	"hibiscusline/validator"
)

// TestUndecidedMove guards against an owner that gives up on a move whose record gets no answer and serves its range
// again: the record may take effect at any time, and the next owner then serves the range too.
func TestUndecidedMove(t *testing.T) {
	const key = "order-1"
	w := startTrial(t, time.Millisecond, map[string]int{fenced: 3})
	old := w.owner(fenced, key)
	next := w.other(fenced, old)
	status, err := next.Status(w.ctx)
	require.NoError(t, err)
	require.NoError(t, w.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = validator.Duration(8 * time.Second) }))
	go func() {
		// The operator's client has given up long before the record takes effect.
		_ = w.Move(w.ctx, old.Settings.Admin, fenced, key, status.Member)
	}()
	try := func() bool {
		ctx, cancel := context.WithTimeout(w.ctx, 250*time.Millisecond)
		defer cancel()
		return w.ask(ctx, next, fenced, key, "/items", "").answered()
	}
	w.await("start of the move", func() bool { return !try() })
	held := timer.Now()
	w.await("effect of the record", func() bool {
		try()
		var moved bool
		w.state(func(s *applier.State) {
			a, _ := s.Lookup(fenced, hasher.KeyPosition(key))
			moved = a.Owner == status.Member
		})
		return moved
	})
	require.NoError(t, w.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = 0 }))
	w.await("service by the next owner", try)
	for _, e := range w.Ledger.Report().Executions {
		if e.Key == key && e.Start > held {
			require.NotEqual(t, old.Name, e.Server, "the owner serves a range whose move is undecided")
		}
	}
	w.judge()
}
