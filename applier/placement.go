package applier

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/hasher"
)

// placeUnowned assigns the ranges without owner to members of their services.
func (s *State) placeUnowned(offset Offset) {
	for _, service := range slices.Sorted(maps.Keys(s.index.unowned)) {
		s.placeRanges(service, offset)
	}
}

// placeRanges assigns each range without owner of a service to the eligible member with the fewest ranges. Ties are
// broken by a hash of member and range, so that the ranges of a lost member spread over all others.
func (s *State) placeRanges(service string, offset Offset) {
	unowned := slices.Clone(s.index.unowned[service])
	if len(unowned) == 0 {
		return
	}
	candidates := s.eligible(service)
	if len(candidates) == 0 {
		return
	}
	var fewest []*entry
	for _, low := range unowned {
		if len(fewest) == 0 {
			fewest = withFewest(candidates)
		}
		best, least := 0, placementHash(fewest[0].member.ID, low)
		for i, e := range fewest[1:] {
			if h := placementHash(e.member.ID, low); h < least {
				best, least = i+1, h
			}
		}
		i, _ := findRange(s.Assignments[service], low)
		a := &s.Assignments[service][i]
		s.setOwner(service, a, fewest[best].member.ID)
		if a.Source == a.Owner {
			// The move was not completed, and its source owns the range again.
			s.setSource(service, a, 0)
		}
		a.Epoch = offset
		if a.Cause == Unowned {
			a.Cause = Placed
		}
		// The others still have the fewest ranges.
		fewest = slices.Delete(fewest, best, best+1)
	}
}

func withFewest(candidates []*entry) []*entry {
	count := len(candidates[0].owned)
	for _, e := range candidates {
		count = min(count, len(e.owned))
	}
	var fewest []*entry
	for _, e := range candidates {
		if len(e.owned) == count {
			fewest = append(fewest, e)
		}
	}
	return fewest
}

// eligible returns the members to which ranges of a service may be assigned. A placement rule that excludes every
// member is ignored, since a key in the wrong zone is better than a key without owner. So are evacuations that leave no
// member.
func (s *State) eligible(service string) []*entry {
	var active, placed, available []*entry
	zones := s.Configuration.Placements[s.Configuration.Services[service].Placement].Zones
	for _, e := range s.index.services[service] {
		if e.member.Status != Active {
			continue
		}
		active = append(active, e)
	}
	for i := 0; len(s.Evacuations) > 0 && i < len(active); i++ {
		if _, evacuated := s.Evacuated(active[i].member.Zone); !evacuated {
			available = append(available, active[i])
		}
	}
	if len(available) > 0 {
		active = available
	}
	for _, e := range active {
		if slices.Contains(zones, e.member.Zone) {
			placed = append(placed, e)
		}
	}
	if len(placed) > 0 {
		return placed
	}
	return active
}

func placementHash(id MemberID, low hasher.Position) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(id))
	binary.LittleEndian.PutUint64(buffer[8:], uint64(low))
	return xxhash.Sum64(buffer[:])
}

// reconcileRanges adapts the ranges to the configuration in force: it creates the ranges of new keyed services, drops
// those of services that are removed or no longer keyed, and splits off a range of its own for each key in KeyRanges.
func (s *State) reconcileRanges(offset Offset) {
	for service := range s.Assignments {
		if !s.Configuration.Services[service].Keyed {
			s.dropService(service)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Configuration.Services)) {
		service := s.Configuration.Services[name]
		if _, present := s.Assignments[name]; present || !service.Keyed {
			continue
		}
		for _, r := range hasher.Divide(service.InitialRanges) {
			s.Assignments[name] = append(s.Assignments[name], Assignment{Range: r, Epoch: offset})
			s.index.addRange(name, 0, r.Low)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Configuration.KeyRanges)) {
		key := s.Configuration.KeyRanges[name]
		p := hasher.KeyPosition(key.Key)
		i, found := findRange(s.Assignments[key.Service], p)
		if found && s.Assignments[key.Service][i].Range.Low != s.Assignments[key.Service][i].Range.High {
			s.splitRange(key.Service, i, p)
		}
	}
	s.placeUnowned(offset)
}

// dropService removes the ranges of a service.
func (s *State) dropService(service string) {
	delete(s.Assignments, service)
	delete(s.index.unowned, service)
	delete(s.index.moving, service)
	for _, e := range s.index.services[service] {
		e.owned = nil
	}
}
