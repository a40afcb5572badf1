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

// Member is a process in the same zone.
type Member struct {
	Name string
	// Usable means that the process is reachable and not stopping.
	Usable bool
}

// Config configures a Delegator.
type Config struct {
	// Self is the name of the process.
	Self string
	// Readers is the number of processes of a zone that read the store. Values below one count as one.
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
}

// New returns a Delegator without suspended readers.
func New(c Config) *Delegator {
	c.Readers = max(c.Readers, 1)
	return &Delegator{config: c, suspendedUntil: map[string]time.Duration{}}
}

// Next returns the next source of the process. The members are those of its zone. The process itself may be among them
// and counts as usable. Next does not choose the same reader twice in a row while another is available, so a reader
// that cannot reach the store delays each asking process by at most one response.
func (d *Delegator) Next(now time.Duration, members []Member) Source {
	readers := d.readers(members)
	if len(readers) == 0 || slices.Contains(readers, d.config.Self) {
		return Store{}
	}
	start := slices.Index(readers, d.lastReader) + 1
	for i := range readers {
		name := readers[(start+i)%len(readers)]
		if now >= d.suspendedUntil[name] {
			d.lastReader = name
			return Reader{Name: name}
		}
	}
	return Store{}
}

// readers returns the names of the readers of the zone, ordered by the hashes of their names.
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
