package leaser

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Records in the log of the model, which checks the lease protocol exhaustively. The model abstracts time: the owner
// stops counting a promise before it expires at the guardian, so a guardian may attest as soon as its promise is not
// counted. Member 0 is the owner; members 1 to 3 can guard it. The log holds only accepted records, since a rejected
// one changes nothing.
const (
	removeFirst  = iota + 1 // the state loses member 1
	removeSecond            // the state loses member 2
	setFirst                // the owner's guardians become rules.sets[1], based on version 0
	setSecond               // the owner's guardians become rules.sets[2], based on version 0
	takeOver                // the owner is removed
)

// rules configures the model. Each boolean field that is set drops one rule of the protocol.
type rules struct {
	renewAfterAttesting   bool
	countReplaced         bool
	renewWhileLapsed      bool
	skipWaitAfterRemoval  bool
	forgetOnRestart       bool
	renewAfterLeaveAppend bool
	unguardedUntilApplied bool
	// sets are the guardian sets (bits by member): the initial one and those of the two proposals.
	sets [3]uint8
}

type modelState struct {
	log     [4]uint8
	length  uint8
	applied [4]uint8
	// counted are the promises (bits by guardian) that the owner counts.
	counted uint8
	// lapsed guardians have lost their own lease.
	lapsed uint8
	// attested holds, by member, one more than the highest version that it has attested, or zero.
	attested [4]uint8
	proposed uint8
	// pending holds appended take-overs, one bit for each version and set of attesting guardians.
	pending uint16
	// waiting and waited hold, by observer, the removed guardians whose term after the removal is running or has
	// passed. fresh holds those that have made a promise since the observer applied their removal.
	waiting, waited, fresh [4]uint8
}

// prefixState is the state after a prefix of the log.
type prefixState struct {
	version, guardians, removed uint8
	takenOver                   bool
}

func (w *modelState) stateAfter(r rules, prefix uint8) prefixState {
	v := prefixState{guardians: r.sets[0]}
	for _, record := range w.log[:prefix] {
		switch record {
		case removeFirst, removeSecond:
			v.removed |= 1 << record
		case setFirst, setSecond:
			v.version, v.guardians = 1, r.sets[record-setFirst+1]
		case takeOver:
			v.takenOver = true
		}
	}
	return v
}

// serves reports whether the owner serves.
func (w *modelState) serves(r rules) bool {
	v := w.stateAfter(r, w.applied[0])
	if v.takenOver {
		return false
	}
	serves := v.guardians == 0 || w.counted&v.guardians != 0
	if r.countReplaced || (v.guardians == 0 && r.unguardedUntilApplied) || v.version != 0 {
		return serves
	}
	for i := range uint8(2) {
		if w.proposed&(1<<i) != 0 {
			serves = serves && w.counted&r.sets[i+1] != 0
		}
	}
	return serves
}

func (w modelState) successors(r rules, visit func(modelState)) {
	if w.stateAfter(r, w.applied[0]).takenOver {
		return // The owner serves no longer in any successor.
	}
	for p := range uint8(4) {
		if w.applied[p] < w.length {
			n := w
			n.applied[p]++
			if record := w.log[w.applied[p]]; p > 0 && record <= removeSecond {
				n.waiting[p] |= 1 << record
				n.fresh[p] &^= 1 << record
			}
			visit(n)
		}
	}
	owner := w.stateAfter(r, w.applied[0])
	for i := range uint8(2) {
		if owner.version == 0 && !owner.takenOver && r.sets[i+1] != 0 {
			n := w
			n.proposed |= 1 << i
			visit(n)
		}
	}
	for g := uint8(1); g < 4; g++ {
		w.guardianSteps(r, g, owner, visit)
	}
	w.appendSteps(r, visit)
}

func (w modelState) guardianSteps(r rules, g uint8, owner prefixState, visit func(modelState)) {
	bit, own := uint8(1)<<g, w.stateAfter(r, w.applied[g])
	mayRenew := r.renewAfterAttesting || w.attested[g] < owner.version+1
	mayRenew = mayRenew && (w.lapsed&bit == 0 || r.renewWhileLapsed) && !own.takenOver && !owner.takenOver
	if mayRenew {
		n := w
		n.counted |= bit
		for p := range n.fresh {
			n.fresh[p] |= bit & n.waiting[p]
		}
		visit(n)
	}
	n := w
	n.counted &^= bit
	visit(n)
	if g <= removeSecond {
		n = w
		n.lapsed |= bit
		visit(n)
	}
	if r.forgetOnRestart {
		n = w
		n.attested[g] = 0
		visit(n)
	}
	for removed := uint8(1); removed <= removeSecond; removed++ {
		other := uint8(1) << removed
		// One term after the removal was applied, only a promise made since then can be unexpired.
		if w.waiting[g]&other != 0 && (w.counted&other == 0 || w.fresh[g]&other != 0 || r.skipWaitAfterRemoval) {
			n = w
			n.waiting[g] &^= other
			n.waited[g] |= other
			visit(n)
		}
	}
	w.attestAndAppend(r, g, own, visit)
}

func (w modelState) attestAndAppend(r rules, g uint8, own prefixState, visit func(modelState)) {
	bit := uint8(1) << g
	// A member that is not a guardian acts only as fallback, when all guardians are removed.
	if own.takenOver || own.guardians == 0 || (own.guardians&bit == 0 && own.guardians&^own.removed != 0) {
		return
	}
	if own.guardians&bit != 0 && w.counted&bit == 0 {
		w.attested[g] = max(w.attested[g], own.version+1)
		visit(w)
	}
	var attestedBy uint8
	for q := uint8(1); q < 4; q++ {
		if own.guardians&(1<<q) == 0 {
			continue
		}
		if w.attested[q] > own.version {
			attestedBy |= 1 << q
		} else if q == g || w.waited[g]&(1<<q) == 0 {
			return
		}
	}
	w.pending |= 1 << (own.version*8 + attestedBy>>1)
	visit(w)
}

func (w modelState) appendSteps(r rules, visit func(modelState)) {
	state := w.stateAfter(r, w.length)
	appendRecord := func(record uint8) {
		n := w
		n.log[n.length] = record
		n.length++
		if record == setFirst || record == setSecond {
			n.pending &^= 0xff // These take-overs name version 0 and would be rejected.
		}
		visit(n)
	}
	if state.takenOver || int(w.length) == len(w.log) {
		return
	}
	for record := uint8(removeFirst); record <= removeSecond; record++ {
		bit := uint8(1) << record
		if state.removed&bit == 0 && (w.lapsed&bit != 0 || (r.renewAfterLeaveAppend && record == removeFirst)) {
			appendRecord(record)
		}
	}
	for i := range uint8(2) {
		if w.proposed&(1<<i) != 0 && state.version == 0 && r.sets[i+1]&state.removed == 0 {
			appendRecord(setFirst + i)
		}
	}
	for attestedBy := uint8(0); attestedBy < 8; attestedBy++ {
		all := state.guardians != 0 && state.guardians&^state.removed&^(attestedBy<<1) == 0
		if w.pending&(1<<(state.version*8+attestedBy)) != 0 && all {
			appendRecord(takeOver)
		}
	}
}

// explore visits every reachable state breadth first. It returns the shortest trace to a state with two owners, or nil,
// and the number of states.
func explore(r rules) (trace []modelState, count int) {
	parents := map[modelState]modelState{{}: {}}
	queue := []modelState{{}}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		if w.stateAfter(r, w.length).takenOver && w.serves(r) {
			for w != (modelState{}) {
				trace = append([]modelState{w}, trace...)
				w = parents[w]
			}
			return trace, len(parents)
		}
		w.successors(r, func(n modelState) {
			if _, known := parents[n]; !known {
				parents[n] = w
				queue = append(queue, n)
			}
		})
	}
	return nil, len(parents)
}

// Guardian sets of the model: bits of members 1 to 3.
const (
	firstAndSecond = 1<<1 | 1<<2
	secondAndThird = 1<<2 | 1<<3
)

// TestRulesAreSufficientAndNecessary guards against rules that allow two owners, and against a rule that is not needed
// to prevent them.
func TestRulesAreSufficientAndNecessary(t *testing.T) {
	replacing := [3]uint8{firstAndSecond, secondAndThird, firstAndSecond}
	joining := [3]uint8{0, firstAndSecond, 0}
	cases := []struct {
		name  string
		rules rules
		safe  bool
	}{
		{"all rules, guardians replaced", rules{sets: replacing}, true},
		{"all rules, first guardians", rules{sets: joining}, true},
		{"renewal after attesting", rules{sets: replacing, renewAfterAttesting: true}, false},
		{"replaced guardian counted until applied", rules{sets: replacing, countReplaced: true}, false},
		{"renewal while lapsed", rules{sets: replacing, renewWhileLapsed: true}, false},
		{"no wait after a removal", rules{sets: replacing, skipWaitAfterRemoval: true}, false},
		{"restart keeps the id", rules{sets: replacing, forgetOnRestart: true}, false},
		{"renewal after the append of Leave", rules{sets: replacing, renewAfterLeaveAppend: true}, false},
		{"unguarded until applied", rules{sets: joining, unguardedUntilApplied: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			trace, count := explore(c.rules)
			t.Logf("%d states, %d steps to two owners", count, len(trace))
			require.Equal(t, c.safe, trace == nil)
		})
	}
}
