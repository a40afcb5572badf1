package launcher

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// spawnRequest is a command that the spawning thread shall start.
type spawnRequest struct {
	command *exec.Cmd
	result  chan error
}

// spawner returns the channel to the goroutine that starts processes. The kernel ends a child with Pdeathsig when the thread
// that started it ends, so that goroutine keeps one thread for the life of the program.
var spawner = sync.OnceValue(func() chan<- spawnRequest {
	requests := make(chan spawnRequest)
	go func() {
		runtime.LockOSThread()
		for r := range requests {
			r.result <- r.command.Start()
		}
	}()
	return requests
})

// Spawn starts a command as a process that the kernel kills when this program ends, however it ends. It returns the error of
// exec.Cmd.Start.
func Spawn(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := spawnRequest{command: c, result: make(chan error, 1)}
	spawner() <- r
	return <-r.result
}
