package applier

import (
	"slices"

	"github.com/pkg/errors"
)

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
	s.index.lastMemberChange = offset
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
	s.index.lastMemberChange = offset
	return nil
}

func (s *State) applyDrain(r Drain) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	m.Status = Draining
	s.index.lastMemberChange = s.Applied
	return nil
}

func (s *State) applyLeave(offset Offset, r Leave) error {
	m, err := s.member(r.Member)
	if err != nil {
		return err
	}
	if owned := len(s.index.rangeStarts(m.Service, m.ID)); owned > 0 {
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
	s.removeLost(m, offset, TakenOver)
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
	s.removeLost(m, offset, Evicted)
	return nil
}

// remove removes a member from the state. The Removal keeps its guardians, since they hold its idempotency rows.
func (s *State) remove(m *Member, offset Offset, cause Cause) {
	delete(s.Members, m.ID)
	s.index.removeMember(m)
	s.index.lastMemberChange = offset
	s.Removals = appendBounded(s.Removals, Removal{
		ID: m.ID, Name: m.Name, Guardians: m.Guardians, Fenced: m.Fenced, Offset: offset, Cause: cause,
		GuardianVersion: m.GuardianVersion,
	}, maxRemovals)
}

// removeLost removes a lost member and assigns its ranges to other members of its service.
func (s *State) removeLost(m *Member, offset Offset, cause Cause) {
	ranges := s.Assignments[m.Service]
	for _, low := range slices.Clone(s.index.rangeStarts(m.Service, m.ID)) {
		i, _ := findRange(ranges, low)
		s.setOwner(m.Service, &ranges[i], 0)
		ranges[i].addLostOwner(m.ID, offset, cause)
	}
	// A new epoch makes the owner of an unreleased range wait and fetch the rows as after any other loss, even if it
	// has settled before.
	for _, a := range s.Unreleased(m.ID) {
		i, _ := findRange(ranges, a.Range.Low)
		s.setSource(m.Service, &ranges[i], 0)
		ranges[i].addLostOwner(m.ID, offset, cause)
	}
	s.remove(m, offset, cause)
	s.placeRanges(m.Service, offset)
}

// addLostOwner records that a lost member may have served the range. The offset becomes the new epoch.
func (a *Assignment) addLostOwner(lost MemberID, offset Offset, cause Cause) {
	a.Epoch, a.Cause = offset, cause
	a.Lineage = append(slices.Clone(a.Lineage), lost)
	if len(a.Lineage) > maxLineage {
		a.Lineage, a.Incomplete = a.Lineage[len(a.Lineage)-maxLineage:], true
	}
}
