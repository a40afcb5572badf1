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

// assignment returns the assignment of a key according to the log.
func (tf *testFleet) assignment(service, key string) (a applier.Assignment) {
	tf.viewState(func(s *applier.State) { a, _ = s.Lookup(service, hasher.KeyPosition(key)) })
	return a
}

// startMove requests the move of a key without waiting for its completion.
func (tf *testFleet) startMove(service, key string, from, to *Node) {
	status, err := to.Status(tf.ctx)
	require.NoError(tf, err)
	go func() {
		// The request may fail long before the record takes effect.
		_ = tf.Move(tf.ctx, from.Settings.Admin, service, key, status.Member)
	}()
}

// TestUndecidedMove guards against an owner that stops serving a range while the log takes long to accept its move, and
// against two owners when the record takes effect late.
func TestUndecidedMove(t *testing.T) {
	const key = "order-1"
	tf := startTestFleet(t, time.Millisecond, map[string]int{fenced: 3})
	old := tf.owner(fenced, key)
	next := tf.otherNode(fenced, old)
	tf.await("settled range", func() bool { a := tf.assignment(fenced, key); return a.Settled() })
	require.NoError(t, tf.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = validator.Duration(8 * time.Second) }))
	tf.startMove(fenced, key, old, next)
	tf.await("effect of the record", func() bool {
		a := tf.sendRequest(tf.ctx, next, fenced, key, "/items", "")
		require.True(t, a.answered(), "%+v", a)
		return tf.assignment(fenced, key).Source != 0
	})
	tf.await("service by the next owner", func() bool {
		a := tf.sendRequest(tf.ctx, old, fenced, key, "/items", "")
		require.True(t, a.answered(), "%+v", a)
		return a.server == next.Name
	})
	require.NoError(t, tf.Log.Change(func(s *emulator.LogSettings) { s.AppendDelay = 0 }))
	tf.checkInvariants()
}

// TestMoveCutShort guards against two owners, and against a range that nobody serves, when the source, the target or
// the log fails after the record of a move and before the source has released the range. A long request at the source
// delays the release.
func TestMoveCutShort(t *testing.T) {
	faults := map[string]func(tf *testFleet, old, next *Node){
		"source killed": func(tf *testFleet, old, _ *Node) { require.NoError(tf, old.Kill()) },
		"source frozen": func(tf *testFleet, old, _ *Node) { require.NoError(tf, old.Freeze()) },
		"target killed": func(tf *testFleet, _, next *Node) { require.NoError(tf, next.Kill()) },
		"log":           func(tf *testFleet, _, _ *Node) { tf.setLogOutage(emulator.Refuse) },
		"log and target": func(tf *testFleet, _, next *Node) {
			tf.setLogOutage(emulator.Hang)
			require.NoError(tf, next.Kill())
			time.Sleep(time.Second)
			tf.setLogOutage(emulator.NoOutage)
		},
	}
	for name, fault := range faults {
		for _, service := range []string{fenced, unfenced} {
			t.Run(name+" "+service, func(t *testing.T) {
				tf := startTestFleet(t, time.Millisecond, map[string]int{service: 5}, func(c *validator.Configuration) {
					s := c.Services[service]
					s.MaxRequestTime = validator.Duration(3 * time.Second)
					c.Services[service] = s
				})
				const key = "bolt-1"
				old := tf.owner(service, key)
				next := tf.otherNode(service, old)
				tf.await("settled range", func() bool { a := tf.assignment(service, key); return a.Settled() })
				require.NoError(t, old.Server.Change(func(s *emulator.ServerSettings) { s.ServiceTime = validator.Duration(2 * time.Second) }))
				ran := len(tf.Ledger.Report().Executions)
				go tf.sendRequest(tf.ctx, old, service, key, "/items", "")
				tf.await("dispatch", func() bool { return len(tf.Ledger.Report().Executions) > ran })
				tf.startMove(service, key, old, next)
				tf.await("record of the move", func() bool { return tf.assignment(service, key).Source != 0 })
				fault(tf, old, next)
				entry := tf.otherNode(service, old, next)
				a := tf.awaitAnswer(entry, service, key, nil)
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
				tf.setLogOutage(emulator.NoOutage)
				tf.await("settled range after the move", func() bool { a := tf.assignment(service, key); return a.Settled() })
				tf.checkInvariants()
			})
		}
	}
}
