package applier

import (
	"slices"

	"github.com/pkg/errors"

	"hibiscusline/hasher"
)

func (s *State) applyMove(offset Offset, r Move) error {
	target, err := s.member(r.To)
	if err != nil {
		return err
	}
	if target.Status != Active || target.Service != r.Service {
		return errors.Errorf("member %s can't own ranges of service %q now", r.To, r.Service)
	}
	if !s.mayOwn(target) {
		return errors.Errorf("member %s can't get ranges: its zone %q is evacuated", r.To, target.Zone)
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

// matchRanges returns the indices of the wanted ranges. It returns an error if one of them doesn't exist or has another
// owner or epoch.
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
		s.index.addRange(service, a.Owner, part.Low)
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
	s.index.removeRange(r.Service, upper.Owner, upper.Range.Low)
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
	for _, low := range s.index.rangeStarts(m.Service, m.ID) {
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
