package balancer

import (
	"cmp"
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/hasher"
)

// PlannerConfig configures a Planner. Zero fields select the defaults.
type PlannerConfig struct {
	// DefaultMovesPerMinute is the number of moves per minute for services without a placement rule.
	DefaultMovesPerMinute int
	// Cooldown is the time for which a range doesn't return to a former owner.
	Cooldown time.Duration
	// StabilizationWindow is the time after a member received ranges during which it receives no more for load, and
	// these ranges don't move on. Until then neither its own measurements nor its reported load include them.
	StabilizationWindow time.Duration
	// Static disables the changes that balance load, as a baseline for measurements.
	Static bool
}

// Defaults and thresholds of a Planner.
const (
	DefaultMovesPerMinute = 6
	DefaultCooldown       = 30 * time.Second
	// DefaultStabilizationWindow covers the rest of the current second, one whole second of requests at the new owner,
	// and its next load report.
	DefaultStabilizationWindow = 3 * time.Second
	// overloadRatio is the load relative to the mean from which an owner moves ranges away. It is below the target of
	// 1.15, so that measurement errors of the rates don't keep an owner above the target.
	overloadRatio = 1.08
	// minImprovement is the least decrease of the higher of the two loads that justifies a move, relative to the mean.
	minImprovement = 0.03
	// fillRatio is the load relative to the mean down to which an owner moves ranges away, and up to which targets
	// receive ranges.
	fillRatio = 1.04
	// overloadDeviations is the number of standard deviations by which an owner's load must exceed fillRatio. Without
	// this margin, a new member spent its moves of the first minute on the noise of its first two seconds.
	overloadDeviations = 2
	// maxDelayedPlans is the largest number of plans that an overloaded owner skips while its load rises. Moves
	// planned from the first part of a jump needed further moves later and used up the limit.
	maxDelayedPlans = 2
	// maxMergedShare is the largest share of its owner's load that a merged range may have.
	maxMergedShare = 0.15
	// warmShare is the share of its owner's load above which a key matters for the balance.
	warmShare = 0.03
	// maxRangesPerMove limits the ranges of one move for load, so that the hand-over stays short.
	maxRangesPerMove = 16
	// minRate is the mean rate per member, in requests/s, below which measured loads are too uncertain to act on.
	minRate = 5
	// maxLoadAge is the age from which a reported load is ignored.
	maxLoadAge = 10 * time.Second
	// splitFactor and splitReserve limit the ranges of a service: no split is planned beyond splitFactor times the
	// initial ranges plus splitReserve. Ranges of keys that have cooled down are merged again, so this limits the keys
	// that are hot at the same time.
	splitFactor  = 4
	splitReserve = 64
)

// saltRecords is the number of log records after which the members of a large service are assigned to new groups.
const saltRecords = 256

// MemberLoad is the load that another member reported.
type MemberLoad struct {
	// Rate is in requests/s.
	Rate float64
	Age  time.Duration
}

// Loads holds an owner's measurements and the reports of the other members of its service.
type Loads struct {
	// Ranges holds the rates of the owner's ranges, in requests/s.
	Ranges map[hasher.Range]float64
	// Deviation is the standard deviation of the sum of Ranges, in requests/s.
	Deviation float64
	// Keys holds the rates of the owner's hottest keys, highest first.
	Keys    []KeyRate
	Members map[applier.MemberID]MemberLoad
}

// Rate returns the rate of all ranges of the owner, in requests/s. Owners report this value to each other, so that all
// of them compare loads that were measured in the same way.
func (l Loads) Rate() (sum float64) {
	for _, rate := range l.Ranges {
		sum += rate
	}
	return sum
}

// Proposal is a change that the owner should make: MoveRanges, SplitRange or MergeRanges.
type Proposal interface{ proposal() }

// MoveRanges requests a planned move, which ends with an applier.Move record.
type MoveRanges struct{ Move applier.Move }

// SplitRange requests a split of a range. All parts keep its owner.
type SplitRange struct{ Split applier.Split }

func (MoveRanges) proposal()  {}
func (SplitRange) proposal()  {}
func (MergeRanges) proposal() {}

// MergeRanges requests the merge of two adjacent ranges of the owner.
type MergeRanges struct{ Merge applier.Merge }

// Planner decides which ranges an owner moves, splits or merges. All owners apply the same rules to the same state, so
// that two of them don't fill the same target. The caller calls Plan after each applied record and at least every few
// seconds, but not while earlier proposals of this owner are pending.
type Planner struct {
	config PlannerConfig
	// filled tells for each member of the service whether it has had its fair share of ranges since it joined.
	filled map[applier.MemberID]bool
	// epochs holds the time at which each epoch was first seen.
	epochs map[applier.Offset]time.Duration
	// moveTimes holds the times of the moves for load during the last minute, splitMergeTimes those of splits and
	// merges.
	moveTimes, splitMergeTimes []time.Duration
	history                    history
	// overloadedPlans counts the consecutive plans that found the owner overloaded; lastRate is its rate at the last
	// of them, in requests/s.
	overloadedPlans int
	lastRate        float64
	initialized     bool
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
		config: c, filled: map[applier.MemberID]bool{}, epochs: map[applier.Offset]time.Duration{},
	}
}

// Plan returns the changes that the owner should make now. An owner outside the zones of the placement rule, or in an
// evacuated one, moves all its ranges away. Otherwise, moves that give a new member its fair share take precedence over
// changes for load.
//
// Each move for load counts against the moves per minute of the placement rule, however many ranges it contains.
// Splits and merges change no owner and have a separate limit of the same size. Moves to new members and out of a zone
// don't count: their number is bounded by the change of members or of the rule, and with a limit of one a new cluster
// of five members took minutes to spread its ranges. A limit of zero disables all changes, so that operators can place
// new members by hand; an evacuated zone is left nevertheless.
func (p *Planner) Plan(now time.Duration, s *applier.State, self applier.MemberID, loads Loads) []Proposal {
	member, present := s.Members[self]
	if !present || s.Configuration == nil || len(s.Assignments[member.Service]) == 0 {
		return nil
	}
	v := newServiceView(s, member)
	p.observe(now, v)
	if member.Status != applier.Active {
		return nil
	}
	limit := p.movesPerMinute(s, member.Service)
	if _, evacuated := s.Evacuated(member.Zone); evacuated && !slices.Contains(v.members, v.self) {
		return p.place(s, v, loads)
	}
	if limit <= 0 {
		return nil
	}
	if proposals := p.place(s, v, loads); len(proposals) > 0 {
		return proposals
	}
	old := func(t time.Duration) bool { return now-t >= time.Minute }
	p.moveTimes, p.splitMergeTimes = slices.DeleteFunc(p.moveTimes, old), slices.DeleteFunc(p.splitMergeTimes, old)
	if p.config.Static || !slices.Contains(v.members, v.self) {
		return nil
	}
	proposals := p.relieve(now, v, loads, limit-len(p.moveTimes), limit-len(p.splitMergeTimes))
	if len(proposals) == 0 {
		// Merges and the moves for them aren't urgent, so they leave half of each limit to changes that relieve an
		// overload.
		half := (limit + 1) / 2
		if proposal := p.planMerge(now, s, v, loads, half-len(p.moveTimes), half-len(p.splitMergeTimes)); proposal != nil {
			proposals = []Proposal{proposal}
		}
	}
	p.recordChanges(now, proposals)
	return proposals
}

func (p *Planner) recordChanges(now time.Duration, proposals []Proposal) {
	for _, proposal := range proposals {
		switch proposal.(type) {
		case MoveRanges:
			p.moveTimes = append(p.moveTimes, now)
		case SplitRange, MergeRanges:
			p.splitMergeTimes = append(p.splitMergeTimes, now)
		}
	}
}

// place returns the moves that the members and the placement rule require regardless of load.
func (p *Planner) place(s *applier.State, v *serviceView, loads Loads) (proposals []Proposal) {
	if !slices.Contains(v.members, v.self) {
		for _, m := range Evacuate(s, v.self.ID) {
			proposals = append(proposals, m)
		}
		return proposals
	}
	return p.fill(v, loads)
}

func (p *Planner) movesPerMinute(s *applier.State, service string) int {
	placement, named := s.Configuration.Placements[s.Configuration.Services[service].Placement]
	if !named {
		return p.config.DefaultMovesPerMinute
	}
	return placement.MaxMovesPerMinute
}

// serviceView is the part of the state that concerns the owner's service.
type serviceView struct {
	self      *applier.Member
	members   []*applier.Member // eligible owners, in order of joining
	ranges    []applier.Assignment
	owned     map[applier.MemberID]int
	maxRanges int // largest number of ranges after a split
	// salt varies the grouping of members. It is the same for all owners and changes every saltRecords records.
	salt uint64
}

func newServiceView(s *applier.State, self *applier.Member) *serviceView {
	service := s.Configuration.Services[self.Service]
	v := &serviceView{
		self: self, ranges: s.Assignments[self.Service], owned: map[applier.MemberID]int{},
		maxRanges: splitFactor*service.InitialRanges + splitReserve, salt: uint64(s.Applied) / saltRecords,
	}
	zones := s.Configuration.Placements[service.Placement].Zones
	members := slices.DeleteFunc(s.MembersOf(self.Service), func(m *applier.Member) bool { return m.Status != applier.Active })
	if available := s.Available(members); len(available) > 0 {
		members = available
	}
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

// fairShare is the number of ranges that each member has at least when ranges are spread evenly.
func (v *serviceView) fairShare() int { return len(v.ranges) / max(len(v.members), 1) }

// observe updates the known members and epochs. A member is new until it has had its fair share once; afterwards it
// may own fewer ranges because they carry more load. A member that already has half of its share when the planner
// first sees it isn't new.
func (p *Planner) observe(now time.Duration, v *serviceView) {
	filled := make(map[applier.MemberID]bool, len(v.members))
	for _, m := range v.members {
		wasFilled, known := p.filled[m.ID]
		count := v.owned[m.ID]
		filled[m.ID] = count >= v.fairShare() || count > 0 && (wasFilled || !known && 2*count >= v.fairShare())
	}
	p.history.update(now, p.config.Cooldown, v.ranges, p.filled)
	p.filled = filled
	epochs := make(map[applier.Offset]time.Duration, len(p.epochs))
	for _, a := range v.ranges {
		firstSeen, known := p.epochs[a.Epoch]
		switch {
		case !known && !p.initialized:
			// Epochs from before the planner started count as old.
			firstSeen = now - p.config.Cooldown
		case !known:
			firstSeen = now
		}
		epochs[a.Epoch] = firstSeen
	}
	p.epochs, p.initialized = epochs, true
}
