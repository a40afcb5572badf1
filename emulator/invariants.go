package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Conflict is a pair of executions that together violate a routing invariant.
type Conflict struct {
	First  Execution `json:"first"`
	Second Execution `json:"second"`
}

// Violations lists violations of the routing invariants found in a ledger.
type Violations struct {
	// Overlaps holds pairs of executions of one key that ran at the same time on two servers.
	Overlaps []Conflict `json:"overlaps"`
	// Inversions holds pairs of executions of one key where the second started later but with an older epoch.
	Inversions []Conflict `json:"inversions"`
	// Duplicates holds pairs of executions with the same idempotency key.
	Duplicates []Conflict `json:"doubled"`
	// NotRunButRan holds executions of requests that were reported to the caller as not run.
	NotRunButRan []Execution `json:"not_run_but_ran"`
}

// Empty reports whether no violation was found.
func (v Violations) Empty() bool {
	return len(v.Overlaps) == 0 && len(v.Inversions) == 0 && len(v.Duplicates) == 0 && len(v.NotRunButRan) == 0
}

// CheckInvariants checks the executions of all servers against the routing invariants. The parameter notRun lists the
// X-Request-Id of requests that were reported to their callers as not run. Ownership is checked only for executions
// that carry a range. Fenced executions had no effect and count only for NotRunButRan.
func CheckInvariants(executions []Execution, notRun []string) Violations {
	reportedNotRun := make(map[string]bool, len(notRun))
	for _, id := range notRun {
		reportedNotRun[id] = true
	}
	type scopedKey struct{ service, key string }
	byKey, byIdempotencyKey := map[scopedKey][]Execution{}, map[scopedKey][]Execution{}
	var v Violations
	for _, e := range executions {
		if e.RequestID != "" && reportedNotRun[e.RequestID] {
			v.NotRunButRan = append(v.NotRunButRan, e)
		}
		if e.Status == Fenced {
			continue
		}
		if e.Key != "" && e.Range != "" {
			k := scopedKey{e.Service, e.Key}
			byKey[k] = append(byKey[k], e)
		}
		if e.IdempotencyKey != "" {
			k := scopedKey{e.Service, e.IdempotencyKey}
			byIdempotencyKey[k] = append(byIdempotencyKey[k], e)
		}
	}
	for _, list := range byKey {
		v.checkOwnership(list)
	}
	for _, list := range byIdempotencyKey {
		for _, later := range list[1:] {
			v.Duplicates = append(v.Duplicates, Conflict{list[0], later})
		}
	}
	v.sort()
	return v
}

// checkOwnership checks the executions of one key. It compares each with the execution that ended last among the
// earlier ones on each other server, and with the earlier one of the highest epoch.
func (v *Violations) checkOwnership(executions []Execution) {
	slices.SortStableFunc(executions, func(a, b Execution) int { return cmp.Compare(a.Start, b.Start) })
	latest := map[string]Execution{}
	newest := executions[0]
	for _, e := range executions {
		for server, other := range latest {
			if server != e.Server && endTime(other) > e.Start {
				v.Overlaps = append(v.Overlaps, Conflict{other, e})
			}
		}
		if e.Epoch < newest.Epoch {
			v.Inversions = append(v.Inversions, Conflict{newest, e})
		} else {
			newest = e
		}
		if other, present := latest[e.Server]; !present || endTime(e) > endTime(other) {
			latest[e.Server] = e
		}
	}
}

// endTime returns the end of an execution, or the largest time while it runs.
func endTime(e Execution) time.Duration {
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
