package evacuator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/registrar"
)

// testLog is the log of the records of evacuations in a test.
type testLog []Record

// evacuated reports whether a zone is evacuated after the records before an offset.
func (l testLog) evacuated(zone string, offset uint64) bool {
	evacuated := false
	for _, r := range l[:offset] {
		if r.Zone == zone {
			evacuated = r.Evacuated
		}
	}
	return evacuated
}

// newest returns the evacuations that a list of the newest records has.
func (l testLog) newest() []Record {
	last := map[string]Record{}
	for _, r := range l {
		last[r.Zone] = r
	}
	var list []Record
	for _, r := range last {
		if r.Evacuated {
			list = append(list, r)
		}
	}
	return list
}

var testZones = []string{"a", "b b", "c"}

func at(offset uint64) registrar.Position { return registrar.Position{Offset: offset} }

// step makes a random process learn something.
func (l testLog) step(t *testing.T, r *rand.Rand, sets []*Set) {
	s := sets[r.IntN(len(sets))]
	end := uint64(len(l))
	switch r.IntN(4) {
	case 0:
		s.List(1, at(end), l.newest())
	case 1:
		// A read may begin after records that the process doesn't know.
		from := r.Uint64N(end + 1)
		to := from + r.Uint64N(end-from+1)
		s.Read(1, at(from), at(to), l[from:to])
	default:
		state, err := Decode(sets[r.IntN(len(sets))].State().Encode(1), 1)
		require.NoError(t, err)
		s.Merge(1, state)
	}
	for _, zone := range testZones {
		state := s.State()
		if !state.Known {
			continue
		}
		_, evacuated := s.Evacuated(zone)
		possible := false
		for offset := state.Complete.Offset; offset <= end; offset++ {
			possible = possible || l.evacuated(zone, offset) == evacuated
		}
		require.True(t, possible, "zone %s at %d of %d", zone, state.Complete.Offset, end)
	}
}

// TestAnyOrder guards against a process that loses an evacuation or keeps one that was taken back, in whatever order it learns the
// records from the store and from other processes.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		sets := []*Set{New(), New(), New()}
		var l testLog
		for range 60 {
			if r.IntN(3) == 0 {
				zone := testZones[r.IntN(len(testZones))]
				l = append(l, Record{Zone: zone, Position: at(uint64(len(l))), Evacuated: r.IntN(2) == 0})
			}
			l.step(t, r, sets)
		}
		sets[0].List(1, at(uint64(len(l))), l.newest())
		for _, s := range sets[1:] {
			if s.Known() {
				require.Equal(t, !equalZones(s, sets[0]), sets[0].News(1, s.State()), "seed %d", seed)
			}
			s.Merge(1, sets[0].State())
			require.Equal(t, sets[0].Zones(), s.Zones(), "seed %d", seed)
		}
	}
}

func equalZones(s1, s2 *Set) bool {
	r1, r2 := s1.State().Records, s2.State().Records
	for _, zone := range testZones {
		if r1[zone].Evacuated != r2[zone].Evacuated || r1[zone].Evacuated && r1[zone].Position != r2[zone].Position {
			return false
		}
	}
	return true
}

// TestQuickSuccession guards against changes that are missed when an evacuation is taken back and made again between two reads.
func TestQuickSuccession(t *testing.T) {
	s := New()
	s.List(1, at(3), nil)
	require.Empty(t, s.Read(2, at(3), at(5), []Record{{Zone: "a", Position: at(3), Evacuated: true}, {Zone: "a", Position: at(4)}}))
	require.Len(t, s.Read(3, at(5), at(6), []Record{{Zone: "a", Position: at(5), Evacuated: true}}), 1)
	changes := s.Read(4, at(6), at(8), []Record{{Zone: "a", Position: at(6)}, {Zone: "a", Position: at(7), Evacuated: true}})
	require.Equal(t, []Change{{Record{Zone: "a", Position: at(7), Evacuated: true}}}, changes)
	require.Zero(t, s.RestoredAt("a"))
	require.Equal(t, []Change{{Record{Zone: "a", Position: at(9)}}}, s.List(5, at(9), nil))
	require.Equal(t, time.Duration(5), s.RestoredAt("a"))
	s.Read(6, at(12), at(13), []Record{{Zone: "a", Position: at(12)}})
	late := State{Known: true, Complete: at(11), Records: map[string]Record{"a": {Zone: "a", Position: at(10), Evacuated: true}}}
	require.Empty(t, s.Merge(7, late), "a record behind it takes that evacuation back")
}

// TestAges guards against a process that learns late and takes an evacuation for a new one.
func TestAges(t *testing.T) {
	s1, s2 := New(), New()
	s1.List(time.Second, at(3), nil)
	s1.Read(2*time.Second, at(3), at(4), []Record{{Zone: "a", Position: at(3), Evacuated: true, Since: time.Second}})
	s2.List(time.Second, at(4), []Record{{Zone: "a", Position: at(3), Evacuated: true}})
	state, err := Decode(s1.State().Encode(4*time.Second), 104*time.Second)
	require.NoError(t, err)
	s2.Merge(time.Second, state)
	r, _ := s2.Evacuated("a")
	require.Equal(t, 101*time.Second, r.Since)
	s2.Merge(time.Second, State{Records: map[string]Record{"a": {Zone: "a", Position: at(3), Evacuated: true}}})
	r, _ = s2.Evacuated("a")
	require.Equal(t, 101*time.Second, r.Since, "an unknown age doesn't replace a known one")
	for _, text := range []string{"", "1", "1.2 a", "1.2 a=1.2", "1.2 =1.2+?", "1.x", "1.2 a=1.2+x", "? a=+1"} {
		_, err := Decode(text, 1)
		require.Error(t, err, text)
	}
}

// TestEra guards against an evacuation that a store forgets by coming back from an older copy, and against one that stays for good
// although the operator doesn't write it again.
func TestEra(t *testing.T) {
	s := New()
	s.List(1, at(9), []Record{{Zone: "a", Position: at(8), Evacuated: true}, {Zone: "b", Position: at(7), Evacuated: true}})
	era := registrar.Position{Era: 1, Offset: 5}
	require.Empty(t, s.List(time.Second, era, nil))
	restarted := New()
	restarted.List(2*time.Second, era, nil)
	require.Len(t, restarted.Merge(2*time.Second, s.State()), 2, "a process that has restarted learns of it")
	next := registrar.Position{Era: 1, Offset: 6}
	s.Read(3*time.Second, era, next, []Record{{Zone: "a", Position: era, Evacuated: true}})
	require.Equal(t, []string{"a", "b"}, s.Zones())
	require.True(t, s.News(3*time.Second, restarted.State()))
	require.Empty(t, s.Expire(time.Second+EraHold-1))
	require.Equal(t, []Change{{Record{Zone: "b", Position: next}}}, s.Expire(time.Second+EraHold))
	require.Empty(t, s.Merge(time.Second+EraHold, restarted.State()), "it doesn't come back")
	require.Equal(t, []string{"a"}, s.Zones())
}

// TestEraKeepsAge guards against an evacuation that has long been in force and is taken for a new one, with time to stop, when the
// operator writes it again after the store came back without it.
func TestEraKeepsAge(t *testing.T) {
	for _, since := range []time.Duration{0, 50 * time.Second} {
		s := New()
		s.List(100*time.Second, at(9), []Record{{Zone: "a", Position: at(8), Evacuated: true, Since: since}})
		era, next := registrar.Position{Era: 1, Offset: 5}, registrar.Position{Era: 1, Offset: 6}
		s.List(101*time.Second, era, nil)
		again := Record{Zone: "a", Position: era, Evacuated: true, Since: 102 * time.Second}
		changes := s.Read(103*time.Second, era, next, []Record{again})
		require.Len(t, changes, 1)
		require.Equal(t, since, changes[0].Record.Since)
		s.Merge(104*time.Second, State{Known: true, Complete: next, Records: map[string]Record{"a": again}})
		r, _ := s.Evacuated("a")
		require.Equal(t, since, r.Since)
		end := registrar.Position{Era: 1, Offset: 8}
		s.Read(105*time.Second, next, registrar.Position{Era: 1, Offset: 7}, []Record{{Zone: "a", Position: next}})
		s.Read(106*time.Second, registrar.Position{Era: 1, Offset: 7}, end,
			[]Record{{Zone: "a", Position: registrar.Position{Era: 1, Offset: 7}, Evacuated: true, Since: 105 * time.Second}})
		r, _ = s.Evacuated("a")
		require.Equal(t, 105*time.Second, r.Since, "a new evacuation after its end")
	}
}
