package evacuator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hibiscusline/registrar"
)

// Record is the newest known record of a zone.
type Record struct {
	Zone     string
	Position registrar.Position
	// Evacuated is false if the record takes an evacuation back.
	Evacuated bool
	// Since is a time before which the record was not there, or zero if none is known.
	Since time.Duration
}

// State is what a process knows of evacuations.
type State struct {
	// Known means that Complete was ever set.
	Known bool
	// Complete is the position before which all records are known. A zone without one is not evacuated.
	Complete registrar.Position
	Records  map[string]Record
}

// EraHold is how long an evacuation stands after a change of the era although the new era doesn't have it. The operator writes
// again in that time what the store has lost.
const EraHold = 10 * time.Second

// Set is the set of evacuated zones. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	state State
	// eraSince is when the present era became known.
	eraSince time.Duration
	// restored holds when the evacuation of a zone was seen to end.
	restored map[string]time.Duration
	// carried holds Since of the evacuations of an earlier era that those of a later one have replaced without an end between.
	carried map[string]time.Duration
}

// New returns a Set that knows nothing.
func New() *Set {
	return &Set{state: State{Records: map[string]Record{}}, restored: map[string]time.Duration{}, carried: map[string]time.Duration{}}
}

// Change is the beginning or the end of the evacuation of a zone.
type Change struct{ Record Record }

// Read adds the records of a read from a position up to a later one. The read returned all records between the two.
func (s *Set) Read(now time.Duration, from, to registrar.Position, records []Record) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := State{Records: map[string]Record{}}
	if s.state.Known && from.Era == s.state.Complete.Era && from.Offset <= s.state.Complete.Offset {
		next.Known, next.Complete = true, to
		maps.Copy(next.Records, s.state.Records)
	}
	for _, r := range records {
		if known, found := next.Records[r.Zone]; !found || known.Position.Compare(r.Position) < 0 {
			next.Records[r.Zone] = r
		}
	}
	return s.merge(now, next)
}

// List adds a list of the newest record of each zone, which is complete up to a position.
func (s *Set) List(now time.Duration, end registrar.Position, records []Record) []Change {
	n := State{Known: true, Complete: end, Records: map[string]Record{}}
	for _, r := range records {
		n.Records[r.Zone] = r
	}
	return s.Merge(now, n)
}

// Merge adds what another process knows.
func (s *Set) Merge(now time.Duration, other State) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(now, other)
}

func (s *Set) merge(now time.Duration, other State) []Change {
	before := s.state.Records
	if other.Known && (!s.state.Known || other.Complete.Era > s.state.Complete.Era) {
		s.eraSince = now
	}
	s.state = s.joined(now, other)
	return s.changes(now, before)
}

// Expire ends the evacuations of an earlier era that the present one doesn't have.
func (s *Set) Expire(now time.Duration) []Change { return s.Merge(now, State{}) }

// joined returns what is known with the knowledge of another process.
func (s *Set) joined(now time.Duration, other State) State {
	n := State{Known: s.state.Known || other.Known, Complete: s.state.Complete, Records: map[string]Record{}}
	if other.Known && (!s.state.Known || other.Complete.Compare(n.Complete) > 0) {
		n.Complete = other.Complete
	}
	holds := n.Known && now < s.eraSince+EraHold
	for _, records := range []map[string]Record{s.state.Records, other.Records} {
		for zone := range records {
			r, found := newest(zone, n, s.state, other)
			if earlier := earlierEvacuation(zone, n, s.state, other); earlier.Evacuated && holds && !r.Evacuated {
				r, found = earlier, true
			}
			if found {
				n.Records[zone] = r
			}
		}
	}
	return n
}

// newest returns the newest record of a zone that two states leave standing in the era of their join. One that takes an
// evacuation back is needed only until all records up to it are known.
func newest(zone string, join, s1, s2 State) (Record, bool) {
	r, found := s1.standing(zone, s2)
	other, otherFound := s2.standing(zone, s1)
	switch {
	case found && otherFound && r.Position == other.Position:
		r.Since = max(r.Since, other.Since)
	case otherFound && (!found || r.Position.Compare(other.Position) < 0):
		r, found = other, true
	}
	if !found || r.Position.Era < join.Complete.Era || !r.Evacuated && r.Position.Compare(join.Complete) < 0 {
		return Record{}, false
	}
	return r, true
}

// standing returns the record of a zone unless another state shows that it was replaced.
func (s State) standing(zone string, other State) (Record, bool) {
	r, found := s.Records[zone]
	if !found || !other.Known {
		return r, found
	}
	if same, known := other.Records[zone]; known && same.Position == r.Position {
		return r, true
	}
	return r, r.Position.Compare(other.Complete) >= 0
}

// earlierEvacuation returns the newest evacuation of a zone from an era before that of a join, or the zero value.
func earlierEvacuation(zone string, join State, states ...State) Record {
	var latest Record
	for _, s := range states {
		if r := s.Records[zone]; r.Evacuated && r.Position.Era < join.Complete.Era &&
			(!latest.Evacuated || latest.Position.Compare(r.Position) < 0) {
			latest = r
		}
	}
	return latest
}

// changes returns how the evacuated zones differ from those before.
func (s *Set) changes(now time.Duration, before map[string]Record) []Change {
	var list []Change
	zones := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(s.state.Records))
	slices.Sort(zones)
	for _, zone := range slices.Compact(zones) {
		was, is := before[zone], s.state.Records[zone]
		switch {
		case is.Evacuated && (!was.Evacuated || was.Position != is.Position):
			delete(s.restored, zone)
			s.carry(was, is)
			list = append(list, Change{Record: s.withAge(is)})
		case was.Evacuated && !is.Evacuated:
			s.restored[zone] = now
			delete(s.carried, zone)
			list = append(list, Change{Record: Record{Zone: zone, Position: s.state.Complete}})
		}
	}
	return list
}

// carry keeps the age of an evacuation that one of a later era replaces: the operator has written again what the store had lost.
func (s *Set) carry(was, is Record) {
	switch {
	case !was.Evacuated || was.Position.Era == is.Position.Era:
		delete(s.carried, is.Zone)
	default:
		s.carried[is.Zone] = s.withAge(was).Since
	}
}

// withAge returns the record of an evacuation with the age that it has with those of earlier eras.
func (s *Set) withAge(r Record) Record {
	if since, carried := s.carried[r.Zone]; carried {
		r.Since = min(r.Since, since)
	}
	return r
}

// State returns a copy of what is known.
func (s *Set) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state
	c.Records = maps.Clone(c.Records)
	return c
}

// Known reports whether anything is known of evacuations, for example that there are none.
func (s *Set) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Known
}

// Covers reports whether all records before a position are known.
func (s *Set) Covers(p registrar.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Known && s.state.Complete.Compare(p) >= 0
}

// Evacuated returns the record of the evacuation of a zone, and reports whether the zone is evacuated.
func (s *Set) Evacuated(zone string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.withAge(s.state.Records[zone])
	return r, r.Evacuated
}

// Zones returns the evacuated zones in order.
func (s *Set) Zones() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for zone, r := range s.state.Records {
		if r.Evacuated {
			list = append(list, zone)
		}
	}
	slices.Sort(list)
	return list
}

// RestoredAt returns when the evacuation of a zone was seen to end, or zero.
func (s *Set) RestoredAt(zone string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored[zone]
}

// News reports whether a process with another state would learn of a change from what is known here. What stands of earlier
// eras is none.
func (s *Set) News(now time.Duration, other State) bool {
	mine := s.State()
	maps.DeleteFunc(mine.Records, func(_ string, r Record) bool { return r.Position.Era < mine.Complete.Era })
	o := New()
	o.state, o.eraSince = other, now
	return len(o.Merge(now, mine)) > 0
}
