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
	// DefaultMovesPerMinute is the number of moves per minute for services without placement rule.
	DefaultMovesPerMinute int
	// Cooldown is the time for which a range doesn't return to an owner that it left.
	Cooldown time.Duration
	// StabilizationWindow is the time after a member got ranges in which it gets no more for load and these don't move on, because neither
	// its own measurements nor its reported load show them yet.
	StabilizationWindow time.Duration
	// Static turns the changes for load off, as a baseline for measurements.
	Static bool
}

// Defaults and thresholds of a Planner.
const (
	DefaultMovesPerMinute     = 6
	DefaultCooldown = 30 * time.Second
	// DefaultStabilizationWindow covers the next second's count of the new owner, one whole second of requests, and the report.
	DefaultStabilizationWindow = 3 * time.Second
	// overloadRatio is the load relative to the mean from which an owner gives ranges away. It is below the aim of 1.15
	// so that the measurement error of the rates doesn't keep an owner above the aim.
	overloadRatio = 1.08
	// leastImprovement is the least decrease of the higher of the two loads by a move, relative to the mean.
	leastImprovement = 0.03
	// fillRatio is the load relative to the mean down to which an owner gives ranges away, and up to which it fills targets.
	fillRatio = 1.04
	// certainty is the number of standard deviations by which an owner's load must exceed fillRatio. Without it, a new member
	// used its moves of the first minute on the noise of its first two seconds.
	certainty = 2
	// patience is the number of plans for which an overloaded owner waits at most while its load rises. Moves by the first
	// part of a jump have to be followed by others and used up the limit.
	patience = 2
	// hotShare is the share of its owner's load that two parts of a range may have together to be merged.
	hotShare = 0.15
	// warmShare is the share above which a key's load matters for the balance.
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

// saltRecords is the number of records after which the members of a large service are grouped anew.
const saltRecords = 256

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
	// Deviation is the standard deviation of the sum of Ranges, in requests/s.
	Deviation float64
	// Keys holds the rates of the hottest own keys, highest first.
	Keys    []KeyRate
	Members map[applier.MemberID]MemberLoad
}

// Rate is the rate of all own ranges, in requests/s. Owners report it to each other, so that all of them compare loads that
// were measured in the same way.
func (l Loads) Rate() (sum float64) {
	for _, rate := range l.Ranges {
		sum += rate
	}
	return sum
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
	// moves holds the times of the moves for load of the last minute, reshapes those of the splits and merges.
	moves, reshapes []time.Duration
	history         history
	// overloaded counts the plans in a row that found the owner overloaded; rate is its load at the last of them.
	overloaded int
	rate       float64
	begun      bool
}

// NewPlanner returns a Planner of one owner.
func NewPlanner(c PlannerConfig) *Planner {
	if c.DefaultMovesPerMinute == 0 {
		c.DefaultMovesPerMinute = DefaultMovesPerMinute
	}
	if c.Cooldown <= 0 {
		c.Cooldown = DefaultCooldown
	}
	if c.StabilizationWindow <= 0 {
		c.StabilizationWindow = DefaultStabilizationWindow
	}
	return &Planner{
		config: c, known: map[applier.MemberID]bool{}, epochs: map[applier.Offset]time.Duration{},
	}
}

// Plan returns what the owner should do now. An owner outside the zones of the placement rule gives all ranges away.
// Otherwise, moves that give a new member its fair share come first; they are followed by changes for load.
// Each move for load counts against the placement rule's moves per minute, however many ranges it names. Splits and merges
// change no owner and have a limit of the same size to themselves. Moves for new
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
	old := func(t time.Duration) bool { return now-t >= time.Minute }
	p.moves, p.reshapes = slices.DeleteFunc(p.moves, old), slices.DeleteFunc(p.reshapes, old)
	if p.config.Static || !slices.Contains(v.members, v.self) {
		return nil
	}
	proposals := p.relieve(now, v, loads, limit-len(p.moves), limit-len(p.reshapes))
	if len(proposals) == 0 {
		// What reunites ranges may wait, so it leaves half of the limits to relief.
		half := (limit + 1) / 2
		if proposal := p.reunite(now, s, v, loads, half-len(p.moves), half-len(p.reshapes)); proposal != nil {
			proposals = []Proposal{proposal}
		}
	}
	p.count(now, proposals)
	return proposals
}

func (p *Planner) count(now time.Duration, proposals []Proposal) {
	for _, proposal := range proposals {
		switch proposal.(type) {
		case MoveRanges:
			p.moves = append(p.moves, now)
		case SplitRange, MergeRanges:
			p.reshapes = append(p.reshapes, now)
		}
	}
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
		return p.config.DefaultMovesPerMinute
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
	// salt is the same for all owners and changes from time to time.
	salt uint64
}

func newView(s *applier.State, self *applier.Member) *view {
	service := s.Configuration.Services[self.Service]
	v := &view{
		self: self, ranges: s.Assignments[self.Service], owned: map[applier.MemberID]int{},
		bound: splitFactor*service.InitialRanges + splitReserve, salt: uint64(s.Applied) / saltRecords,
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
	p.history.update(now, p.config.Cooldown, v.ranges, p.known)
	p.known = known
	epochs := make(map[applier.Offset]time.Duration, len(p.epochs))
	for _, a := range v.ranges {
		seen, met := p.epochs[a.Epoch]
		switch {
		case !met && !p.begun:
			// What was there before the planner counts as settled.
			seen = now - p.config.Cooldown
		case !met:
			seen = now
		}
		epochs[a.Epoch] = seen
	}
	p.epochs, p.begun = epochs, true
}
