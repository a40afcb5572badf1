package dispatcher

import (
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/timer"
)

// evacuationGrace is the time for which the backend server of an evacuated zone still gets requests with a key, so that
// they are served while the keys move. The evacuation must be in force 5 s after its acknowledgement, and an owner learns
// of a record within 1 s, with the renewals of its lease.
const evacuationGrace = 4 * time.Second

// evacuation holds the time at which the grace of the newest evacuation of this process's zone ends. The zero value is
// ready for use.
type evacuation struct {
	mu     sync.Mutex
	offset applier.Offset
	until  time.Duration
}

// graceEnd returns the end of the grace of the evacuation at an offset. The first call for it starts the grace.
func (e *evacuation) graceEnd(offset applier.Offset) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.offset != offset {
		e.offset, e.until = offset, timer.Now()+evacuationGrace
	}
	return e.until
}

// evacuated reports whether the backend server may no longer get a request because its zone is evacuated. A member that
// joined after the evacuation has no grace: it may be a process that was restarted long after it.
func (d *Dispatcher) evacuated(keyed bool) bool {
	var e applier.Evacuation
	found, grace := false, false
	d.config.State.View(func(s *applier.State) {
		if e, found = s.Evacuated(d.config.Zone); found {
			m := s.Members[d.config.Self()]
			grace = keyed && m != nil && m.Joined < e.Offset
		}
	})
	return found && !(grace && timer.Now() < d.evacuation.graceEnd(e.Offset))
}
