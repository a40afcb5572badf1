package router

import (
	"sync/atomic"

	"hibiscusline/applier"
	"hibiscusline/follower"
)

// memberCache caches the active members of each service. Log records are rare compared with requests, and listing the
// members takes time in proportion to the number of all members. The zero value is ready for use.
type memberCache struct {
	snapshot atomic.Pointer[memberSnapshot]
}

type memberSnapshot struct {
	applied  applier.Offset
	services map[string][]applier.Member
}

// active returns the active members of a service. The caller must not modify the slice.
func (c *memberCache) active(f *follower.Follower, service string) []applier.Member {
	if l := c.snapshot.Load(); l != nil && l.applied == f.Applied() {
		return l.services[service]
	}
	l := &memberSnapshot{services: map[string][]applier.Member{}}
	f.View(func(s *applier.State) {
		l.applied = s.Applied
		for _, m := range s.MembersOf("") {
			if m.Status == applier.Active {
				l.services[m.Service] = append(l.services[m.Service], *m)
			}
		}
	})
	c.snapshot.Store(l)
	return l.services[service]
}
