package executor_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
)

// TestHealthCheckIsNoLoad guards against a health check that waits at a busy server and takes a slot from the requests or counts
// as load of the server, and against one that waits for longer than it may.
func TestHealthCheckIsNoLoad(t *testing.T) {
	const timeout = 200 * time.Millisecond
	asked, release := make(chan struct{}), make(chan struct{})
	g := newExecutor(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			respond(w, r)
			return
		}
		close(asked)
		<-release
	})
	t.Cleanup(func() { close(release) })
	identity := make(chan executor.Identity)
	began := time.Now()
	go func() { identity <- g.Identify(t.Context(), "/health", timeout) }()
	<-asked
	before := g.Load()
	require.Zero(t, before.Running)
	require.Zero(t, before.Waiting)
	require.Equal(t, executor.Answered, g.Run(t.Context(), newJob("a", time.Second)).Outcome, "the only slot is free")
	require.Equal(t, executor.Identity{}, <-identity)
	require.Less(t, time.Since(began), timeout+time.Second)
}

// TestIdentify guards against an answer that names no instance, or says nothing of the server's health, being taken for one that
// does.
func TestIdentify(t *testing.T) {
	status, id := http.StatusOK, "i-1"
	g := newExecutor(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		if id != "" {
			simulator.StateInstance(w, id)
		}
		w.WriteHeader(status)
	})
	ask := func(path string) executor.Identity { return g.Identify(t.Context(), path, time.Second) }
	require.Equal(t, executor.Identity{Instance: "i-1", Health: platform.Serving}, ask("/health"))
	require.Equal(t, executor.Identity{}, ask(""), "the service has no health checks")
	status = http.StatusServiceUnavailable
	require.Equal(t, executor.Identity{Instance: "i-1", Health: platform.LeavingOrFailing}, ask("/health"))
	id = ""
	require.Equal(t, executor.Identity{}, ask("/health"))
}
