package launcher

import (
	"fmt"
	"slices"
	"sync"
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

// cyclic reports whether members of a cycle of guards are among a process and its guardians. Such cycles form while a fleet
// starts and can last for long in a small one; a cycle that is lost at once needs an operator.
func (w *trial) cyclic(n *Node) bool {
	waiting := map[*Node][]*Node{}
	for _, lost := range append(w.guardians(n), n) {
		waiting[lost] = w.guardians(lost)
	}
	for range len(waiting) {
		for lost, guardians := range waiting {
			if !slices.ContainsFunc(guardians, func(g *Node) bool { _, waits := waiting[g]; return waits }) {
				delete(waiting, lost)
			}
		}
	}
	return len(waiting) > 0
}

// guardedKey returns a key whose owner can be lost together with its guardians.
func (w *trial) guardedKey(service string) (key string) {
	w.await("an owner outside of cycles of guards", func() bool {
		for i := range 30 {
			key = fmt.Sprintf("order-%d", i)
			if n := w.findOwner(service, key); n != nil && len(w.guardians(n)) == 2 && !w.cyclic(n) {
				return true
			}
		}
		return false
	})
	return key
}

// guardian returns a process that guards another one. For a moment none may be left while they are replaced.
func (w *trial) guardian(n *Node) *Node {
	var guardians []*Node
	w.await("a guardian of "+n.Name, func() bool {
		guardians = w.guardians(n)
		return len(guardians) > 0
	})
	return guardians[0]
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
				g := w.guardian(n)
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
				// The fault goes on for some time, in which callers ask the lost owner too. A frozen one finds their requests
				// when it returns, before it knows of its successor.
				var late sync.WaitGroup
				for range 20 {
					late.Go(func() { w.ask(w.ctx, old, service, key, "/items", "") })
					w.ask(w.ctx, w.other("", old), service, key, "/items", "")
					time.Sleep(20 * time.Millisecond)
				}
				fault.end(w, old)
				late.Wait()
				w.await("return as a new member", func() bool {
					status, err := old.Status(w.ctx)
					return err == nil && status.Member != 0 && status.Lease.Held && !status.Lease.Exempt
				})
				w.awaitAnswer(old, service, key, nil)
				w.awaitOnce(service)
				w.judge(stop())
			})
		}
	}
}

// awaitOnce waits until a non-repeatable request is answered. Those of ranges whose owner was lost with both guardians are
// refused for the idempotency window; members whose guardian was lost refuse them until it is replaced.
func (w *trial) awaitOnce(service string) {
	w.Helper()
	serial := 0
	reasons := map[string]int{}
	defer func() {
		if w.Failed() {
			w.Logf("reasons of the refusals: %v", reasons)
		}
	}()
	w.await("answer to a non-repeatable request", func() bool {
		serial++
		key := fmt.Sprintf("order-%d", serial%30)
		a := w.ask(w.ctx, w.other("", nil), service, key, "/echo", fmt.Sprintf("once-%d", serial))
		reasons[fmt.Sprint(a.outcome, " ", a.reason, " ", a.err)]++
		return a.answered()
	})
}

// TestLapsedOwnerGivesNoAnswer guards against the answer of an owner that was frozen while the request ran: by the time it
// arrives, a successor may have changed what it tells.
func TestLapsedOwnerGivesNoAnswer(t *testing.T) {
	w := startTrial(t, 200*time.Millisecond, map[string]int{fenced: 4}, func(c *validator.Configuration) {
		s := c.Services[fenced]
		s.MaxRequestTime = 30 * validator.Duration(time.Second)
		c.Services[fenced] = s
	})
	w.timeout = 30 * time.Second
	const key = "order-1"
	old := w.owner(fenced, key)
	answers := make(chan answer, 1)
	go func() { answers <- w.ask(w.ctx, old, fenced, key, "/items", "") }()
	w.await("dispatch", func() bool { return len(w.Ledger.Report().Executions) == 1 })
	require.NoError(w, old.Freeze())
	w.awaitAnswer(w.other("", old), fenced, key, old)
	require.Equal(w, emulator.Completed, w.Ledger.Report().Executions[0].Status, "the request ended before the successor served")
	require.NoError(w, old.Thaw())
	a := <-answers
	require.NoError(w, a.err)
	// The entry may have asked the successor.
	require.NotEqual(w, old.Name, a.server, "the answer of a lapsed owner reached the caller")
	w.judge()
}

// TestOneGuardianIsEnough guards against a take-over of an owner that one of its two guardians still renews.
func TestOneGuardianIsEnough(t *testing.T) {
	w := startTrial(t, 2*time.Millisecond, map[string]int{fenced: 5}, func(c *validator.Configuration) {
		// A placement without moves: the hot key stays where it is.
		c.Placements = map[string]validator.Placement{"still": {}}
		s := c.Services[fenced]
		s.Placement = "still"
		c.Services[fenced] = s
	})
	const key = "order-1"
	owner := w.owner(fenced, key)
	before, err := owner.Status(w.ctx)
	require.NoError(t, err)
	// Guardians are replaced by better ones at times, so the first cut may be from one that is none any more.
	for range 3 {
		guardians := w.guardians(owner)
		owner.CutFrom(guardians[0], true)
		entry := w.other("", append(guardians, owner)...)
		// The time is two lease terms, so that a lapse shows.
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			a := w.ask(w.ctx, entry, fenced, key, "/items", "")
			require.True(w, a.answered(), "%+v", a)
			require.Equal(w, owner.Name, a.server)
		}
		owner.CutFrom(guardians[0], false)
	}
	w.state(func(s *applier.State) { require.Contains(w, s.Members, before.Member) })
	w.judge()
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
	w.judge()
}

// TestLiveOwnerKeepsServing guards against owners that stop because the log, or their way to it, is lost.
func TestLiveOwnerKeepsServing(t *testing.T) {
	faults := map[string]func(w *trial, n *Node){
		"cut from the log": func(_ *trial, n *Node) { n.CutLog(true) },
		"log refuses":      func(w *trial, _ *Node) { w.logOutage(emulator.Refuse) },
		"log hangs":        func(w *trial, _ *Node) { w.logOutage(emulator.Hang) },
		"log down and guardian killed": func(w *trial, n *Node) {
			g := w.guardian(n)
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
		s.MaxRequestTime = validator.Duration(3 * time.Second)
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
