package applier

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// Apply applies the record at an offset and returns what became of it. Offsets must ascend without gaps; a record at
// or below Applied was applied before and is ignored.
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
		result.Accepted, result.Reason = false, reason(err)
	}
	if _, checkpoint := e.Record.(Checkpoint); !checkpoint {
		s.Results = appendBounded(s.Results, result, maxResults)
	}
	return result
}

// reason returns the text of an error within the bound that keeps the state small.
func reason(err error) string {
	text := err.Error()
	if len(text) <= maxReason {
		return text
	}
	// The bound may cut a character in two, and text in CBOR must be valid.
	return strings.ToValidUTF8(text[:maxReason], "")
}

// Skip passes over a record that can't be decoded, so that a foreign entry in the stream doesn't stop the fold.
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
	case Checkpoint:
		s.applyCheckpoint(offset, r)
		return nil
	}
	return errors.Errorf("record type %T is not known", record)
}

func (s *State) member(id MemberID) (*Member, error) {
	m, present := s.Members[id]
	if !present {
		return nil, errors.Errorf("member %s is not present", id)
	}
	return m, nil
}

func (s *State) applyJoin(offset Offset, r Join) error {
	if r.Member.ID == 0 {
		return errors.New("member id is zero")
	}
	if _, present := s.Members[r.Member.ID]; present {
		return errors.Errorf("member %s is already present", r.Member.ID)
	}
	if _, removed := s.Removal(r.Member.ID); removed {
		return errors.Errorf("member %s was removed; a new incarnation needs a new id", r.Member.ID)
	}
	m := r.Member
	m.Status, m.Joined, m.Guardians, m.GuardianVersion = Active, offset, nil, offset
	s.Members[m.ID] = &m
	s.index.addMember(&m)
	s.index.changed = offset
	s.placeUnowned(offset)
	return nil
}

func (s *State) applySetGuardians(offset Offset, r SetGuardians) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	if r.Version != m.GuardianVersion {
		return errors.Errorf("guardian version is %d, the record was made from %d", m.GuardianVersion, r.Version)
	}
	for i, g := range r.Guardians {
		if g == r.Member || slices.Contains(r.Guardians[:i], g) {
			return errors.Errorf("guardian %s is named twice or is the member itself", g)
		}
		if _, err := s.member(g); err != nil {
			return errors.Wrap(err, "guardian")
		}
	}
	m.Guardians, m.GuardianVersion = slices.Clone(r.Guardians), offset
	s.index.changed = offset
	return nil
}

func (s *State) applyDrain(r Drain) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	m.Status = Draining
	s.index.changed = s.Applied
	return nil
}

func (s *State) applyLeave(offset Offset, r Leave) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	if owned := len(s.index.list(m.Service, m.ID)); owned > 0 {
		return errors.Errorf("member %s still owns %d ranges", r.Member, owned)
	}
	if unreleased := len(s.Unreleased(m.ID)); unreleased > 0 {
		return errors.Errorf("member %s has still to release %d ranges", r.Member, unreleased)
	}
	s.remove(m, offset, Left)
	return nil
}

func (s *State) applyTakeOver(offset Offset, r TakeOver) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	if r.Version != m.GuardianVersion {
		return errors.Errorf("guardian version is %d, the record was made from %d", m.GuardianVersion, r.Version)
	}
	if len(m.Guardians) == 0 {
		return errors.Errorf("member %s has no guardians", r.Member)
	}
	for _, g := range m.Guardians {
		if _, present := s.Members[g]; present && !slices.Contains(r.AttestedBy, g) {
			return errors.Errorf("guardian %s has not attested", g)
		}
	}
	s.release(m, offset, TakenOver)
	return nil
}

func (s *State) applyEvict(offset Offset, r Evict) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	if s.Version > 0 && !slices.Contains(s.Configuration.Policy.Operators, r.Operator) {
		return errors.Errorf("%q is not an operator of the configuration in force", r.Operator)
	}
	s.release(m, offset, Evicted)
	return nil
}

// remove takes a member out of the fold. Its guardians stay known, since they hold its idempotency rows.
func (s *State) remove(m *Member, offset Offset, cause Cause) {
	delete(s.Members, m.ID)
	s.index.removeMember(m)
	s.index.changed = offset
	s.Removals = appendBounded(s.Removals, Removal{
		ID: m.ID, Name: m.Name, Guardians: m.Guardians, Fenced: m.Fenced, Offset: offset, Cause: cause,
		GuardianVersion: m.GuardianVersion,
	}, maxRemovals)
}

// release removes a lost member and gives its ranges to other members of its service.
func (s *State) release(m *Member, offset Offset, cause Cause) {
	ranges := s.Assignments[m.Service]
	for _, low := range slices.Clone(s.index.list(m.Service, m.ID)) {
		i, _ := findRange(ranges, low)
		s.setOwner(m.Service, &ranges[i], 0)
		ranges[i].inherit(m.ID, offset, cause)
	}
	// A new epoch makes the owner wait and fetch the rows as after any other loss, whatever it declared before.
	for _, a := range s.Unreleased(m.ID) {
		i, _ := findRange(ranges, a.Range.Low)
		s.setSource(m.Service, &ranges[i], 0)
		ranges[i].inherit(m.ID, offset, cause)
	}
	s.remove(m, offset, cause)
	s.placeService(m.Service, offset)
}

// inherit notes that a lost member may have served the range.
func (a *Assignment) inherit(lost MemberID, offset Offset, cause Cause) {
	a.Epoch, a.Cause = offset, cause
	a.Lineage = append(slices.Clone(a.Lineage), lost)
	if len(a.Lineage) > maxLineage {
		a.Lineage, a.Incomplete = a.Lineage[len(a.Lineage)-maxLineage:], true
	}
}

func (s *State) applyMove(offset Offset, r Move) error {
	target, err := s.member(r.To)
	if err != nil {
		return err
	}
	if target.Status != Active || target.Service != r.Service {
		return errors.Errorf("member %s can't own ranges of service %q now", r.To, r.Service)
	}
	// A move to the owner itself would drop the lineage without a transfer of the idempotency rows.
	if r.From == r.To {
		return errors.Errorf("member %s can't move ranges to itself", r.To)
	}
	indices, err := s.matchRanges(r.Service, r.From, r.Ranges)
	if err != nil {
		return err
	}
	ranges := s.Assignments[r.Service]
	for _, i := range indices {
		if ranges[i].Source != 0 {
			return errors.Errorf("range %s has not been received from %s", ranges[i].Range, ranges[i].Source)
		}
	}
	for _, i := range indices {
		s.setOwner(r.Service, &ranges[i], r.To)
		s.setSource(r.Service, &ranges[i], r.From)
		ranges[i].Epoch, ranges[i].Cause = offset, Moved
		ranges[i].Lineage, ranges[i].Incomplete = nil, false
	}
	return nil
}

func (s *State) matchRanges(service string, owner MemberID, wanted []RangeEpoch) ([]int, error) {
	if len(wanted) == 0 {
		return nil, errors.New("the record names no range")
	}
	ranges := s.Assignments[service]
	indices := make([]int, 0, len(wanted))
	for _, w := range wanted {
		i, found := findRange(ranges, w.Range.Low)
		if !found || ranges[i].Range != w.Range {
			return nil, errors.Errorf("service %q has no range %s", service, w.Range)
		}
		if ranges[i].Owner != owner || ranges[i].Epoch != w.Epoch {
			return nil, errors.Errorf("range %s is at epoch %d of owner %s", w.Range, ranges[i].Epoch, ranges[i].Owner)
		}
		indices = append(indices, i)
	}
	return indices, nil
}

func (s *State) applySplit(r Split) error {
	ranges := s.Assignments[r.Service]
	i, found := findRange(ranges, r.Range.Range.Low)
	if !found || ranges[i].Range != r.Range.Range || ranges[i].Epoch != r.Range.Epoch {
		return errors.Errorf("service %q has no range %s at epoch %d", r.Service, r.Range.Range, r.Range.Epoch)
	}
	if !r.Range.Range.Contains(r.Position) {
		return errors.Errorf("position %016x is outside range %s", uint64(r.Position), r.Range.Range)
	}
	s.splitRange(r.Service, i, r.Position)
	return nil
}

func (s *State) splitRange(service string, i int, p hasher.Position) {
	ranges := s.Assignments[service]
	whole := ranges[i]
	var parts []Assignment
	for _, part := range whole.Range.SplitAt(p) {
		a := whole
		a.Range, a.Lineage = part, slices.Clone(whole.Lineage)
		parts = append(parts, a)
		s.index.insert(service, a.Owner, part.Low)
		if a.Source != 0 {
			s.index.setMoving(service, part.Low, true)
		}
	}
	s.Assignments[service] = slices.Replace(ranges, i, i+1, parts...)
}

func (s *State) applyMerge(r Merge) error {
	ranges := s.Assignments[r.Service]
	i, found := findRange(ranges, r.Lower.Range.Low)
	if !found || i+1 >= len(ranges) {
		return errors.Errorf("service %q has no range %s with a successor", r.Service, r.Lower.Range)
	}
	lower, upper := &ranges[i], ranges[i+1]
	if lower.Range != r.Lower.Range || lower.Epoch != r.Lower.Epoch || upper.Range != r.Upper.Range || upper.Epoch != r.Upper.Epoch {
		return errors.Errorf("ranges at %s are not those at epochs %d and %d", r.Lower.Range, r.Lower.Epoch, r.Upper.Epoch)
	}
	if lower.Owner == 0 || lower.Owner != upper.Owner {
		return errors.Errorf("ranges %s and %s have owners %s and %s", lower.Range, upper.Range, lower.Owner, upper.Owner)
	}
	if !lower.Settled() || !upper.Settled() {
		return errors.Errorf("range %s or %s is not settled", lower.Range, upper.Range)
	}
	s.index.delete(r.Service, upper.Owner, upper.Range.Low)
	lower.Range.High, lower.Epoch = upper.Range.High, max(lower.Epoch, upper.Epoch)
	s.Assignments[r.Service] = slices.Delete(ranges, i+1, i+2)
	return nil
}

func (s *State) applySettle(r Settle) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	ranges := s.Assignments[m.Service]
	for _, low := range s.index.list(m.Service, m.ID) {
		if i, _ := findRange(ranges, low); ranges[i].Epoch <= r.AsOf {
			ranges[i].Lineage, ranges[i].Incomplete = nil, false
		}
	}
	return nil
}

func (s *State) applyReceive(r Receive) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	received := false
	for _, a := range s.Unreleased(r.Source) {
		if a.Owner != m.ID || a.Epoch != r.Epoch {
			continue
		}
		i, _ := findRange(s.Assignments[m.Service], a.Range.Low)
		s.setSource(m.Service, &s.Assignments[m.Service][i], 0)
		received = true
	}
	if !received {
		return errors.Errorf("member %s has no range to receive from %s at epoch %d", r.Member, r.Source, r.Epoch)
	}
	return nil
}

func (s *State) applySuspect(offset Offset, r Suspect) {
	mark := CrashMark{Crash: r.Crash, Alone: len(r.Fingerprints) == 1}
	if mark.Crash == 0 {
		mark.Crash = uint64(offset)
	}
	for _, f := range r.Fingerprints {
		i := slices.IndexFunc(s.Suspects, func(c SuspectCount) bool { return c.Fingerprint == f })
		if i < 0 {
			s.Suspects = appendBounded(s.Suspects, SuspectCount{
				Fingerprint: f, Crashes: 1, Offset: offset, Recent: []CrashMark{mark},
			}, maxSuspects)
			continue
		}
		s.Suspects[i].addCrash(offset, mark)
	}
	s.Suspects = slices.DeleteFunc(s.Suspects, func(c SuspectCount) bool { return slices.Contains(r.Cleared, c.Fingerprint) })
}

func (c *SuspectCount) addCrash(offset Offset, mark CrashMark) {
	if slices.ContainsFunc(c.Recent, func(m CrashMark) bool { return m.Crash == mark.Crash }) {
		return
	}
	c.Crashes++
	c.Offset = offset
	c.Recent = appendBounded(c.Recent, mark, maxCrashMarks)
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

// appendBounded appends to a list and drops its oldest entries beyond the bound.
func appendBounded[E any](list []E, entry E, bound int) []E {
	list = append(list, entry)
	if len(list) > bound {
		list = slices.Clone(list[len(list)-bound:])
	}
	return list
}
