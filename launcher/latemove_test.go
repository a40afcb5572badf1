package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// assignment returns the assignment of a key, by the log.
func (w *trial) assignment(service, key string) (a applier.Assignment) {
	w.state(func(s *applier.State) { a, _ = s.Lookup(service, hasher.KeyPosition(key)) })
	return a
}

// startMove asks for the move of a key without waiting for its end.
func (w *trial) startMove(service, key string, from, to *Node) {
	status, err := to.Status(w.ctx)
	require.NoError(w, err)
	go func() {
		// The client may give up long before the record takes effect.
		_ = w.Move(w.ctx, from.Settings.Admin, service, key, status.Member)
	}()
}

// TestUndecidedMove guards against an owner that stops serving a range while the log takes long to accept its move, and
// against two owners when the record takes effect late.
func TestUndecidedMove(t *testing.T) {
	const key = "order-1"
	w := startTrial(t, time.Millisecond, map[string]int{fenced: 3})
	old := w.owner(fenced, key)
	next := w.other(fenced, old)
	w.await("settled range", func() bool { a := w.assignment(fenced, key); return a.Settled() })
	require.NoError(t, w.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = validator.Duration(8 * time.Second) }))
	w.startMove(fenced, key, old, next)
	w.await("effect of the record", func() bool {
		a := w.ask(w.ctx, next, fenced, key, "/items", "")
		require.True(t, a.answered(), "%+v", a)
		return w.assignment(fenced, key).Source != 0
	})
	w.await("service by the next owner", func() bool {
		a := w.ask(w.ctx, old, fenced, key, "/items", "")
		require.True(t, a.answered(), "%+v", a)
		return a.server == next.Name
	})
	require.NoError(t, w.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = 0 }))
	w.judge()
}

// TestMoveCutShort guards against two owners, and against a range that nobody serves, when something is lost after the
// record of a move and before the source has released the range. A long request at the source holds the release up.
func TestMoveCutShort(t *testing.T) {
	lost := map[string]func(w *trial, old, next *Node){
		"source killed": func(w *trial, old, _ *Node) { require.NoError(w, old.Kill()) },
		"source frozen": func(w *trial, old, _ *Node) { require.NoError(w, old.Freeze()) },
		"target killed": func(w *trial, _, next *Node) { require.NoError(w, next.Kill()) },
		"log":           func(w *trial, _, _ *Node) { w.logOutage(emulator.Refuse) },
		"log and target": func(w *trial, _, next *Node) {
			w.logOutage(emulator.Hang)
			require.NoError(w, next.Kill())
			time.Sleep(time.Second)
			w.logOutage(emulator.NoOutage)
		},
	}
	for name, fault := range lost {
		for _, service := range []string{fenced, unfenced} {
			t.Run(name+" "+service, func(t *testing.T) {
				w := startTrial(t, time.Millisecond, map[string]int{service: 5}, func(c *validator.Configuration) {
					s := c.Services[service]
					s.MaxRequestTime = validator.Duration(3 * time.Second)
					c.Services[service] = s
				})
				const key = "bolt-1"
				old := w.owner(service, key)
				next := w.other(service, old)
				w.await("settled range", func() bool { a := w.assignment(service, key); return a.Settled() })
				require.NoError(t, old.Server.Change(func(s *emulator.ServerSettings) { s.ServiceTime = validator.Duration(2 * time.Second) }))
				ran := len(w.Ledger.Report().Executions)
				go w.ask(w.ctx, old, service, key, "/items", "")
				w.await("dispatch", func() bool { return len(w.Ledger.Report().Executions) > ran })
				w.startMove(service, key, old, next)
				w.await("record of the move", func() bool { return w.assignment(service, key).Source != 0 })
				fault(w, old, next)
				entry := w.other(service, old, next)
				a := w.awaitAnswer(entry, service, key, nil)
				switch name {
				case "source killed", "source frozen":
					require.NotEqual(t, old.Name, a.server)
				case "target killed", "log and target":
					require.NotEqual(t, next.Name, a.server)
				default:
					require.Equal(t, next.Name, a.server)
				}
				if name == "source frozen" {
					require.NoError(t, old.Thaw())
				}
				w.logOutage(emulator.NoOutage)
				w.await("settled range after the move", func() bool { a := w.assignment(service, key); return a.Settled() })
				w.judge()
			})
		}
	}
}
