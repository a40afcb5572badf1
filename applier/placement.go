package applier

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/hasher"
)

// placeUnowned gives ranges without owner to members of their services.
func (s *State) placeUnowned(offset Offset) {
	for _, service := range slices.Sorted(maps.Keys(s.Assignments)) {
		s.placeService(service, offset)
	}
}

// placeService gives each range without owner to the eligible member with the fewest ranges. Ties go by a hash of member
// and range, so that the ranges of a lost member spread over all others.
func (s *State) placeService(service string, offset Offset) {
	ranges := s.Assignments[service]
	candidates := s.eligible(service)
	if len(candidates) == 0 {
		return
	}
	owned := make(map[MemberID]int, len(candidates))
	for _, a := range ranges {
		owned[a.Owner]++
	}
	for i := range ranges {
		a := &ranges[i]
		if a.Owner != 0 {
			continue
		}
		best := slices.MinFunc(candidates, func(x, y *Member) int {
			if owned[x.ID] != owned[y.ID] {
				return owned[x.ID] - owned[y.ID]
			}
			if placementHash(x.ID, a.Range.Low) < placementHash(y.ID, a.Range.Low) {
				return -1
			}
			return 1
		})
		a.Owner, a.Epoch = best.ID, offset
		if a.Cause == Unowned {
			a.Cause = Placed
		}
		owned[best.ID]++
	}
}

// eligible returns the members that may get ranges of a service. A placement rule that excludes every member is ignored,
// since a key in the wrong zone is better than a key without owner.
func (s *State) eligible(service string) []*Member {
	var active, placed []*Member
	zones := s.Configuration.Placements[s.Configuration.Services[service].Placement].Zones
	for _, m := range s.MembersOf(service) {
		if m.Status != Active {
			continue
		}
		active = append(active, m)
		if slices.Contains(zones, m.Zone) {
			placed = append(placed, m)
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

// reshape brings the ranges in line with the configuration in force: it creates the ranges of new keyed services, drops
// those of removed ones, and isolates the named keys.
func (s *State) reshape(offset Offset) {
	for service := range s.Assignments {
		if !s.Configuration.Services[service].Keyed {
			delete(s.Assignments, service)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Configuration.Services)) {
		service := s.Configuration.Services[name]
		if _, present := s.Assignments[name]; present || !service.Keyed {
			continue
		}
		for _, r := range hasher.Divide(service.InitialRanges) {
			s.Assignments[name] = append(s.Assignments[name], Assignment{Range: r, Epoch: offset})
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
