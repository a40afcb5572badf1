package registrar

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
)

// Prefixes of record keys.
const (
	memberPrefix = "member/"
	tablePrefix  = "table/"
)

// EraKey is the key of the record that marks the beginning of an era of the store. Table records behind it that were built in an
// earlier era are ignored.
const EraKey = "era"

// EncodeEra returns the record that marks the beginning of an era.
func EncodeEra(era uint64) []byte { return strconv.AppendUint(nil, era, 10) }

// MemberKey returns the key of a member's record.
func MemberKey(name string) string { return memberPrefix + name }

// TableKey returns the key of a service's assignment table.
func TableKey(service string) string { return tablePrefix + service }

// Entry is the newest record of a key. An empty value means that the key was removed.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Offset uint64
	Value  []byte
}

// View is an immutable, consistent copy of the records, so it can be read without locks.
type View struct {
	// Era is the era of the store that the view shows, and End an offset of that era below which it has every record.
	Era uint64
	End uint64
	// Members holds the member records by name, with the leavings that the store may not know, and Tables the assignment
	// tables by service.
	Members map[string]Member
	Tables  map[string]*assigner.Table
	// ByService holds the members of each service, sorted by name.
	ByService map[string][]Member
	// ByZone holds the number of members by zone.
	ByZone map[string]int
	// stored holds the member records by name as the store has them, and leavings what it may not know of them.
	stored   map[string]Member
	leavings []Leaving
	// unrecorded holds those of the leavings that the stored records lack.
	unrecorded []Leaving
	// offsets holds the offset of each record by key.
	offsets map[string]uint64
	// mark is the record with EraKey, or zero if there is none.
	mark mark
	// unreadable holds the keys whose newest record can't be decoded.
	unreadable map[string]struct{}
}

// mark is the beginning of an era.
type mark struct{ era, offset uint64 }

// Position returns the position below which the view has every record.
func (v *View) Position() Position { return Position{Era: v.Era, Offset: v.End} }

// Marked reports whether the store has the record that marks the beginning of the view's era.
func (v *View) Marked() bool { return v.mark.era >= v.Era }

// Unreadable reports whether the newest record of a key can't be decoded. The view then holds the record before it, if
// there was one.
func (v *View) Unreadable(key string) bool {
	_, unreadable := v.unreadable[key]
	return unreadable
}

// MemberBeforeEnd returns the record of a member, and whether the view also has everything appended before that record.
// A process may know its own record from the append while earlier records of others are still unread.
func (v *View) MemberBeforeEnd(name string) (Member, bool) {
	m, found := v.Members[name]
	return m, found && v.offsets[MemberKey(name)] < v.End
}

// Registrar holds the newest view. Apply must not be called concurrently; View may be called at any time.
type Registrar struct {
	entries map[string]Entry
	view    atomic.Pointer[View]
}

// New returns a Registrar without records.
func New() *Registrar {
	r := &Registrar{entries: map[string]Entry{}}
	r.view.Store(&View{
		Members: map[string]Member{}, Tables: map[string]*assigner.Table{}, ByService: map[string][]Member{},
		stored: map[string]Member{}, offsets: map[string]uint64{}, unreadable: map[string]struct{}{},
	})
	return r
}

// View returns the newest view.
func (r *Registrar) View() *View { return r.view.Load() }

// Apply merges records, in any order. The end is an offset below which the records and the current view together are
// complete, or zero if the caller does not know one: records at or above it may follow unread ones. Apply returns an
// error that names the records that cannot be decoded. The others are applied, and the records that those replace are
// kept: an odd record of another writer must not take the keys of a live owner.
func (r *Registrar) Apply(entries []Entry, end uint64) error {
	old := r.View()
	next := &View{
		Era: old.Era, End: max(old.End, end), mark: old.mark, stored: maps.Clone(old.stored), leavings: old.leavings, Tables: maps.Clone(old.Tables),
		offsets: maps.Clone(old.offsets), unreadable: maps.Clone(old.unreadable),
	}
	var failed []string
	changed := end > old.End
	for _, e := range marksFirst(entries) {
		if known, found := r.entries[e.Key]; found && known.Offset >= e.Offset {
			continue
		}
		r.entries[e.Key] = e
		next.offsets[e.Key] = e.Offset
		changed = true
		delete(next.unreadable, e.Key)
		if err := next.apply(e); err != nil {
			next.unreadable[e.Key] = struct{}{}
			failed = append(failed, e.Key+": "+err.Error())
		}
	}
	if changed {
		next.buildIndexes()
		r.view.Store(next)
	}
	if len(failed) > 0 {
		return errors.Errorf("records cannot be decoded: %s", strings.Join(failed, "; "))
	}
	return nil
}

// Enter replaces the view by the newest records of a later era of the store. What was draining in the earlier era is kept as a
// leaving, which the store may have lost. It must not be called concurrently with Apply.
func (r *Registrar) Enter(entries []Entry, p Position) error {
	old := r.View()
	next := New().View()
	next.Era, next.leavings = p.Era, slices.Clone(old.leavings)
	for _, m := range old.stored {
		l := Leaving{Member: m.Name, Incarnation: m.Incarnation}
		if m.State == Draining && !slices.Contains(next.leavings, l) {
			next.leavings = append(next.leavings, l)
		}
	}
	next.leavings = next.leavings[max(len(next.leavings)-maxLeavings, 0):]
	next.buildIndexes()
	r.entries = map[string]Entry{}
	r.view.Store(next)
	return r.Apply(entries, p.Offset)
}

// marksFirst returns records with the one that marks an era before all others.
func marksFirst(entries []Entry) []Entry {
	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Key == EraKey }); i > 0 {
		return append([]Entry{entries[i]}, slices.Delete(slices.Clone(entries), i, i+1)...)
	}
	return entries
}

func (v *View) applyMark(e Entry) error {
	if len(e.Value) == 0 {
		v.mark = mark{}
		return nil
	}
	era, err := strconv.ParseUint(string(e.Value), 10, 64)
	if err != nil {
		return errors.Wrap(err, "decode the mark of an era")
	}
	v.mark = mark{era: era, offset: e.Offset}
	return nil
}

func (v *View) apply(e Entry) error {
	if e.Key == EraKey {
		return v.applyMark(e)
	}
	if name, found := strings.CutPrefix(e.Key, memberPrefix); found {
		if len(e.Value) == 0 {
			delete(v.stored, name)
			return nil
		}
		m, err := DecodeMember(e.Value)
		if err != nil {
			return err
		}
		if m.Name != name {
			return errors.Errorf("the record names the member %q", m.Name)
		}
		v.stored[name] = m
		return nil
	}
	service, found := strings.CutPrefix(e.Key, tablePrefix)
	if !found {
		return errors.New("the key has neither the prefix member/ nor table/")
	}
	if len(e.Value) == 0 {
		delete(v.Tables, service)
		return nil
	}
	t, err := assigner.Decode(e.Value)
	if err != nil {
		return err
	}
	if t.Service != service {
		return errors.Errorf("the record names the service %q", t.Service)
	}
	if e.Offset > v.mark.offset && t.Era < v.mark.era {
		return errors.Errorf("the table was built in era %d and stands behind the beginning of era %d", t.Era, v.mark.era)
	}
	v.Tables[service] = t
	return nil
}

func (v *View) buildIndexes() {
	v.applyLeavings()
	v.ByService, v.ByZone = map[string][]Member{}, map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(v.Members)) {
		m := v.Members[name]
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
		v.ByZone[m.Zone]++
	}
}

// Deletions returns records that delete the members which the newest records of all keys lack, although they had one below
// an offset that was the end before these were read. Tables are never deleted. It must not be called concurrently with Apply.
func (r *Registrar) Deletions(newest []Entry, end uint64) []Entry {
	present := map[string]bool{}
	for _, e := range newest {
		present[e.Key] = true
	}
	var list []Entry
	for key, e := range r.entries {
		if strings.HasPrefix(key, memberPrefix) && len(e.Value) > 0 && e.Offset < end && !present[key] {
			list = append(list, Entry{Key: key, Offset: end - 1})
		}
	}
	return list
}

// EntriesSince returns the records at or above an offset, in order of offset. It must not be called concurrently with
// Apply.
func (r *Registrar) EntriesSince(offset uint64) []Entry {
	var list []Entry
	for _, e := range r.entries {
		if e.Offset >= offset {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return int(int64(a.Offset) - int64(b.Offset)) })
	return list
}
