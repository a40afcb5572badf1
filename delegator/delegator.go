package delegator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source says where a process learns next. The types of this package that implement it are the only ones.
type Source interface{ source() }

// Store means that the process reads the store itself.
type Store struct{}

// Reader means that the process asks another one, which reads the store.
type Reader struct{ Name string }

func (Store) source()  {}
func (Reader) source() {}

// Member is a process of the caller's zone.
type Member struct {
	Name string
	// Usable means that the process can be reached and isn't stopping.
	Usable bool
}

// Config configures a Delegator.
type Config struct {
	// Self is the name of the process.
	Self string
	// Readers is the number of processes of a zone that read the store. Values below one are taken as one.
	Readers int
	// MaxAge is the age of a reader's knowledge from which on it isn't asked for a while.
	MaxAge time.Duration
	// Suspension is how long a reader that knew too little, or didn't answer, isn't asked.
	Suspension time.Duration
}

// Delegator chooses sources for one process. It is not safe for concurrent use.
type Delegator struct {
	config Config
	// suspended holds, by name, the end of the time for which a reader isn't asked.
	suspended map[string]time.Duration
	last      string
}

// New returns a Delegator that suspends nobody.
func New(c Config) *Delegator {
	c.Readers = max(c.Readers, 1)
	return &Delegator{config: c, suspended: map[string]time.Duration{}}
}

// Next returns where the process learns next. The members are those of its zone; the process itself may be among them and
// counts as usable. A reader is never asked twice in a row while there is another, so that one that can't reach the store
// delays its askers by one answer at most.
func (d *Delegator) Next(now time.Duration, members []Member) Source {
	readers := d.readers(members)
	if len(readers) == 0 || slices.Contains(readers, d.config.Self) {
		return Store{}
	}
	start := slices.Index(readers, d.last) + 1
	for i := range readers {
		name := readers[(start+i)%len(readers)]
		if now >= d.suspended[name] {
			d.last = name
			return Reader{Name: name}
		}
	}
	return Store{}
}

// readers returns the names of the readers of the zone in the order of their ranks.
func (d *Delegator) readers(members []Member) []string {
	names := []string{d.config.Self}
	for _, m := range members {
		if m.Usable && m.Name != d.config.Self {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names[:min(d.config.Readers, len(names))]
}

// ReportAge takes how old the knowledge of a reader was that answered.
func (d *Delegator) ReportAge(now time.Duration, reader string, age time.Duration) {
	if age > d.config.MaxAge {
		d.ReportFailure(now, reader)
		return
	}
	delete(d.suspended, reader)
}

// ReportFailure takes that a reader gave no answer, or none that says how old its knowledge is.
func (d *Delegator) ReportFailure(now time.Duration, reader string) {
	d.suspended[reader] = now + d.config.Suspension
}
