package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Conflict is two executions that must not both exist as they are.
type Conflict struct {
	First  Execution `json:"first"`
	Second Execution `json:"second"`
}

// Violations lists violations of the routing invariants found in a ledger.
type Violations struct {
	// Overlaps holds executions of one key that ran at the same time on two servers.
	Overlaps []Conflict `json:"overlaps"`
	// Inversions holds executions of one key where the second started later but with an older epoch.
	Inversions []Conflict `json:"inversions"`
	// Duplicates holds executions of one idempotency key that ran more than once.
	Duplicates []Conflict `json:"doubled"`
	// NotRunButRan holds executions whose caller was told that they were not run.
	NotRunButRan []Execution `json:"not_run_but_ran"`
}

// Empty reports whether no violation was found.
func (v Violations) Empty() bool {
	return len(v.Overlaps) == 0 && len(v.Inversions) == 0 && len(v.Duplicates) == 0 && len(v.NotRunButRan) == 0
}

// CheckInvariants checks the executions of all servers against the routing invariants. NotRun lists the X-Request-Id of requests
// whose callers were told that they were not run. Ownership is judged for executions that carry a range. Executions that
// were fenced had no effect; they count only as executions of a request that was told not run.
func CheckInvariants(executions []Execution, notRun []string) Violations {
	refused := make(map[string]bool, len(notRun))
	for _, id := range notRun {
		refused[id] = true
	}
	type name struct{ service, key string }
	keyed, once := map[name][]Execution{}, map[name][]Execution{}
	var v Violations
	for _, e := range executions {
		if e.RequestID != "" && refused[e.RequestID] {
			v.NotRunButRan = append(v.NotRunButRan, e)
		}
		if e.Status == Fenced {
			continue
		}
		if e.Key != "" && e.Range != "" {
			n := name{e.Service, e.Key}
			keyed[n] = append(keyed[n], e)
		}
		if e.IdempotencyKey != "" {
			n := name{e.Service, e.IdempotencyKey}
			once[n] = append(once[n], e)
		}
	}
	for _, list := range keyed {
		v.judgeOwners(list)
	}
	for _, list := range once {
		for _, later := range list[1:] {
			v.Duplicates = append(v.Duplicates, Conflict{list[0], later})
		}
	}
	v.sort()
	return v
}

// judgeOwners compares each execution of a key with the one before it that ended last on another server, and with the
// one of the highest epoch.
func (v *Violations) judgeOwners(list []Execution) {
	slices.SortStableFunc(list, func(a, b Execution) int { return cmp.Compare(a.Start, b.Start) })
	latest := map[string]Execution{}
	newest := list[0]
	for _, e := range list {
		for server, other := range latest {
			if server != e.Server && end(other) > e.Start {
				v.Overlaps = append(v.Overlaps, Conflict{other, e})
			}
		}
		if e.Epoch < newest.Epoch {
			v.Inversions = append(v.Inversions, Conflict{newest, e})
		} else {
			newest = e
		}
		if other, present := latest[e.Server]; !present || end(e) > end(other) {
			latest[e.Server] = e
		}
	}
}

// end returns the end of an execution, or the end of time while it runs.
func end(e Execution) time.Duration {
	if e.Status == Running {
		return math.MaxInt64
	}
	return e.End
}

func (v *Violations) sort() {
	byStart := func(a, b Conflict) int { return cmp.Compare(a.Second.Start, b.Second.Start) }
	slices.SortFunc(v.Overlaps, byStart)
	slices.SortFunc(v.Inversions, byStart)
	slices.SortFunc(v.Duplicates, byStart)
}
