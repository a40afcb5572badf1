package launcher

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
)

// TestTimedOutRequests guards against "not run" as the outcome of a request that a backend server had begun when its time
// ran out, at the owner's own callers and at those of other entries, while others time out in the queue.
func TestTimedOutRequests(t *testing.T) {
	w := startTrial(t, 250*time.Millisecond, map[string]int{fenced: 3, unkeyed: 2})
	w.timeout = 400 * time.Millisecond
	// Service times that vary widely let requests start that don't end in time. Equal ones are foreseen by the admission.
	for _, n := range w.Nodes {
		require.NoError(w, n.Server.Change(func(s *emulator.ServerSettings) { s.Distribution = emulator.Exponential }))
	}
	var mu sync.Mutex
	outcomes := map[string]int{}
	var callers sync.WaitGroup
	for i := range 120 {
		callers.Go(func() {
			// The requests arrive over several service times, so that some start shortly before their end.
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			service, key, idempotency := fenced, "order-1", ""
			switch i % 4 {
			case 0:
				service, key = unkeyed, ""
			case 1:
				idempotency = fmt.Sprintf("idem-%d", i)
			}
			a := w.ask(w.ctx, w.Nodes[i%len(w.Nodes)], service, key, "/echo", idempotency)
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.outcome]++
		})
	}
	callers.Wait()
	require.NotZero(w, outcomes["unknown"], "%v", outcomes)
	w.judge()
}
