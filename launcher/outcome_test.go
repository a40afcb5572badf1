package launcher

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
)

// TestTimedOutRequests guards against the outcome "not_run" for a request that a backend server had started before its
// timeout, for callers of the owner and of other entries, while other requests time out in the queue.
func TestTimedOutRequests(t *testing.T) {
	tf := startTestFleet(t, 250*time.Millisecond, map[string]int{fenced: 3, unkeyed: 2})
	tf.timeout = 400 * time.Millisecond
	// With widely varying service times, some requests start that can't finish in time. With constant ones, admission
	// control would reject them.
	for _, n := range tf.Nodes {
		require.NoError(tf, n.Server.Change(func(s *emulator.ServerSettings) { s.Distribution = emulator.Exponential }))
	}
	var mu sync.Mutex
	outcomes := map[string]int{}
	var callers sync.WaitGroup
	for i := range 120 {
		callers.Go(func() {
			// The requests arrive over several service times, so that some start shortly before their timeout.
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			service, key, idempotency := fenced, "order-1", ""
			switch i % 4 {
			case 0:
				service, key = unkeyed, ""
			case 1:
				idempotency = fmt.Sprintf("idem-%d", i)
			}
			a := tf.sendRequest(tf.ctx, tf.Nodes[i%len(tf.Nodes)], service, key, "/echo", idempotency)
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.outcome]++
		})
	}
	callers.Wait()
	require.NotZero(tf, outcomes["unknown"], "%v", outcomes)
	tf.checkInvariants()
}
