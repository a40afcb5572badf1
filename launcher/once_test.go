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

// TestAtMostOnce guards against a second execution of a non-repeatable request that is resent through other entries
// after its owner has failed, its range has moved, or its first caller has disconnected.
func TestAtMostOnce(t *testing.T) {
	// outcomeKnown holds the faults after which the outcome must be known because the owner survives.
	outcomeKnown := map[string]bool{"none": true, "planned move": true}
	faults := map[string]func(tf *testFleet, owner *Node, key string){
		"owner killed": func(tf *testFleet, owner *Node, _ string) { require.NoError(tf, owner.Kill()) },
		"owner frozen": func(tf *testFleet, owner *Node, _ string) { require.NoError(tf, owner.Freeze()) },
		"owner and guardian killed": func(tf *testFleet, owner *Node, _ string) {
			g := tf.guardian(owner)
			require.NoError(tf, owner.Kill())
			require.NoError(tf, g.Kill())
		},
		// No guardian has the idempotency rows, so nothing may run until the idempotency window has passed.
		"owner and both guardians killed": func(tf *testFleet, owner *Node, _ string) {
			for _, n := range append(tf.guardians(owner), owner) {
				require.NoError(tf, n.Kill())
			}
		},
		"planned move": func(tf *testFleet, owner *Node, key string) {
			_, others, err := tf.Owner(tf.ctx, fenced, key)
			require.NoError(tf, err)
			require.NoError(tf, tf.Move(tf.ctx, owner.Settings.Admin, fenced, key, others[0].ID))
		},
		"none": func(*testFleet, *Node, string) {},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			tf := startTestFleet(t, 300*time.Millisecond, map[string]int{fenced: 5, unkeyed: 3})
			key := tf.guardedKey(fenced, true)
			owner := tf.owner(fenced, key)
			callersCtx, cancelCallers := context.WithCancel(tf.ctx)
			var callers sync.WaitGroup
			for i := range 6 {
				callers.Go(func() {
					tf.sendRequest(callersCtx, tf.otherNode("", owner), fenced, key, "/echo", fmt.Sprintf("idem-%d", i))
				})
			}
			tf.await("dispatch", func() bool { return len(tf.Ledger.Report().Executions) >= 6 })
			cancelCallers()
			callers.Wait()
			fault(tf, owner, key)
			for i := range 6 {
				tf.await("an outcome", func() bool {
					a := tf.sendRequest(tf.ctx, tf.otherNode("", owner, tf.Nodes[i%len(tf.Nodes)]), fenced, key, "/echo", fmt.Sprintf("idem-%d", i))
					if outcomeKnown[name] {
						require.Equal(tf, "answered", a.outcome, "%+v", a)
					}
					// Without the rows of every guardian the request is refused until the idempotency window has
					// passed.
					return a.answered() || a.outcome == "unknown" && a.reason == "outcome_unknown" || a.reason == "idempotency_rows_missing"
				})
			}
			if !owner.Running() {
				_ = owner.Thaw()
			}
			tf.checkInvariants()
		})
	}
}

// TestIntentAtEveryGuardian guards against a request that runs although one guardian of its owner hasn't stored its
// intent: that guardian may be the only one that the owner's successor can query.
func TestIntentAtEveryGuardian(t *testing.T) {
	tf := startTestFleet(t, 300*time.Millisecond, map[string]int{fenced: 5, unkeyed: 3})
	key := tf.guardedKey(fenced, true)
	owner := tf.owner(fenced, key)
	guardians := tf.guardians(owner)
	require.Len(tf, guardians, 2)
	owner.PartitionFrom(guardians[1], true)
	entry := tf.otherNode("", append(guardians, owner)...)
	callersCtx, cancelCallers := context.WithCancel(tf.ctx)
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { tf.sendRequest(callersCtx, entry, fenced, key, "/echo", fmt.Sprintf("idem-%d", i)) })
	}
	// The owner replaces the guardian after 1.8 s, and may run the requests then.
	time.Sleep(time.Second)
	cancelCallers()
	callers.Wait()
	require.NoError(tf, owner.Kill())
	require.NoError(tf, guardians[0].Kill())
	owner.PartitionFrom(guardians[1], false)
	for i := range 6 {
		tf.await("an outcome", func() bool {
			a := tf.sendRequest(tf.ctx, entry, fenced, key, "/echo", fmt.Sprintf("idem-%d", i))
			return a.answered() || a.outcome == "unknown" && a.reason == "outcome_unknown" || a.reason == "idempotency_rows_missing"
		})
	}
	tf.checkInvariants()
}

// TestOwnAnswers guards against responses that are truncated or belong to another request while datagrams are lost,
// duplicated and reordered, and callers disconnect before their response is complete.
func TestOwnAnswers(t *testing.T) {
	tf := startTestFleet(t, 3*time.Millisecond, map[string]int{fenced: 3, unkeyed: 2})
	for _, n := range tf.Nodes {
		n.SetPeerFaults(disruptor.Faults{
			Latency: time.Millisecond, Jitter: time.Millisecond, Loss: 0.03, Duplication: 0.05, Reordering: 0.2,
			ReorderingDelay: 5 * time.Millisecond,
		})
	}
	var callers sync.WaitGroup
	for c := range 12 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(c), 1))
			for range 40 {
				ctx, cancel := context.WithCancel(tf.ctx)
				if random.IntN(3) == 0 {
					time.AfterFunc(time.Duration(random.IntN(12))*time.Millisecond, cancel)
				}
				size := 1 + random.IntN(200_000)
				service, key := fenced, fmt.Sprintf("order-%d", random.IntN(20))
				if random.IntN(2) == 0 {
					service, key = unkeyed, ""
				}
				a := tf.sendRequest(ctx, tf.Nodes[random.IntN(len(tf.Nodes))], service, key, fmt.Sprintf("/size/%d", size), "")
				cancel()
				if a.answered() && !bytes.Equal(a.body, emulator.SizedBody(a.id, size)) {
					t.Errorf("request %s got %d bytes that are not its own %d", a.id, len(a.body), size)
				}
			}
		})
	}
	callers.Wait()
	tf.checkInvariants()
}
