package launcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// logOutage sets an outage of the log service.
func (w *trial) logOutage(o emulator.Outage) {
	require.NoError(w, w.Log.Change(func(s *emulator.LogSettings) { s.Down = o }))
}

// mutual reports whether two of a process and its guardians guard each other. Such pairs form while a fleet starts and can
// last for long in a small one; a pair that is lost at once needs an operator.
func (w *trial) mutual(n *Node) bool {
	lost := append(w.guardians(n), n)
	return slices.ContainsFunc(lost, func(a *Node) bool {
		return slices.ContainsFunc(w.guardians(a), func(b *Node) bool {
			return slices.Contains(lost, b) && slices.Contains(w.guardians(b), a)
		})
	})
}

// guardedKey returns a key whose owner can be lost together with its guardians.
func (w *trial) guardedKey(service string) (key string) {
	w.await("an owner without mutual guards", func() bool {
		for i := range 30 {
			key = fmt.Sprintf("order-%d", i)
			if !w.mutual(w.owner(service, key)) {
				return true
			}
		}
		return false
	})
	return key
}

// TestOneOwner guards against two owners of a key, and against keys that are left without one, while an owner is lost in
// each way, under load and for servers that check grants and servers that don't.
func TestOneOwner(t *testing.T) {
	lost := map[string]struct{ begin, end func(w *trial, n *Node) }{
		"killed": {func(w *trial, n *Node) { require.NoError(w, n.Kill()) }, func(w *trial, n *Node) { require.NoError(w, n.Start()) }},
		"frozen": {func(w *trial, n *Node) { require.NoError(w, n.Freeze()) }, func(w *trial, n *Node) { require.NoError(w, n.Thaw()) }},
		"cut from peers": {
			func(_ *trial, n *Node) { n.CutPeers(true, true) }, func(_ *trial, n *Node) { n.CutPeers(false, false) },
		},
		"cut from peers and log": {
			func(_ *trial, n *Node) { n.CutLog(true); n.CutPeers(true, true) },
			func(_ *trial, n *Node) { n.CutLog(false); n.CutPeers(false, false) },
		},
		"cut one way": {
			func(_ *trial, n *Node) { n.CutPeers(false, true) }, func(_ *trial, n *Node) { n.CutPeers(false, false) },
		},
		"cut the other way": {
			func(_ *trial, n *Node) { n.CutPeers(true, false) }, func(_ *trial, n *Node) { n.CutPeers(false, false) },
		},
		"with its guardian": {
			func(w *trial, n *Node) {
				g := w.guardians(n)[0]
				require.NoError(w, n.Kill())
				require.NoError(w, g.Kill())
			},
			func(w *trial, n *Node) { require.NoError(w, n.Start()) },
		},
		"with both guardians": {
			func(w *trial, n *Node) {
				for _, g := range append(w.guardians(n), n) {
					require.NoError(w, g.Kill())
				}
			},
			func(w *trial, n *Node) { require.NoError(w, n.Start()) },
		},
	}
	for name, fault := range lost {
		for _, service := range []string{fenced, unfenced} {
			t.Run(name+" "+service, func(t *testing.T) {
				w := startTrial(t, 30*time.Millisecond, map[string]int{service: 5, unkeyed: 3})
				stop := w.load()
				key := w.guardedKey(service)
				old := w.owner(service, key)
				fault.begin(w, old)
				w.awaitAnswer(w.other("", old), service, key, old)
				fault.end(w, old)
				w.await("return as a new member", func() bool {
					status, err := old.Status(w.ctx)
					return err == nil && status.Member != 0 && status.Lease.Held && !status.Lease.Exempt
				})
				w.awaitAnswer(old, service, key, nil)
				w.judge(stop())
			})
		}
	}
}

// TestCutOffProcessGetsNoRanges guards against ranges of a lost owner that go to a process that was taken over before, is
// still cut off from its peers and reads in the log that it has to join again. Nobody could take them over from it.
func TestCutOffProcessGetsNoRanges(t *testing.T) {
	w := startTrial(t, 2*time.Millisecond, map[string]int{fenced: 4, unkeyed: 3})
	const key = "order-1"
	cut := w.owner(fenced, "order-2")
	for i := 3; cut == w.owner(fenced, key); i++ {
		cut = w.owner(fenced, fmt.Sprintf("order-%d", i))
	}
	cut.CutPeers(true, true)
	w.await("take-over of the cut process", func() bool {
		owns := false
		w.state(func(s *applier.State) {
			for _, m := range s.Members {
				owns = owns || m.Name == cut.Name && len(s.Owned(m.ID)) > 0
			}
		})
		return !owns
	})
	// The process has the time to read that it was removed.
	time.Sleep(time.Second)
	owner := w.owner(fenced, key)
	require.NoError(t, owner.Kill())
	w.awaitAnswer(w.other("", owner, cut), fenced, key, owner)
	w.state(func(s *applier.State) {
		for _, m := range s.Members {
			require.False(t, m.Name == cut.Name && len(s.Owned(m.ID)) > 0, "a process that is cut off owns ranges")
		}
	})
	cut.CutPeers(false, false)
	w.await("return as a new member", func() bool {
		status, err := cut.Status(w.ctx)
		return err == nil && status.Member != 0 && status.Lease.Held
	})
}

// TestLiveOwnerKeepsServing guards against owners that stop because the log, or their way to it, is lost.
func TestLiveOwnerKeepsServing(t *testing.T) {
	faults := map[string]func(w *trial, n *Node){
		"cut from the log": func(_ *trial, n *Node) { n.CutLog(true) },
		"log refuses":      func(w *trial, _ *Node) { w.logOutage(emulator.Refuse) },
		"log hangs":        func(w *trial, _ *Node) { w.logOutage(emulator.Hang) },
		"log down and guardian killed": func(w *trial, n *Node) {
			g := w.guardians(n)[0]
			w.logOutage(emulator.Refuse)
			require.NoError(w, g.Kill())
		},
	}
	for name, begin := range faults {
		t.Run(name, func(t *testing.T) {
			w := startTrial(t, 2*time.Millisecond, map[string]int{fenced: 5})
			const key = "order-1"
			owner := w.owner(fenced, key)
			var epoch applier.Offset
			w.state(func(s *applier.State) { epoch = s.Applied })
			begin(w, owner)
			// The time is several lease terms, so that a lapse shows.
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				a := w.ask(w.ctx, w.other("", owner), fenced, key, "/items", "")
				require.True(w, a.answered(), "%+v", a)
				require.Equal(w, owner.Name, a.server)
			}
			w.logOutage(emulator.NoOutage)
			owner.CutLog(false)
			w.await("records after the outage", func() bool {
				status, err := owner.Status(w.ctx)
				return err == nil && status.Applied >= epoch && status.Lease.Held
			})
			w.judge()
		})
	}
}

// TestSuccessorWaitsForUnfencedServer guards against a successor that serves a key while a request of the frozen owner
// still runs at a backend server that doesn't check grants.
func TestSuccessorWaitsForUnfencedServer(t *testing.T) {
	w := startTrial(t, time.Millisecond, map[string]int{unfenced: 4}, func(c *validator.Configuration) {
		s := c.Services[unfenced]
		s.MaxRequest = validator.Duration(3 * time.Second)
		c.Services[unfenced] = s
	})
	const key = "bolt-1"
	old := w.owner(unfenced, key)
	require.NoError(w, old.Server.Change(func(s *emulator.ServerSettings) { s.ServiceTime = validator.Duration(2500 * time.Millisecond) }))
	go w.ask(w.ctx, old, unfenced, key, "/items", "")
	w.await("dispatch", func() bool { return len(w.Ledger.Report().Executions) == 1 })
	require.NoError(w, old.Freeze())
	w.awaitAnswer(w.other("", old), unfenced, key, old)
	require.NoError(w, old.Thaw())
	w.judge()
}
