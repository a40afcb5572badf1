package launcher

import (
	"os/exec"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpawnOutlivesThread guards against a process that is killed because the thread whose goroutine asked for it has ended,
// while the program goes on. Of two goroutines that are locked at once, one is not on the program's main thread, which never
// ends.
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
	ended := make(chan error, len(commands))
	for range commands {
		require.NoError(t, <-started)
	}
	for _, c := range commands {
		go func() { ended <- c.Wait() }()
	}
	select {
	case err := <-ended:
		require.Fail(t, "a process ended with the thread that asked for it", "%v", err)
	case <-time.After(time.Second):
	}
	for _, c := range commands {
		require.NoError(t, c.Process.Kill())
		<-ended
	}
}
