package launcher

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// spawnRequest asks the spawning goroutine to start a command.
type spawnRequest struct {
	command *exec.Cmd
	result  chan error
}

// spawnRequests returns the channel to the goroutine that starts processes. The kernel sends Pdeathsig when the thread
// that started the child exits, so this goroutine stays locked to one thread for the life of the program.
var spawnRequests = sync.OnceValue(func() chan<- spawnRequest {
	requests := make(chan spawnRequest)
	go func() {
		runtime.LockOSThread()
		for r := range requests {
			r.result <- r.command.Start()
		}
	}()
	return requests
})

// Spawn starts a command as a process that the kernel kills when this program exits for any reason. It sets SysProcAttr
// of the command and returns the error of exec.Cmd.Start.
func Spawn(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := spawnRequest{command: c, result: make(chan error, 1)}
	spawnRequests() <- r
	return <-r.result
}
