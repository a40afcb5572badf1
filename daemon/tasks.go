package daemon

import "sync"

// taskGroup runs tasks and waits for their end. The zero value is ready for use.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// Go runs a task, unless Wait has been called: peers, timers and callers still ask for tasks while the process stops.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.tasks.Go(task)
	}
}

// Wait waits until all tasks have ended.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}
