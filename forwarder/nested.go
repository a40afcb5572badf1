package forwarder

import (
	"hibiscusline/executor"
	"hibiscusline/platform"
)

// inherit marks a request that the backend server makes while it runs another one, and gives it the priority of that request
// if it is more urgent. A request whose parent doesn't run here is a caller's.
func (f *Forwarder) inherit(j *executor.Job) {
	parent, nested := platform.ParentID(j.ID)
	if !nested || f.config.Local == nil {
		return
	}
	priority, running := f.config.Local.RunningPriority(parent)
	if !running {
		return
	}
	j.Nested, j.Priority = true, min(j.Priority, priority)
}
