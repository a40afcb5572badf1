package launcher

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/disruptor"
	"hibiscusline/emulator"
)

// TestAtMostOnce guards against a second run of a non-repeatable request that is sent again at other entries while its
// owner is lost, its range moves, or its first caller has gone.
func TestAtMostOnce(t *testing.T) {
	// known holds the faults after which the outcome must be known, since the owner lives on.
	known := map[string]bool{"none": true, "planned move": true}
	faults := map[string]func(w *trial, owner *Node, key string){
		"owner killed": func(w *trial, owner *Node, _ string) { require.NoError(w, owner.Kill()) },
		"owner frozen": func(w *trial, owner *Node, _ string) { require.NoError(w, owner.Freeze()) },
		"owner and guardian killed": func(w *trial, owner *Node, _ string) {
			g := w.guardian(owner)
			require.NoError(w, owner.Kill())
			require.NoError(w, g.Kill())
		},
		// No guardian has the rows, so nothing may run until the window has passed.
		"owner and both guardians killed": func(w *trial, owner *Node, _ string) {
			for _, n := range append(w.guardians(owner), owner) {
				require.NoError(w, n.Kill())
			}
		},
		"planned move": func(w *trial, owner *Node, key string) {
			_, others, err := w.Owner(w.ctx, fenced, key)
			require.NoError(w, err)
			require.NoError(w, w.Move(w.ctx, owner.Settings.Admin, fenced, key, others[0].ID))
		},
		"none": func(*trial, *Node, string) {},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			w := startTrial(t, 300*time.Millisecond, map[string]int{fenced: 5, unkeyed: 3})
			key := w.guardedKey(fenced)
			owner := w.owner(fenced, key)
			gone, leave := context.WithCancel(w.ctx)
			var callers sync.WaitGroup
			for i := range 6 {
				callers.Go(func() { w.ask(gone, w.other("", owner), fenced, key, "/echo", fmt.Sprintf("idem-%d", i)) })
			}
			w.await("dispatch", func() bool { return len(w.Ledger.Report().Executions) >= 6 })
			leave()
			callers.Wait()
			fault(w, owner, key)
			for i := range 6 {
				w.await("an outcome", func() bool {
					a := w.ask(w.ctx, w.other("", owner, w.Nodes[i%len(w.Nodes)]), fenced, key, "/echo", fmt.Sprintf("idem-%d", i))
					if known[name] {
						require.Equal(w, "answered", a.outcome, "%+v", a)
					}
					// Without the rows of every guardian the request is refused until the window has passed.
					return a.answered() || a.outcome == "unknown" && a.reason == "outcome_unknown" || a.reason == "idempotency_rows_missing"
				})
			}
			if !owner.Running() {
				_ = owner.Thaw()
			}
			w.judge()
		})
	}
}

// TestIntentAtEveryGuardian guards against a request that runs although one guardian of its owner has no intent: that
// guardian may be the only one that the owner's successor can ask.
func TestIntentAtEveryGuardian(t *testing.T) {
	w := startTrial(t, 300*time.Millisecond, map[string]int{fenced: 5, unkeyed: 3})
	key := w.guardedKey(fenced)
	owner := w.owner(fenced, key)
	guardians := w.guardians(owner)
	require.Len(w, guardians, 2)
	owner.PartitionFrom(guardians[1], true)
	entry := w.other("", append(guardians, owner)...)
	gone, leave := context.WithCancel(w.ctx)
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { w.ask(gone, entry, fenced, key, "/echo", fmt.Sprintf("idem-%d", i)) })
	}
	// The owner replaces the guardian after 1.8 s, and may run the requests then.
	time.Sleep(time.Second)
	leave()
	callers.Wait()
	require.NoError(w, owner.Kill())
	require.NoError(w, guardians[0].Kill())
	owner.PartitionFrom(guardians[1], false)
	for i := range 6 {
		w.await("an outcome", func() bool {
			a := w.ask(w.ctx, entry, fenced, key, "/echo", fmt.Sprintf("idem-%d", i))
			return a.answered() || a.outcome == "unknown" && a.reason == "outcome_unknown" || a.reason == "idempotency_rows_missing"
		})
	}
	w.judge()
}

// TestOwnAnswers guards against mixed up and truncated answers while datagrams are lost, repeated and reordered, and callers
// leave in the middle of theirs.
func TestOwnAnswers(t *testing.T) {
	w := startTrial(t, 3*time.Millisecond, map[string]int{fenced: 3, unkeyed: 2})
	for _, n := range w.Nodes {
		n.SetPeerToxics(disruptor.Toxics{
			Latency: time.Millisecond, Jitter: time.Millisecond, Loss: 0.03, Duplication: 0.05, Reordering: 0.2,
			ReorderingDelay: 5 * time.Millisecond,
		})
	}
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 1))
			for range 40 {
				ctx, cancel := context.WithCancel(w.ctx)
				if random.IntN(3) == 0 {
					time.AfterFunc(time.Duration(random.IntN(12))*time.Millisecond, cancel)
				}
				size := 1 + random.IntN(200_000)
				service, key := fenced, fmt.Sprintf("order-%d", random.IntN(20))
				if random.IntN(2) == 0 {
					service, key = unkeyed, ""
				}
				a := w.ask(ctx, w.Nodes[random.IntN(len(w.Nodes))], service, key, fmt.Sprintf("/size/%d", size), "")
				cancel()
				if a.answered() && !bytes.Equal(a.body, emulator.SizedBody(a.id, size)) {
					t.Errorf("request %s got %d bytes that are not its own %d", a.id, len(a.body), size)
				}
			}
		})
	}
	callers.Wait()
	w.judge()
}
