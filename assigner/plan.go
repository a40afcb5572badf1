package assigner

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a process of the service with the backend server beside it, as its own record in the store says.
type Candidate struct {
	Owner Owner
	// Usable means that the server takes new keys: it is ready, and neither it nor the process is leaving.
	Usable bool
	// Ended means that the process knows that the server's incarnation has ended or that all its grants have lapsed.
	Ended bool
	// Leaving means that the server or the process will go for good, so that its slices should move.
	Leaving bool
	// Unreachable means that the planning process itself can't reach the member at present.
	Unreachable bool
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Service    string
	Candidates []Candidate
	// SuspectedFor returns the time since this process read the suspicion of a member, or zero.
	SuspectedFor func(Suspicion) time.Duration
	// LeaseTerm is the time after a suspicion after which no grant of the suspect holds.
	LeaseTerm time.Duration
}

// Size of the division of the keys.
const (
	// slicesPerOwner is the number of slices of an owner when all have as many.
	slicesPerOwner = 180
	// maxPerOwner keeps the grants of one owner in one answer to a heartbeat, which carries at most 4 KiB.
	maxPerOwner = 320
	minSlices   = 64
	maxSlices   = 10_000
)

// divide returns the number of slices for a number of owners. All but the last have the same number of keys.
func divide(owners int) int {
	n := min(max(owners*slicesPerOwner, minSlices), maxSlices)
	width := (KeyCount + n - 1) / n
	return (KeyCount + width - 1) / width
}

// Plan returns the next table, or nil when the present one can stay. A nil table means that the service has none yet.
func Plan(t *Table, v PlanInput) *Table {
	usable := usableOwners(t, v)
	if t == nil {
		return initial(v.Service, usable)
	}
	p := planner{table: t.Clone(), view: v, usable: usable}
	p.free()
	p.place()
	p.replan()
	if !p.changed {
		return nil
	}
	p.table.compact()
	p.table.Suspects = slices.DeleteFunc(p.table.Suspects, func(s Suspicion) bool {
		return !slices.ContainsFunc(p.table.Owners, func(o Owner) bool { return o.Member == s.Member })
	})
	return p.table
}

func usableOwners(t *Table, v PlanInput) []Owner {
	var owners []Owner
	for _, c := range v.Candidates {
		if c.Usable && !c.Unreachable && (t == nil || !t.Suspected(c.Owner.Member)) {
			owners = append(owners, c.Owner)
		}
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Member, b.Member) })
	return owners
}

// initial deals the slices out in turn, so that neighbouring slices have different owners.
func initial(service string, owners []Owner) *Table {
	if len(owners) == 0 {
		return nil
	}
	t := &Table{Service: service, Slices: make([]Slice, divide(len(owners))), LastToken: 1}
	for i := range t.Slices {
		t.Slices[i] = Slice{Owner: t.index(owners[i%len(owners)]), Token: 1}
	}
	return t
}

type planner struct {
	table   *Table
	view    PlanInput
	usable  []Owner
	changed bool
}

func (p *planner) candidate(member string) (Candidate, bool) {
	i := slices.IndexFunc(p.view.Candidates, func(c Candidate) bool { return c.Owner.Member == member })
	if i < 0 {
		return Candidate{}, false
	}
	return p.view.Candidates[i], true
}

// free takes slices from owners of which it is certain that no grant holds any more.
func (p *planner) free() {
	gone := make([]bool, len(p.table.Owners)+1)
	for i, o := range p.table.Owners {
		gone[i+1] = p.lapsed(o)
	}
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if s.Owner != 0 && gone[s.Owner] {
			*s = Slice{Token: s.Token}
			p.changed = true
		}
		if target, found := p.table.TargetOf(i); found && p.unfit(target) {
			s.Target = 0
			p.changed = true
		}
	}
}

// lapsed reports whether no grant of an owner can hold: its incarnation has ended, or it was suspected for a whole lease term.
func (p *planner) lapsed(o Owner) bool {
	c, known := p.candidate(o.Member)
	if known && (c.Owner.Incarnation != o.Incarnation || c.Ended) {
		return true
	}
	for _, s := range p.table.Suspects {
		if s.Member == o.Member && p.view.SuspectedFor(s) > p.view.LeaseTerm {
			return true
		}
	}
	return false
}

func (p *planner) unfit(o Owner) bool {
	return !slices.Contains(p.usable, o)
}

// place gives slices without owner to the usable owners that have fewest. When few owners are left, neighbouring slices go
// to one owner, so that its grants still fit into one answer to a heartbeat.
func (p *planner) place() {
	if len(p.usable) == 0 {
		return
	}
	count := p.table.SliceCounts()
	fair := len(p.table.Slices)/len(p.usable) + 1
	gifts := map[Owner][]int{}
	var left Owner
	for i, s := range p.table.Slices {
		to, found := p.table.OwnerOf(i)
		if s.Owner == 0 {
			to, found = p.least(count), true
			if fair > slicesPerOwner && slices.Contains(p.usable, left) && count[left] < fair {
				to = left
			}
			gifts[to] = append(gifts[to], i)
			count[to]++
		}
		left = Owner{}
		if found {
			left = to
		}
	}
	for _, o := range p.usable {
		p.table.give(o, gifts[o])
		p.changed = p.changed || len(gifts[o]) > 0
	}
	p.join()
}

// join renews the token of all slices of an owner that has more grants than an answer holds, so that neighbours become one.
func (p *planner) join() {
	for _, o := range p.usable {
		runs, list := 0, []int(nil)
		last := Slice{}
		for i, s := range p.table.Slices {
			if have, found := p.table.OwnerOf(i); !found || have != o || s.Target != 0 {
				last = Slice{}
				continue
			}
			list = append(list, i)
			if s.Token != last.Token {
				runs++
			}
			last = s
		}
		if runs > maxPerOwner {
			p.table.give(o, list)
			p.changed = true
		}
	}
}

// least returns the usable owner with the fewest slices.
func (p *planner) least(count map[Owner]int) Owner {
	return slices.MinFunc(p.usable, func(a, b Owner) int { return cmp.Compare(count[a], count[b]) })
}

// replan marks slices of leaving owners with a target, and enough slices of others that a newcomer gets its share.
func (p *planner) replan() {
	if len(p.usable) == 0 {
		return
	}
	count := p.table.SliceCounts()
	for i, s := range p.table.Slices {
		o, found := p.table.OwnerOf(i)
		if !found || s.Target != 0 {
			continue
		}
		if c, known := p.candidate(o.Member); known && c.Leaving && c.Owner.Incarnation == o.Incarnation {
			p.mark(i, p.least(count), count)
		}
	}
	p.fill(count)
}

func (p *planner) mark(slice int, to Owner, count map[Owner]int) {
	from, _ := p.table.OwnerOf(slice)
	count[from]--
	count[to]++
	p.table.Slices[slice].Target = p.table.index(to)
	p.changed = true
}

// newcomerShare is the part of the fair share below which an owner counts as new and is given slices. Owners above it got
// their share by load.
const newcomerShare = 0.1

func (p *planner) fill(count map[Owner]int) {
	fair := len(p.table.Slices) / len(p.usable)
	for _, o := range p.usable {
		if float64(count[o]) >= newcomerShare*float64(fair) {
			continue
		}
		// The steps scatter the newcomer's slices over the keys.
		n := len(p.table.Slices)
		for j, i := 0, 0; count[o] < fair && j < n; j, i = j+1, (i+fillStep)%n {
			from, found := p.table.OwnerOf(i)
			if found && p.table.Slices[i].Target == 0 && from != o && count[from] > fair {
				p.mark(i, o, count)
			}
		}
	}
}

// fillStep is a prime that no number of slices is a multiple of.
const fillStep = 10_007
