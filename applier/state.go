package applier

import (
	"cmp"
	"iter"
	"slices"

	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// Limits of the lists and texts in the state. Changing one changes the state that results from records already in the
// log.
const (
	maxResults   = 1024
	maxProposals = 256
	maxSuspects  = 256
	maxRemovals  = 1024
	maxLineage   = 4
	// maxRecentCrashes exceeds the two crashes after which a request is refused.
	maxRecentCrashes = 4
	maxPending       = 32
	maxReasonBytes   = 2048
	// maxEvacuated limits the zones that are evacuated at a time, and maxZoneBytes their names.
	maxEvacuated        = 64
	maxEndedEvacuations = 256
	maxZoneBytes        = 256
)

// Assignment is a range of a service with its owner.
type Assignment struct {
	Range hasher.Range `cbor:"1,keyasint" json:"range"`
	Owner MemberID     `cbor:"2,keyasint" json:"owner"`
	// Epoch is the offset of the record that last changed the owner. It is the fencing token.
	Epoch Offset `cbor:"3,keyasint" json:"epoch"`
	Cause Cause  `cbor:"4,keyasint" json:"cause"`
	// Lineage lists lost owners whose idempotency rows the present owner has not yet declared to hold.
	Lineage []MemberID `cbor:"5,keyasint,omitempty" json:"lineage,omitempty"`
	// Incomplete means that entries of the lineage in excess of maxLineage were dropped, so rows may be missing.
	Incomplete bool `cbor:"6,keyasint,omitempty" json:"incomplete,omitempty"`
	// Source is the previous owner during a planned move, until the new owner has received the range from it. The
	// source may serve until it applies the move; the owner must not serve before the source has released the range.
	Source MemberID `cbor:"7,keyasint,omitempty" json:"source,omitempty"`
}

// Settled reports whether the owner holds all idempotency rows of the range, so that it may move or be merged.
func (a Assignment) Settled() bool { return len(a.Lineage) == 0 && a.Source == 0 }

// ProposalStatus is the status of a proposed configuration.
type ProposalStatus uint8

// Statuses of a proposal.
const (
	Pending  ProposalStatus = iota // pending
	InForce                        // in_force
	Refused                        // refused
	Stale                          // stale
	Replaced                       // replaced
)

// MarshalText writes the status's name.
func (s ProposalStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Proposal is a published configuration with its status.
type Proposal struct {
	Offset  Offset         `cbor:"1,keyasint" json:"offset"`
	Author  string         `cbor:"2,keyasint" json:"author"`
	Base    Offset         `cbor:"3,keyasint" json:"base"`
	Comment string         `cbor:"4,keyasint" json:"comment,omitempty"`
	Status  ProposalStatus `cbor:"5,keyasint" json:"status"`
	// Version is the offset from which the proposal was in force, or zero.
	Version Offset `cbor:"6,keyasint" json:"version,omitempty"`
	// DecidedBy is the operator who approved or rejected the proposal.
	DecidedBy string `cbor:"7,keyasint" json:"decided_by,omitempty"`
	Reason    string `cbor:"8,keyasint" json:"reason,omitempty"`
	// Configuration is nil unless the proposal is pending.
	Configuration *validator.Configuration `cbor:"9,keyasint,omitempty" json:"-"`
}

// Result says whether a record was accepted.
type Result struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	Offset   Offset `cbor:"2,keyasint" json:"offset"`
	Kind     Kind   `cbor:"3,keyasint" json:"kind"`
	Accepted bool   `cbor:"4,keyasint" json:"accepted"`
	// Reason says why the record was rejected.
	Reason string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// SuspectCount is a request fingerprint with the number of crashes in which it was in flight.
type SuspectCount struct {
	Fingerprint uint64 `cbor:"1,keyasint" json:"fingerprint"`
	Crashes     int    `cbor:"2,keyasint" json:"crashes"`
	Offset      Offset `cbor:"3,keyasint" json:"offset"`
	// Recent lists the last crashes, at most maxRecentCrashes.
	Recent []InFlightCrash `cbor:"4,keyasint,omitempty" json:"recent,omitempty"`
}

// InFlightCrash is a crash of a backend server while a request was in flight.
type InFlightCrash struct {
	Crash uint64 `cbor:"1,keyasint" json:"crash"`
	// Alone means that no request with another fingerprint was in flight.
	Alone bool `cbor:"2,keyasint,omitempty" json:"alone,omitempty"`
}

// State is the result of applying all records up to Applied. The zero value is the state of an empty log.
type State struct {
	Applied       Offset                   `cbor:"1,keyasint" json:"applied"`
	Members       map[MemberID]*Member     `cbor:"2,keyasint" json:"members"`
	Assignments   map[string][]Assignment  `cbor:"3,keyasint" json:"assignments"`
	Configuration *validator.Configuration `cbor:"4,keyasint" json:"configuration"`
	// Version is the offset of the record that put Configuration in force.
	Version   Offset         `cbor:"5,keyasint" json:"version"`
	Proposals []Proposal     `cbor:"6,keyasint" json:"proposals"`
	Removals  []Removal      `cbor:"7,keyasint" json:"removals"`
	Suspects  []SuspectCount `cbor:"8,keyasint" json:"suspects"`
	Results   []Result       `cbor:"9,keyasint" json:"-"`
	// CheckpointAsOf is the last offset applied in the newest state that has a complete checkpoint in the log.
	CheckpointAsOf Offset `cbor:"10,keyasint" json:"checkpoint_as_of"`
	// PendingCheckpoint tracks the pieces of the checkpoint that is being appended.
	PendingCheckpoint checkpointProgress `cbor:"11,keyasint" json:"-"`
	// Evacuations lists the evacuations of availability zones that are in force, in order of their offsets.
	Evacuations []Evacuation `cbor:"12,keyasint,omitempty" json:"evacuations,omitempty"`
	// EndedEvacuations lists the last ones that have ended, in order of their ends. They are kept apart because every
	// request and every placement of a range looks for those in force.
	EndedEvacuations []Evacuation `cbor:"13,keyasint,omitempty" json:"ended_evacuations,omitempty"`

	// index is nil until a record is applied to the state or the state is decoded.
	index *index
}

type checkpointProgress struct {
	ID   string `cbor:"1,keyasint"`
	Next int    `cbor:"2,keyasint"`
}

// Lookup returns the assignment that contains a position of a keyed service. It reports false when the service has no
// ranges.
func (s *State) Lookup(service string, p hasher.Position) (Assignment, bool) {
	i, found := findRange(s.Assignments[service], p)
	if !found {
		return Assignment{}, false
	}
	return s.Assignments[service][i], true
}

// Overlapping returns the assignments that overlap a range, in ascending order of range.
func (s *State) Overlapping(service string, r hasher.Range) iter.Seq[Assignment] {
	return func(yield func(Assignment) bool) {
		ranges := s.Assignments[service]
		first, _ := findRange(ranges, r.Low)
		for _, a := range ranges[first:] {
			if a.Range.Low > r.High || !yield(a) {
				return
			}
		}
	}
}

// findRange returns the index of the assignment that contains a position, and whether there is one.
func findRange(ranges []Assignment, p hasher.Position) (int, bool) {
	i, _ := slices.BinarySearchFunc(ranges, p, func(a Assignment, p hasher.Position) int {
		return cmp.Compare(a.Range.High, p)
	})
	return i, i < len(ranges) && ranges[i].Range.Contains(p)
}

// Owned returns the assignments of a member, in ascending order of range.
func (s *State) Owned(id MemberID) []Assignment {
	member, present := s.Members[id]
	if !present {
		return nil
	}
	var owned []Assignment
	if s.index != nil {
		for _, low := range s.index.rangeStarts(member.Service, id) {
			a, _ := s.Lookup(member.Service, low)
			owned = append(owned, a)
		}
		return owned
	}
	for _, a := range s.Assignments[member.Service] {
		if a.Owner == id {
			owned = append(owned, a)
		}
	}
	return owned
}

// Unreleased returns the assignments of which a member is the source, and which it therefore has yet to release, in
// ascending order of range. They include ranges that have no owner.
func (s *State) Unreleased(source MemberID) []Assignment {
	member, present := s.Members[source]
	if !present || s.index == nil {
		return nil
	}
	var unreleased []Assignment
	for _, low := range s.index.moving[member.Service] {
		if a, _ := s.Lookup(member.Service, low); a.Source == source {
			unreleased = append(unreleased, a)
		}
	}
	return unreleased
}

// MembersOf returns the members of a service, or all members for an empty service, in ascending order of id.
func (s *State) MembersOf(service string) []*Member {
	var members []*Member
	if s.index != nil && service != "" {
		for _, e := range s.index.services[service] {
			members = append(members, e.member)
		}
		return members
	}
	for _, m := range s.Members {
		if service == "" || m.Service == service {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Removal returns the removal of a member. It reports false when the member was not removed or its removal is no longer
// kept.
func (s *State) Removal(id MemberID) (Removal, bool) {
	for i := len(s.Removals) - 1; i >= 0; i-- {
		if s.Removals[i].ID == id {
			return s.Removals[i], true
		}
	}
	return Removal{}, false
}

// ResultOf returns the result of the record with an id. It reports false when the record was not applied or its result
// is no longer kept.
func (s *State) ResultOf(id string) (Result, bool) {
	for i := len(s.Results) - 1; i >= 0; i-- {
		if s.Results[i].ID == id {
			return s.Results[i], true
		}
	}
	return Result{}, false
}

// CrashesOf returns the number of crashes during which a request with a fingerprint was in flight, or zero when it is
// not a suspect.
func (s *State) CrashesOf(fingerprint uint64) int {
	for _, suspect := range s.Suspects {
		if suspect.Fingerprint == fingerprint {
			return suspect.Crashes
		}
	}
	return 0
}

// Oldest returns the active member that joined first, which performs the tasks that only one process of the cluster
// runs, such as writing checkpoints. It returns zero when no member is active.
func (s *State) Oldest() MemberID {
	var oldest *Member
	for _, m := range s.Members {
		if m.Status != Active {
			continue
		}
		if oldest == nil || m.Joined < oldest.Joined {
			oldest = m
		}
	}
	if oldest == nil {
		return 0
	}
	return oldest.ID
}
