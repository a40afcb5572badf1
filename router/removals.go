package router

import (
	"context"
	"sync"
	"time"

	"hibiscusline/applier"
	"hibiscusline/follower"
)

// departureGrace is the time allowed for the last responses of a member that left. It exceeds the pause before its
// process exits.
const departureGrace = time.Second

// removalWatcher cancels attempts at members that leave the state. Without it, QUIC would notice a killed process only
// after its idle timeout. The zero value is ready for use.
type removalWatcher struct {
	mu       sync.Mutex
	watching bool
	members  map[applier.MemberID]*memberWatch
}

type memberWatch struct {
	context context.Context
	cancel  context.CancelFunc
	users   int
}

// watch returns a context that is also cancelled when the member leaves the state. The returned function releases it.
func (r *removalWatcher) watch(
	parent context.Context, f *follower.Follower, id applier.MemberID,
) (context.Context, func()) {
	r.mu.Lock()
	if r.members == nil {
		r.members = map[applier.MemberID]*memberWatch{}
	}
	w, present := r.members[id]
	if !present {
		w = &memberWatch{}
		w.context, w.cancel = context.WithCancel(context.Background())
		r.members[id] = w
	}
	w.users++
	if !r.watching {
		r.watching = true
		go r.follow(f)
	}
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(w.context, cancel)
	return ctx, func() {
		stop()
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		w.users--
		if w.users == 0 && r.members[id] == w {
			w.cancel()
			delete(r.members, id)
		}
	}
}

// follow cancels the watches of removed members. It returns when nothing is watched.
func (r *removalWatcher) follow(f *follower.Follower) {
	for {
		changed := f.Changed()
		r.mu.Lock()
		if len(r.members) == 0 {
			r.watching = false
			r.mu.Unlock()
			return
		}
		f.View(func(s *applier.State) {
			for id, w := range r.members {
				if _, present := s.Members[id]; present {
					continue
				}
				if removal, known := s.Removal(id); known && removal.Cause == applier.Left {
					// The member has answered all its requests; its last responses may still be in transit.
					time.AfterFunc(departureGrace, w.cancel)
				} else {
					w.cancel()
				}
				delete(r.members, id)
			}
		})
		r.mu.Unlock()
		<-changed
	}
}
