package assigner

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a process of the service with its backend server, as described by its own record in the store.
type Candidate struct {
	Owner Owner
	// Usable means that the server accepts new keys: it is ready, and neither it nor the process is shutting down.
	Usable bool
	// Ended means that the process knows that the incarnation of the server has ended or that all its grants have
	// expired.
	Ended bool
	// Leaving means that the server or the process is shutting down for good, so that its slices should move.
	Leaving bool
	// Evacuated means that the member is in an evacuated availability zone. Its slices move like those of a leaving one, but not
	// those of all such members at once.
	Evacuated bool
	// Returning means that the evacuation ended a short time ago, so that the member gets only some slices, and Restored that it
	// ended before that, so that the member gets the rest.
	Returning, Restored bool
	// Unreachable means that the planning process cannot reach the member at present.
	Unreachable bool
	// Cold means that the server is cold while others are warm and have room, so that it gets keys after them.
	Cold bool
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Service    string
	Candidates []Candidate
	// SuspectedFor returns the time since this process first read a suspicion, or zero if it has not read it.
	SuspectedFor func(Suspicion) time.Duration
	// LeaseTerm is the time from the first read of a suspicion until all grants of the suspect have expired.
	LeaseTerm time.Duration
	// Era is the era of the store.
	Era uint64
}

// Limits on the number of slices.
const (
	// slicesPerOwner is the number of slices of each owner in an even distribution.
	slicesPerOwner = 180
	minSlices      = 64
	maxSlices      = 10_000
)

// sliceCount returns the number of slices for a number of owners. All slices but the last have the same number of keys.
func sliceCount(owners int) int {
	n := min(max(owners*slicesPerOwner, minSlices), maxSlices)
	width := (KeyCount + n - 1) / n
	return (KeyCount + width - 1) / width
}

// Plan returns the next table, or nil if the current one needs no change. A nil table means that the service has none
// yet.
func Plan(t *Table, in PlanInput) *Table {
	usable := usableOwners(t, in)
	if t == nil {
		return initialTable(in, usable)
	}
	if t.Settling || t.Era != in.Era {
		return nil
	}
	p := planner{table: t.Clone(), input: in, usable: usable}
	p.clearInvalid()
	p.assignUnowned()
	p.planMoves()
	if !p.changed {
		return nil
	}
	p.table.removeUnusedOwners()
	p.table.Suspects = slices.DeleteFunc(p.table.Suspects, func(s Suspicion) bool {
		return !slices.ContainsFunc(p.table.Owners, func(o Owner) bool { return o.Member == s.Member })
	})
	return p.table
}

func usableOwners(t *Table, in PlanInput) []Owner {
	var owners []Owner
	for _, c := range in.Candidates {
		if c.Usable && !c.Unreachable && (t == nil || !t.Suspected(c.Owner.Member)) {
			owners = append(owners, c.Owner)
		}
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Member, b.Member) })
	return owners
}

// initialTable assigns the slices round-robin, so that neighbouring slices have different owners.
// Behind an era there may be a table that the store has lost, so the first one of a later era settles.
func initialTable(in PlanInput, owners []Owner) *Table {
	if len(owners) == 0 {
		return nil
	}
	t := &Table{Service: in.Service, Slices: make([]Slice, sliceCount(len(owners))), LastToken: 1}
	for i := range t.Slices {
		t.Slices[i] = Slice{Owner: t.ownerIndex(owners[i%len(owners)]), Token: 1}
	}
	if in.Era != 0 {
		for i := range t.Slices {
			t.Slices[i].Token = 0
		}
		return Open(t, in.Era)
	}
	return t
}

type planner struct {
	table   *Table
	input   PlanInput
	usable  []Owner
	changed bool
}

func (p *planner) candidate(member string) (Candidate, bool) {
	i := slices.IndexFunc(p.input.Candidates, func(c Candidate) bool { return c.Owner.Member == member })
	if i < 0 {
		return Candidate{}, false
	}
	return p.input.Candidates[i], true
}

// clearInvalid removes owners whose grants have certainly expired, and targets that are not usable.
func (p *planner) clearInvalid() {
	ended := make([]bool, len(p.table.Owners)+1)
	for i, o := range p.table.Owners {
		ended[i+1] = p.lapsed(o)
	}
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if s.Owner != 0 && ended[s.Owner] {
			*s = Slice{Token: s.Token}
			p.changed = true
		}
		if target, found := p.table.TargetOf(i); found && p.unusable(target) {
			s.Target = 0
			p.changed = true
		}
	}
}

// lapsed reports whether all grants of an owner have expired: its incarnation has ended, or it has been suspected for
// more than a lease term.
func (p *planner) lapsed(o Owner) bool {
	c, known := p.candidate(o.Member)
	if known && (c.Owner.Incarnation != o.Incarnation || c.Ended) {
		return true
	}
	for _, s := range p.table.Suspects {
		if s.Member == o.Member && p.input.SuspectedFor(s) > p.input.LeaseTerm {
			return true
		}
	}
	return false
}

func (p *planner) unusable(o Owner) bool {
	return !slices.Contains(p.usable, o)
}

// assignUnowned assigns each slice without owner to the usable owner with the fewest slices. When few owners remain, it
// assigns neighbouring slices to the same owner, so that the grants of an owner still fit into one heartbeat response.
func (p *planner) assignUnowned() {
	if len(p.usable) == 0 {
		return
	}
	count := p.table.SliceCounts()
	fairShare := len(p.table.Slices)/len(p.usable) + 1
	assigned := map[Owner][]int{}
	var previous Owner
	for i, s := range p.table.Slices {
		to, found := p.table.OwnerOf(i)
		if s.Owner == 0 {
			to, found = p.fewestSlices(count), true
			if fairShare > p.table.maxGrants() && slices.Contains(p.usable, previous) && count[previous] < fairShare {
				to = previous
			}
			assigned[to] = append(assigned[to], i)
			count[to]++
		}
		previous = Owner{}
		if found {
			previous = to
		}
	}
	for _, o := range p.usable {
		p.table.assign(o, assigned[o])
		p.changed = p.changed || len(assigned[o]) > 0
	}
	p.mergeGrants()
}

// mergeGrants issues a common token for all slices of an owner that has more grants than a heartbeat response holds, so
// that neighbouring slices merge into one grant.
func (p *planner) mergeGrants() {
	for _, o := range p.usable {
		grantCount, list := 0, []int(nil)
		last := Slice{}
		for i, s := range p.table.Slices {
			if sliceOwner, found := p.table.OwnerOf(i); !found || sliceOwner != o || s.Target != 0 {
				last = Slice{}
				continue
			}
			list = append(list, i)
			if s.Token != last.Token {
				grantCount++
			}
			last = s
		}
		if grantCount > p.table.maxGrants() && runs(list) < grantCount {
			p.table.assign(o, list)
			p.changed = true
		}
	}
}

// runs returns the number of groups of neighbouring slices in a list in ascending order.
func runs(list []int) int {
	n := 0
	for i := range list {
		if i == 0 || list[i] != list[i-1]+1 {
			n++
		}
	}
	return n
}

// fewestSlices returns the usable owner with the fewest slices. Cold ones come last.
func (p *planner) fewestSlices(count map[Owner]int) Owner {
	weighted := func(o Owner) int {
		if p.cold(o) {
			return count[o] + len(p.table.Slices)
		}
		return count[o]
	}
	return slices.MinFunc(p.usable, func(a, b Owner) int { return cmp.Compare(weighted(a), weighted(b)) })
}

// planMoves sets targets for all slices of leaving owners, and for enough slices of other owners that a new owner gets
// its share.
func (p *planner) planMoves() {
	if len(p.usable) == 0 {
		return
	}
	count := p.table.SliceCounts()
	moving := 0
	for _, s := range p.table.Slices {
		if s.Target != 0 {
			moving++
		}
	}
	for _, o := range slices.Clone(p.table.Owners) {
		c, known := p.candidate(o.Member)
		if !known || c.Owner.Incarnation != o.Incarnation {
			continue
		}
		if c.Leaving || c.Evacuated && moving < len(p.table.Slices)/evacuationDivisor {
			moving += p.moveAll(o, count)
		}
	}
	p.planNewOwnerMoves(count)
}

// cold reports whether an owner's server is cold.
func (p *planner) cold(o Owner) bool {
	c, known := p.candidate(o.Member)
	return known && c.Cold && c.Owner == o
}

// evacuationDivisor bounds the slices that move at once because of an evacuation, as a divisor of all slices. Each owner that
// hands slices over changes the table, and slices aren't served while they move.
const evacuationDivisor = 4

// moveAll sets targets for all slices of an owner and returns their number. If the others get more slices than fit into the
// grants of an owner, the slices join their neighbours.
func (p *planner) moveAll(o Owner, count map[Owner]int) int {
	moved, fairShare := 0, len(p.table.Slices)/len(p.usable)+1
	var previous Owner
	for i, s := range p.table.Slices {
		if owner, found := p.table.OwnerOf(i); found && owner == o && s.Target == 0 {
			to := p.fewestSlices(count)
			if fairShare > slicesPerOwner && slices.Contains(p.usable, previous) && count[previous] < fairShare {
				to = previous
			}
			p.setTarget(i, to, count)
			moved++
		}
		previous, _ = p.table.OwnerOf(i)
		if target, found := p.table.TargetOf(i); found {
			previous = target
		}
	}
	return moved
}

func (p *planner) setTarget(slice int, to Owner, count map[Owner]int) {
	from, _ := p.table.OwnerOf(slice)
	count[from]--
	count[to]++
	p.table.Slices[slice].Target = p.table.ownerIndex(to)
	p.changed = true
}

// newOwnerShare is the fraction of the fair share below which an owner counts as new and receives slices. The slice
// counts of owners above it result from balancing by load.
const newOwnerShare = 0.1

func (p *planner) planNewOwnerMoves(count map[Owner]int) {
	fairShare := len(p.table.Slices) / len(p.usable)
	for _, o := range p.usable {
		c, _ := p.candidate(o.Member)
		share, least := fairShare, newOwnerShare
		switch {
		case c.Returning:
			share /= returningDivisor
		case c.Restored:
			least = restoredShare
		}
		if float64(count[o]) >= least*float64(fairShare) || p.cold(o) {
			continue
		}
		// The step size scatters the slices of the new owner over the keys.
		n := len(p.table.Slices)
		for j, i := 0, 0; count[o] < share && j < n; j, i = j+1, (i+fillStep)%n {
			from, found := p.table.OwnerOf(i)
			if found && p.table.Slices[i].Target == 0 && from != o && count[from] > fairShare {
				p.setTarget(i, o, count)
			}
		}
	}
}

const (
	// returningDivisor is the part of the fair share that an owner gets back at once after an evacuation, as a divisor.
	returningDivisor = 6
	// restoredShare is the fraction of the fair share up to which an owner gets back slices after that. Balancing by load gives
	// it the rest.
	restoredShare = 0.7
)

// fillStep is a prime larger than maxSlices, so that stepping by it modulo the number of slices visits every slice.
const fillStep = 10_007
