package sidecar_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform/simulator"
)

// TestNoFinalAnswerFromOldConfiguration guards against a 404, after which callers give up, from a process that can't know
// whether a newer configuration has the route.
func TestNoFinalAnswerFromOldConfiguration(t *testing.T) {
	t.Run("others have a newer one", func(t *testing.T) {
		t.Parallel()
		s := newCluster(t, 1, 3)
		fronts := &faultyFronts{faults: 1000}
		s.startBehind(fronts, s.nodes[:3]...)
		lagging := s.nodes[3]
		lagging.stopSidecar()
		lagging.settings.Store = s.address()
		s.startSidecar(lagging)
		s.await("the process learns from the others", func() bool { return s.serves(lagging, "/orders/1") })
		time.Sleep(2 * time.Second) // The processes use the fronts.
		prefix := s.publishLarge(2)
		s.await("the others have it", func() bool { return s.serves(s.nodes[0], prefix) })
		time.Sleep(lagging.settings.Bounds.Configuration)
		for range 10 {
			s.requireRetryLater(lagging, prefix)
		}
		require.Equal(t, http.StatusNotFound, s.send(s.nodes[0], http.MethodGet, "/none/", simulator.NoKey).Status)
		fronts.setFaults(0)
		s.await("the process has the configuration", func() bool { return s.serves(lagging, prefix) })
		s.await("a route that isn't there is not found", func() bool {
			return s.send(lagging, http.MethodGet, "/none/", simulator.NoKey).Status == http.StatusNotFound
		})
	})
	t.Run("nobody confirms it", func(t *testing.T) {
		t.Parallel()
		s := newCluster(t, 1, 1)
		s.store.SetDown(true)
		time.Sleep(s.nodes[1].settings.Bounds.Configuration + time.Second)
		s.requireRetryLater(s.nodes[1], "/none/")
		require.True(t, s.serves(s.nodes[1], "/orders/1"), "known routes are served")
		s.store.SetDown(false)
		s.await("a route that isn't there is not found", func() bool {
			return s.send(s.nodes[1], http.MethodGet, "/none/", simulator.NoKey).Status == http.StatusNotFound
		})
	})
}

// requireRetryLater requires that a node refuses a request until later.
func (s *cluster) requireRetryLater(n *node, path string) {
	s.t.Helper()
	r := s.send(n, http.MethodGet, path, simulator.NoKey)
	require.Equal(s.t, http.StatusServiceUnavailable, r.Status)
	require.NotEmpty(s.t, r.RetryAfter)
}
