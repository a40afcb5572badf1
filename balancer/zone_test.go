package balancer

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// zoneLoad plays requests that begin evenly in four zones, at many processes with choosers of their own, for members of which
// one zone has fewer. It returns the requests that each member got, and the share that left its zone.
func zoneLoad(slotsInFlight float64, demand map[string]int) (got map[applier.MemberID]int, far float64) {
	const (
		entries  = 72
		requests = 40_000
		slots    = 12
		service  = 250 * time.Millisecond
	)
	zones := []string{"a", "b", "c", "d"}
	var members []Candidate
	for i, zone := range []string{"a", "a", "b", "b", "c", "c", "d"} {
		members = append(members, Candidate{ID: applier.MemberID(i + 1), Zone: zone, Slots: slots, Age: time.Hour})
	}
	choosers := make([]*Chooser, entries)
	for i := range choosers {
		choosers[i] = NewChooser(ChooserConfig{Seed: uint64(i), LocalZoneBias: 0.4})
		choosers[i].SetZoneWeights(demand)
	}
	interval := time.Duration(float64(service) / (slotsInFlight * float64(slots*len(members))))
	got = map[applier.MemberID]int{}
	running := &endings{}
	inFlight := map[applier.MemberID]int{}
	for i := range requests {
		now := time.Hour + time.Duration(i)*interval
		for running.Len() > 0 && (*running)[0].at <= now {
			e := heap.Pop(running).(ending)
			inFlight[e.member]--
			choosers[e.entry].Finished(e.at, e.member, Success, service)
		}
		entry := i % entries
		zone := zones[entry%len(zones)]
		candidates := append([]Candidate(nil), members...)
		for j := range candidates {
			candidates[j].ReportedInFlight, candidates[j].ReportAge = inFlight[candidates[j].ID], time.Second
		}
		id, _ := choosers[entry].Pick(now, candidates, zone)
		choosers[entry].Started(id)
		heap.Push(running, ending{at: now + service, member: id, entry: entry})
		inFlight[id]++
		got[id]++
		if members[id-1].Zone != zone {
			far += 1.0 / requests
		}
	}
	return got, far
}

type ending struct {
	at     time.Duration
	member applier.MemberID
	entry  int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func busiest(got map[applier.MemberID]int) float64 {
	most, sum := 0, 0
	for _, n := range got {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(got)) / float64(sum)
}

// TestZoneWithFewMembers guards against one member that gets all requests of its zone although the members of others have room:
// with many callers each sees too little of it in flight to look further.
func TestZoneWithFewMembers(t *testing.T) {
	even := map[string]int{"a": 18, "b": 18, "c": 18, "d": 18}
	for _, load := range []float64{0.6, 0.75, 0.9} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			got, _ := zoneLoad(load, nil)
			require.Greater(t, load*busiest(got), 1.0, "without weights the pattern is there")
			got, far := zoneLoad(load, even)
			require.Less(t, load*busiest(got), 1.0, "a member gets more than its slots can do while others have room")
			require.Less(t, far, 0.16, "only what the zone can't take leaves it")
		})
	}
}
