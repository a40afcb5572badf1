package balancer

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// zoneLoad simulates requests that originate evenly in four zones, at many processes with a Chooser each. One zone has
// fewer members than the others. The utilization is the mean share of slots in use. It returns the requests of each
// member, and the share of requests that left their zone.
func zoneLoad(utilization float64, weights map[string]int) (requestsOf map[applier.MemberID]int, remoteShare float64) {
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
		choosers[i].SetZoneWeights(weights)
	}
	interval := time.Duration(float64(service) / (utilization * float64(slots*len(members))))
	requestsOf = map[applier.MemberID]int{}
	running := &completionHeap{}
	inFlight := map[applier.MemberID]int{}
	for i := range requests {
		now := time.Hour + time.Duration(i)*interval
		for running.Len() > 0 && (*running)[0].at <= now {
			e := heap.Pop(running).(completion)
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
		heap.Push(running, completion{at: now + service, member: id, entry: entry})
		inFlight[id]++
		requestsOf[id]++
		if members[id-1].Zone != zone {
			remoteShare += 1.0 / requests
		}
	}
	return requestsOf, remoteShare
}

type completion struct {
	at     time.Duration
	member applier.MemberID
	entry  int
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func imbalanceOf(requestsOf map[applier.MemberID]int) float64 {
	most, sum := 0, 0
	for _, n := range requestsOf {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(requestsOf)) / float64(sum)
}

// TestZoneWithFewMembers guards against a member that gets all requests of its zone although members of other zones
// have free slots: with many callers, each sees too few requests in flight there to choose another zone.
func TestZoneWithFewMembers(t *testing.T) {
	even := map[string]int{"a": 18, "b": 18, "c": 18, "d": 18}
	for _, load := range []float64{0.6, 0.75, 0.9} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			requestsOf, _ := zoneLoad(load, nil)
			require.Greater(t, load*imbalanceOf(requestsOf), 1.0, "without weights, one member is overloaded")
			requestsOf, remoteShare := zoneLoad(load, even)
			require.Less(t, load*imbalanceOf(requestsOf), 1.0, "a member gets more requests than its slots can serve")
			require.Less(t, remoteShare, 0.16, "only requests beyond the zone's capacity may leave it")
		})
	}
}
