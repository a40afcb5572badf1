package forwarder_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/matcher"
	"hibiscusline/platform/simulator"
)

// TestNestedRequestGoesFirst guards against requests that the backend server makes while it runs another one and that wait
// behind callers' requests of the same priority, while their parents hold slots.
func TestNestedRequestGoesFirst(t *testing.T) {
	var mu sync.Mutex
	var order []string
	release := map[string]chan struct{}{"a": make(chan struct{}), "b": make(chan struct{})}
	f := newFixture(t, matcher.Idempotent, false, func(w http.ResponseWriter, r *http.Request) {
		id := simulator.RequestID(r.Header)
		mu.Lock()
		order = append(order, id)
		mu.Unlock()
		if wait, present := release[id]; present {
			<-wait
		}
		simulator.Sign(w)
	})
	var group sync.WaitGroup
	start := func(id string, running, waiting int) {
		group.Go(func() { require.Equal(t, http.StatusOK, f.sendFor(id, "/patient/x", 20*time.Second).Status) })
		require.Eventually(t, func() bool {
			l := f.executor.Load()
			return l.Running == running && l.Waiting == waiting
		}, 20*time.Second, time.Millisecond)
	}
	start("a", 1, 0)
	start("b", 2, 0)
	start("c", 2, 1)
	start("x.1", 2, 2) // A caller's: no request x runs.
	start("a.1", 2, 3)
	close(release["b"])
	require.Eventually(t, func() bool { return f.executor.Load().Waiting == 0 }, 20*time.Second, time.Millisecond)
	close(release["a"])
	group.Wait()
	first := slices.IndexFunc(order, func(id string) bool { return strings.HasPrefix(id, "a.") })
	require.Equal(t, 2, first, "order %v", order)
}
