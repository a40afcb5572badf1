package router

import (
	"sync/atomic"

	"hibiscusline/applier"
	"hibiscusline/follower"
)

// directory caches the active members of each service. Records are rare compared with requests, and listing the members
// takes time in proportion to all of them. The zero value is ready for use.
type directory struct {
	current atomic.Pointer[listing]
}

type listing struct {
	applied  applier.Offset
	services map[string][]applier.Member
}

// active returns the active members of a service. The slice must not be changed.
func (d *directory) active(f *follower.Follower, service string) []applier.Member {
	if l := d.current.Load(); l != nil && l.applied == f.Applied() {
		return l.services[service]
	}
	l := &listing{services: map[string][]applier.Member{}}
	f.View(func(s *applier.State) {
		l.applied = s.Applied
		for _, m := range s.MembersOf("") {
			if m.Status == applier.Active {
				l.services[m.Service] = append(l.services[m.Service], *m)
			}
		}
	})
	d.current.Store(l)
	return l.services[service]
}
