package executor_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/timer"
)

// TestEvacuatedServer guards against a request that reaches a server in an evacuated zone, from a sender that doesn't know of the
// evacuation or because the request waited for a slot meanwhile, and against one that is broken off there.
func TestEvacuatedServer(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	g := newExecutor(t, 1, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-end
		respond(w, r)
	})
	run := func(j *executor.Job) <-chan executor.Result {
		done := make(chan executor.Result, 1)
		go func() { done <- g.Run(context.Background(), j) }()
		return done
	}
	running := run(newJob("a", 10*time.Second))
	<-started
	waiting := run(newJob("b", 10*time.Second))
	require.Eventually(t, func() bool { return g.Load().Waiting == 1 }, 5*time.Second, time.Millisecond)
	now := timer.Now()
	s := executor.Server{Instance: "i-1", Service: "stock", Slots: 1, EvacuatedFrom: now, KeyedEvacuatedFrom: now + time.Hour}
	g.SetServer(s)
	require.Equal(t, executor.Evacuated, (<-run(newJob("c", 10*time.Second))).Reason)
	close(end)
	require.Equal(t, executor.Answered, (<-running).Outcome, "what runs ends undisturbed")
	r := <-waiting
	require.Equal(t, executor.NotRun, r.Outcome)
	require.Equal(t, executor.Evacuated, r.Reason)
	require.False(t, r.Reached)
	decoded, err := executor.DecodeResult(executor.EncodeResult(executor.Result{Outcome: r.Outcome, Reason: r.Reason}))
	require.NoError(t, err)
	require.Equal(t, executor.Evacuated, decoded.Reason)
	s.KeyedEvacuatedFrom = timer.Now()
	g.SetServer(s)
	keyed := newJob("d", 10*time.Second)
	keyed.Keyed = true
	require.Equal(t, executor.Evacuated, (<-run(keyed)).Reason)
}
