package deduper

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/hasher"
)

// Limits bounds the memory of a Table or Store. Zero fields select the defaults.
type Limits struct {
	// Rows is the number of rows from which no further request is accepted (default 65,536).
	Rows int
	// Bytes is the total size of stored headers and bodies above which outcomes are stored without them
	// (default 32 MiB).
	Bytes int
	// OutcomeBytes is the largest size of headers and body of one outcome that is stored (default 16 KiB).
	OutcomeBytes int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		Rows: cmp.Or(l.Rows, 1<<16), Bytes: cmp.Or(l.Bytes, 32<<20), OutcomeBytes: cmp.Or(l.OutcomeBytes, 16<<10),
	}
}

// usage tracks memory against limits. The row sets of a Store share one usage.
type usage struct {
	limits Limits
	rows   int
	bytes  int
}

func (u *usage) full() bool { return u.rows >= u.limits.Rows }

// limitOutcome returns the outcome, without headers and body if they exceed a limit.
func (u *usage) limitOutcome(o Outcome) Outcome {
	size := o.size()
	if size > u.limits.OutcomeBytes || u.bytes+size > u.limits.Bytes {
		return Outcome{Status: o.Status, Partial: true}
	}
	return o
}

type entry struct {
	row Row
	// created is the local time of the intent, or later if it isn't known exactly.
	created time.Duration
	// running means that the request is in progress in this process.
	running bool
}

// shardBits is the number of leading position bits that select the shard of a row. An export reads only the shards
// that its range overlaps: about 256 of 65,536 rows for a small range.
const shardBits = 8

type shardID struct {
	service string
	prefix  uint16
}

func shardOf(service string, p hasher.Position) shardID {
	return shardID{service: service, prefix: uint16(p >> (64 - shardBits))}
}

// rowSet holds rows by id, sharded by position.
type rowSet struct {
	usage  *usage
	shards map[shardID]map[ID]*entry
}

func newRowSet(u *usage) rowSet { return rowSet{usage: u, shards: map[shardID]map[ID]*entry{}} }

func (s rowSet) get(id ID) *entry { return s.shards[shardOf(id.Service, id.Position)][id] }

func (s rowSet) add(e *entry) {
	id := e.row.Ref.ID
	shard := shardOf(id.Service, id.Position)
	if s.shards[shard] == nil {
		s.shards[shard] = map[ID]*entry{}
	}
	e.row.Outcome = s.usage.limitOutcome(e.row.Outcome)
	s.shards[shard][id] = e
	s.usage.rows++
	s.usage.bytes += e.row.Outcome.size()
}

func (s rowSet) remove(e *entry) {
	id := e.row.Ref.ID
	shard := shardOf(id.Service, id.Position)
	delete(s.shards[shard], id)
	if len(s.shards[shard]) == 0 {
		delete(s.shards, shard)
	}
	s.usage.rows--
	s.usage.bytes -= e.row.Outcome.size()
}

func (s rowSet) setOutcome(e *entry, o Outcome) {
	s.usage.bytes -= e.row.Outcome.size()
	e.row.Outcome = s.usage.limitOutcome(o)
	s.usage.bytes += e.row.Outcome.size()
}

// entriesOf returns the entries of a range in ascending order of position and key.
func (s rowSet) entriesOf(service string, r hasher.Range) []*entry {
	var found []*entry
	for prefix := shardOf(service, r.Low).prefix; prefix <= shardOf(service, r.High).prefix; prefix++ {
		for id, e := range s.shards[shardID{service: service, prefix: prefix}] {
			if r.Contains(id.Position) {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		x, y := a.row.Ref.ID, b.row.Ref.ID
		return cmp.Or(cmp.Compare(x.Position, y.Position), cmp.Compare(x.Key, y.Key))
	})
	return found
}

func (s rowSet) export(now time.Duration, service string, r hasher.Range) []Row {
	entries := s.entriesOf(service, r)
	rows := make([]Row, len(entries))
	for i, e := range entries {
		rows[i] = e.row
		rows[i].Age = max(0, now-e.created)
	}
	return rows
}

// expire removes rows that are at least as old as the window of their service. Rows of running requests stay, however
// old they are.
func (s rowSet) expire(now time.Duration, window func(service string) time.Duration) {
	for shard, entries := range s.shards {
		limit := window(shard.service)
		for _, e := range entries {
			if !e.running && now-e.created >= limit {
				s.remove(e)
			}
		}
	}
}

func (s rowSet) clear() {
	for _, entries := range s.shards {
		for _, e := range entries {
			s.remove(e)
		}
	}
}
