package delegator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source is where a process fetches records next. Only the types of this package implement it.
type Source interface{ source() }

// Store means that the process reads the store itself.
type Store struct{}

// Reader means that the process asks another process, which reads the store.
type Reader struct{ Name string }

func (Store) source()  {}
func (Reader) source() {}

// Member is a process of the system.
type Member struct {
	Name, Zone string
	// Usable means that the process is reachable and not stopping.
	Usable bool
}

// Config configures a Delegator.
type Config struct {
	// Self is the name of the process, and Zone its availability zone.
	Self, Zone string
	// Readers is the number of processes in all zones together that read the store. Each zone has one at least.
	Readers int
	// MaxAge is the maximum age of the data of a reader. A reader with older data is suspended.
	MaxAge time.Duration
	// Suspension is how long a reader with old data, or one that did not respond, is not asked.
	Suspension time.Duration
}

// Delegator chooses sources for one process. It is not safe for concurrent use.
type Delegator struct {
	config Config
	// suspendedUntil holds, by name, the end of the suspension of a reader.
	suspendedUntil map[string]time.Duration
	lastReader     string
	// turns counts the choices of a reader.
	turns int
}

// New returns a Delegator without suspended readers.
func New(c Config) *Delegator {
	return &Delegator{config: c, suspendedUntil: map[string]time.Duration{}}
}

// otherZoneTurns is how often, in choices of a reader, one of another zone is chosen. A reader that can't reach the store
// therefore delays its zone by little, also if it is the only one there.
const otherZoneTurns = 3

// Next returns the next source of the process. The members are those of all zones. The process itself may be among them
// and counts as usable. Next does not choose the same reader twice in a row while another of the zone is available.
func (d *Delegator) Next(now time.Duration, members []Member) Source {
	own, others := d.readers(members)
	if len(own) == 0 || slices.Contains(own, d.config.Self) {
		return Store{}
	}
	if r, found := d.nextReader(now, own, others); found {
		return r
	}
	return Store{}
}

// Fallback returns a reader to ask while the process can't read the store, although it should.
func (d *Delegator) Fallback(now time.Duration, members []Member) (Reader, bool) {
	own, others := d.readers(members)
	own = slices.DeleteFunc(own, func(name string) bool { return name == d.config.Self })
	return d.nextReader(now, own, others)
}

// nextReader returns the next of the readers of the own zone or, in turn or if none is left, of other zones.
func (d *Delegator) nextReader(now time.Duration, own, others []string) (Reader, bool) {
	d.turns++
	first, second := own, others
	if d.turns%otherZoneTurns == 0 {
		first, second = others, own
	}
	for _, list := range [][]string{first, second} {
		start := slices.Index(list, d.lastReader) + 1
		for i := range list {
			name := list[(start+i)%len(list)]
			if now >= d.suspendedUntil[name] {
				d.lastReader = name
				return Reader{Name: name}, true
			}
		}
	}
	return Reader{}, false
}

// readers returns the names of the readers of the own zone and of the other zones. In each zone they are the first in the
// order of the hashes of their names.
func (d *Delegator) readers(members []Member) (own, others []string) {
	byZone := map[string][]string{d.config.Zone: {d.config.Self}}
	for _, m := range members {
		if m.Usable && m.Name != d.config.Self {
			byZone[m.Zone] = append(byZone[m.Zone], m.Name)
		}
	}
	perZone := max(1, (d.config.Readers+len(byZone)-1)/len(byZone))
	for zone, names := range byZone {
		slices.SortFunc(names, compareHashes)
		names = names[:min(perZone, len(names))]
		if zone == d.config.Zone {
			own = names
		} else {
			others = append(others, names...)
		}
	}
	// Different processes begin with different readers of other zones.
	slices.SortFunc(others, func(a, b string) int { return compareHashes(d.config.Self+a, d.config.Self+b) })
	return own, others
}

func compareHashes(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// ReportAge records the age of the data in the response of a reader. It suspends the reader if the data is older than
// MaxAge.
func (d *Delegator) ReportAge(now time.Duration, reader string, age time.Duration) {
	if age > d.config.MaxAge {
		d.ReportFailure(now, reader)
		return
	}
	delete(d.suspendedUntil, reader)
}

// ReportFailure suspends a reader that did not respond, or whose response did not include the age of its data.
func (d *Delegator) ReportFailure(now time.Duration, reader string) {
	d.suspendedUntil[reader] = now + d.config.Suspension
}
