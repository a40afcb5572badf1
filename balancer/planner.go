package balancer

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// PlannerConfig configures a Planner. Zero fields take the defaults.
type PlannerConfig struct {
	// DefaultMoves is the number of moves per minute for services without placement rule.
	DefaultMoves int
	// Residence is the time that a range stays with an owner before it may move for load.
	Residence time.Duration
	// Settle is the time after a member got ranges in which it gets no more for load, because its reported load doesn't
	// show them yet.
	Settle time.Duration
	// Static turns the changes for load off, as a baseline for measurements.
	Static bool
}

// Defaults and thresholds of a Planner.
const (
	DefaultMoves     = 6
	DefaultResidence = 30 * time.Second
	DefaultSettle    = 10 * time.Second
	// overloadRatio is the load relative to the mean from which an owner gives ranges away. It is below the aim of 1.15
	// so that the measurement error of the rates doesn't keep an owner above the aim.
	overloadRatio = 1.08
	// leastImprovement is the least decrease of the higher of the two loads by a move, relative to the mean.
	leastImprovement = 0.03
	// hotShare is the share of its owner's load from which a key is isolated.
	hotShare = 0.15
	// warmShare is the share from which a key is isolated when no whole range can move with an improvement.
	warmShare = 0.03
	// maxRanges bounds the ranges of one move for load, so that the hand-over stays short.
	maxRanges = 16
	// leastRate is the mean rate per member, in requests/s, below which loads are too uncertain to act on.
	leastRate = 5
	// staleLoad is the age at which a reported load is no longer used.
	staleLoad = 10 * time.Second
	// splitFactor and splitReserve bound the ranges of a service: no split is planned beyond splitFactor times the initial
	// ranges and splitReserve. Keys that have cooled down are merged again, so the bound limits the keys that are hot at once.
	splitFactor  = 4
	splitReserve = 64
)

// MemberLoad is the load of another member as it reported it.
type MemberLoad struct {
	// Rate is in requests/s.
	Rate float64
	Age  time.Duration
}

// Loads is what an owner knows of the load of its service.
type Loads struct {
	// Ranges holds the rates of the own ranges, in requests/s.
	Ranges map[hasher.Range]float64
	// Keys holds the rates of the hottest own keys, highest first.
	Keys    []KeyRate
	Members map[applier.MemberID]MemberLoad
}

// Proposal is a change that an owner should make. The types of this package that implement it are the only ones.
type Proposal interface{ proposal() }

// MoveRanges asks for a planned move, which ends in the record.
type MoveRanges struct{ Move applier.Move }

// SplitRange asks for a split of a range. The owner stays the same.
type SplitRange struct{ Split applier.Split }

func (MoveRanges) proposal()  {}
func (SplitRange) proposal()  {}
func (MergeRanges) proposal() {}

// MergeRanges asks for the merge of two ranges of the owner.
type MergeRanges struct{ Merge applier.Merge }

// Planner decides which of its own ranges an owner hands to other members. All owners decide on the same state by the
// same rules, so that they don't fill one target twice. The caller plans again after each applied record and at least
// every few seconds, but not while earlier proposals of this owner are undecided.
type Planner struct {
	config PlannerConfig
	// known tells for each member of the service whether it has had its share of ranges since it joined.
	known map[applier.MemberID]bool
	// epochs holds the time at which each epoch was first seen.
	epochs map[applier.Offset]time.Duration
	// moves holds the times of the proposals of the last minute.
	moves []time.Duration
	begun bool
}

// NewPlanner returns a Planner of one owner.
func NewPlanner(c PlannerConfig) *Planner {
	if c.DefaultMoves == 0 {
		c.DefaultMoves = DefaultMoves
	}
	if c.Residence <= 0 {
		c.Residence = DefaultResidence
	}
	if c.Settle <= 0 {
		c.Settle = DefaultSettle
	}
	return &Planner{
		config: c, known: map[applier.MemberID]bool{}, epochs: map[applier.Offset]time.Duration{},
	}
}

// Plan returns what the owner should do now. An owner outside the zones of the placement rule gives all ranges away.
// Otherwise, moves that give a new member its fair share come first; they are followed by at most one change for load.
// Each change for load counts against the placement rule's moves per minute, however many ranges it names. Moves for new
// members and out of a zone don't count: there are no more of them than the change of members or of the rule demands, and
// with a limit of one a new cluster of five members took minutes to spread. A limit of zero turns all of them off, so that
// operators place new members by hand.
func (p *Planner) Plan(now time.Duration, s *applier.State, self applier.MemberID, loads Loads) []Proposal {
	member, present := s.Members[self]
	if !present || s.Configuration == nil || len(s.Assignments[member.Service]) == 0 {
		return nil
	}
	v := newView(s, member)
	p.remember(now, v)
	if member.Status != applier.Active {
		return nil
	}
	limit := p.limit(s, member.Service)
	if limit <= 0 {
		return nil
	}
	if proposals := p.place(s, v, loads); len(proposals) > 0 {
		return proposals
	}
	p.moves = slices.DeleteFunc(p.moves, func(t time.Duration) bool { return now-t >= time.Minute })
	if p.config.Static || len(p.moves) >= limit || !slices.Contains(v.members, v.self) {
		return nil
	}
	proposal := p.relieve(now, v, loads)
	if proposal == nil {
		proposal = p.reunite(now, s, v, loads)
	}
	if proposal == nil {
		return nil
	}
	p.moves = append(p.moves, now)
	return []Proposal{proposal}
}

// place returns the moves that the members and the placement rule demand whatever the load is.
func (p *Planner) place(s *applier.State, v *view, loads Loads) (proposals []Proposal) {
	if !slices.Contains(v.members, v.self) {
		for _, m := range Evacuate(s, v.self.ID) {
			proposals = append(proposals, m)
		}
		return proposals
	}
	return p.fill(v, loads)
}

func (p *Planner) limit(s *applier.State, service string) int {
	placement, named := s.Configuration.Placements[s.Configuration.Services[service].Placement]
	if !named {
		return p.config.DefaultMoves
	}
	return placement.MaxMovesPerMinute
}

// view is the part of the state that concerns the owner's service.
type view struct {
	self    *applier.Member
	members []*applier.Member // that may own ranges, in order of joining
	ranges  []applier.Assignment
	owned   map[applier.MemberID]int
	bound   int // of ranges, for splits
}

func newView(s *applier.State, self *applier.Member) *view {
	service := s.Configuration.Services[self.Service]
	v := &view{
		self: self, ranges: s.Assignments[self.Service], owned: map[applier.MemberID]int{},
		bound: splitFactor*service.InitialRanges + splitReserve,
	}
	zones := s.Configuration.Placements[service.Placement].Zones
	members := slices.DeleteFunc(s.MembersOf(self.Service), func(m *applier.Member) bool { return m.Status != applier.Active })
	for _, m := range members {
		if slices.Contains(zones, m.Zone) {
			v.members = append(v.members, m)
		}
	}
	if len(v.members) == 0 {
		v.members = members
	}
	slices.SortFunc(v.members, func(x, y *applier.Member) int { return cmp.Compare(x.Joined, y.Joined) })
	for _, a := range v.ranges {
		v.owned[a.Owner]++
	}
	return v
}

// fair is the number of ranges that every member has at least when ranges are spread evenly.
func (v *view) fair() int { return len(v.ranges) / max(len(v.members), 1) }

// remember updates what the planner knows of members and epochs. A member is new until it has had its fair share once;
// afterwards it may own fewer ranges because they carry more load. Members that a planner meets first with half of
// their share are taken as settled.
func (p *Planner) remember(now time.Duration, v *view) {
	known := make(map[applier.MemberID]bool, len(v.members))
	for _, m := range v.members {
		settled, met := p.known[m.ID]
		count := v.owned[m.ID]
		known[m.ID] = count >= v.fair() || count > 0 && (settled || !met && 2*count >= v.fair())
	}
	p.known = known
	epochs := make(map[applier.Offset]time.Duration, len(p.epochs))
	for _, a := range v.ranges {
		seen, met := p.epochs[a.Epoch]
		switch {
		case !met && !p.begun:
			// What was there before the planner counts as settled.
			seen = now - p.config.Residence
		case !met:
			seen = now
		}
		epochs[a.Epoch] = seen
	}
	p.epochs, p.begun = epochs, true
}
