package launcher

import (
	"os/exec"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpawnOutlivesThread guards against a child that is killed when the thread of the goroutine that called Spawn
// exits while the program still runs. The main thread never exits, so the test locks two goroutines to threads at the
// same time: at least one of them is on another thread.
func TestSpawnOutlivesThread(t *testing.T) {
	var commands [2]*exec.Cmd
	locked, both, started := make(chan struct{}), make(chan struct{}), make(chan error)
	for i := range commands {
		commands[i] = exec.Command("sleep", "60")
		go func() {
			runtime.LockOSThread()
			locked <- struct{}{}
			<-both
			started <- Spawn(commands[i])
		}()
	}
	<-locked
	<-locked
	close(both)
	exits := make(chan error, len(commands))
	for range commands {
		require.NoError(t, <-started)
	}
	for _, c := range commands {
		go func() { exits <- c.Wait() }()
	}
	select {
	case err := <-exits:
		require.Fail(t, "a child exited together with the thread that called Spawn", "%v", err)
	case <-time.After(time.Second):
	}
	for _, c := range commands {
		require.NoError(t, c.Process.Kill())
		<-exits
	}
}
