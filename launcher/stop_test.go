package launcher

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestRollingRestart guards against requests that fail because of a graceful stop, at the stopping entry, at the
// stopping owner or elsewhere, while every process of the fleet is restarted in turn.
func TestRollingRestart(t *testing.T) {
	tf := startTestFleet(t, 10*time.Millisecond, map[string]int{fenced: 3})
	otherEntry := tf.otherNode(fenced)
	var failures sync.Map
	var sent atomic.Int64
	call := func(n *Node, service, key string) error {
		a := tf.sendRequest(tf.ctx, n, service, key, "/items", "")
		sent.Add(1)
		var network *net.OpError
		// If the connection could not be established, the request was not sent.
		if !a.answered() && !(errors.As(a.err, &network) && network.Op == "dial") {
			failures.Store(a.id, fmt.Sprintf("%s at %s, %s: %s %s %v", a.id, n.Name, time.Now().UTC().Format(time.StampMilli), a.outcome, a.reason, a.err))
		}
		return a.err
	}
	for _, n := range tf.Nodes {
		var callers sync.WaitGroup
		stopped := make(chan struct{})
		for i := range 24 {
			entry := n
			if i%2 == 0 && n != otherEntry {
				entry = otherEntry
			}
			callers.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stopped:
						return
					default:
					}
					if err := call(entry, fenced, fmt.Sprintf("order-%d", k%30)); err != nil {
						return
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		require.NoError(tf, n.Stop(tf.ctx))
		close(stopped)
		callers.Wait()
		require.NoError(tf, n.Start())
		require.NoError(tf, tf.AwaitReady(tf.ctx))
	}
	failures.Range(func(_, cause any) bool {
		t.Error(cause)
		return true
	})
	require.NotZero(tf, sent.Load())
	tf.checkInvariants()
}
