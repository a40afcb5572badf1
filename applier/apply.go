package applier

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"hibiscusline/validator"
)

// Apply applies the record at an offset and returns its result. Offsets must ascend without gaps; a record at or below
// Applied is ignored, since it was applied before.
func (s *State) Apply(offset Offset, e Envelope) Result {
	if offset <= s.Applied {
		return Result{ID: e.ID, Offset: offset, Kind: e.Record.kind(), Reason: "already applied"}
	}
	s.initialize()
	if s.index == nil {
		s.index = buildIndex(s)
	}
	s.Applied = offset
	if first, duplicate := s.ResultOf(e.ID); duplicate {
		return first
	}
	result := Result{ID: e.ID, Offset: offset, Kind: e.Record.kind(), Accepted: true}
	if err := s.applyRecord(offset, e.Record); err != nil {
		result.Accepted, result.Reason = false, truncatedReason(err)
	}
	if _, checkpoint := e.Record.(Checkpoint); !checkpoint {
		s.Results = appendBounded(s.Results, result, maxResults)
	}
	return result
}

// truncatedReason returns the text of an error, cut to maxReasonBytes so that the state stays small.
func truncatedReason(err error) string {
	text := err.Error()
	if len(text) <= maxReasonBytes {
		return text
	}
	// The cut may split a multi-byte character, and CBOR text must be valid UTF-8.
	return strings.ToValidUTF8(text[:maxReasonBytes], "")
}

// Skip advances Applied past a record that can't be decoded, so that a foreign entry in the log doesn't block the
// records after it.
func (s *State) Skip(offset Offset) {
	if offset > s.Applied {
		s.Applied = offset
	}
}

func (s *State) initialize() {
	if s.Members == nil {
		s.Members = map[MemberID]*Member{}
	}
	if s.Assignments == nil {
		s.Assignments = map[string][]Assignment{}
	}
	if s.Configuration == nil {
		s.Configuration = &validator.Configuration{}
	}
}

func (s *State) applyRecord(offset Offset, record Record) error {
	switch r := record.(type) {
	case Join:
		return s.applyJoin(offset, r)
	case SetGuardians:
		return s.applySetGuardians(offset, r)
	case Drain:
		return s.applyDrain(r)
	case Leave:
		return s.applyLeave(offset, r)
	case TakeOver:
		return s.applyTakeOver(offset, r)
	case Move:
		return s.applyMove(offset, r)
	case Split:
		return s.applySplit(r)
	case Merge:
		return s.applyMerge(r)
	case Evict:
		return s.applyEvict(offset, r)
	case Propose:
		return s.applyPropose(offset, r)
	case Approve:
		return s.applyApprove(offset, r)
	case Reject:
		return s.applyReject(r)
	case Suspect:
		s.applySuspect(offset, r)
		return nil
	case Settle:
		return s.applySettle(r)
	case Receive:
		return s.applyReceive(r)
	case Evacuate:
		return s.applyEvacuate(offset, r)
	case Restore:
		return s.applyRestore(offset, r)
	case Checkpoint:
		s.applyCheckpoint(offset, r)
		return nil
	}
	return errors.Errorf("record type %T is not known", record)
}

func (s *State) applySuspect(offset Offset, r Suspect) {
	crash := InFlightCrash{Crash: r.Crash, Alone: len(r.Fingerprints) == 1}
	if crash.Crash == 0 {
		crash.Crash = uint64(offset)
	}
	for _, f := range r.Fingerprints {
		i := slices.IndexFunc(s.Suspects, func(c SuspectCount) bool { return c.Fingerprint == f })
		if i < 0 {
			s.Suspects = appendBounded(s.Suspects, SuspectCount{
				Fingerprint: f, Crashes: 1, Offset: offset, Recent: []InFlightCrash{crash},
			}, maxSuspects)
			continue
		}
		s.Suspects[i].addCrash(offset, crash)
	}
	s.Suspects = slices.DeleteFunc(s.Suspects, func(c SuspectCount) bool { return slices.Contains(r.Cleared, c.Fingerprint) })
}

func (c *SuspectCount) addCrash(offset Offset, crash InFlightCrash) {
	if slices.ContainsFunc(c.Recent, func(m InFlightCrash) bool { return m.Crash == crash.Crash }) {
		return
	}
	c.Crashes++
	c.Offset = offset
	c.Recent = appendBounded(c.Recent, crash, maxRecentCrashes)
}

func (s *State) applyCheckpoint(offset Offset, r Checkpoint) {
	switch {
	case r.AsOf >= offset:
		return
	case r.Index == 0:
		s.PendingCheckpoint = checkpointProgress{ID: r.ID, Next: 1}
	case r.ID == s.PendingCheckpoint.ID && r.Index == s.PendingCheckpoint.Next:
		s.PendingCheckpoint.Next++
	default:
		return
	}
	if s.PendingCheckpoint.Next == r.Total && r.AsOf > s.CheckpointAsOf {
		s.CheckpointAsOf = r.AsOf
	}
}

// appendBounded appends to a list and drops its oldest entries in excess of the bound.
func appendBounded[E any](list []E, entry E, bound int) []E {
	list = append(list, entry)
	if len(list) > bound {
		list = slices.Clone(list[len(list)-bound:])
	}
	return list
}
