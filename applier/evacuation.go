package applier

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// Evacuation is an operator's evacuation of an availability zone.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint" json:"zone"`
	Operator string `cbor:"2,keyasint" json:"operator"`
	// Offset is the offset from which the zone was evacuated.
	Offset Offset `cbor:"3,keyasint" json:"offset"`
	// Restored is the offset from which the zone was restored, or zero while it is evacuated.
	Restored   Offset `cbor:"4,keyasint,omitempty" json:"restored,omitempty"`
	RestoredBy string `cbor:"5,keyasint,omitempty" json:"restored_by,omitempty"`
}

// Evacuated returns the evacuation of a zone that is in force. It reports false when the zone is not evacuated.
func (s *State) Evacuated(zone string) (Evacuation, bool) {
	for _, e := range s.Evacuations {
		if e.Zone == zone {
			return e, true
		}
	}
	return Evacuation{}, false
}

// EvacuatedZones returns the names of the evacuated zones, in ascending order.
func (s *State) EvacuatedZones() (zones []string) {
	for _, e := range s.Evacuations {
		zones = append(zones, e.Zone)
	}
	slices.Sort(zones)
	return zones
}

// AllEvacuations returns the evacuations in force and those that have ended, in order of their offsets.
func (s *State) AllEvacuations() []Evacuation {
	all := slices.Concat(s.EndedEvacuations, s.Evacuations)
	slices.SortStableFunc(all, func(a, b Evacuation) int { return cmp.Compare(a.Offset, b.Offset) })
	return all
}

// Available returns those of some members that lie outside evacuated zones.
func (s *State) Available(members []*Member) []*Member {
	if len(s.Evacuations) == 0 {
		return members
	}
	var available []*Member
	for _, m := range members {
		if _, evacuated := s.Evacuated(m.Zone); !evacuated {
			available = append(available, m)
		}
	}
	return available
}

// mayOwn reports whether a member's zone lets it get ranges. While all active members of the service lie in evacuated
// zones, any of them may: a range keeps an owner, which serves it once its zone is restored.
func (s *State) mayOwn(m *Member) bool {
	if _, evacuated := s.Evacuated(m.Zone); !evacuated {
		return true
	}
	return !slices.ContainsFunc(s.Available(s.MembersOf(m.Service)), func(a *Member) bool { return a.Status == Active })
}

func (s *State) checkEvacuation(zone, operator string) error {
	if zone == "" || len(zone) > maxZoneBytes {
		return errors.Errorf("the name of a zone has 1 to %d bytes, not %d", maxZoneBytes, len(zone))
	}
	if s.Version > 0 && !slices.Contains(s.Configuration.Policy.Operators, operator) {
		return errors.Errorf("%q is not an operator of the configuration in force", operator)
	}
	return nil
}

func (s *State) applyEvacuate(offset Offset, r Evacuate) error {
	if err := s.checkEvacuation(r.Zone, r.Operator); err != nil {
		return err
	}
	if _, evacuated := s.Evacuated(r.Zone); evacuated {
		return nil
	}
	if len(s.Evacuations) >= maxEvacuated {
		return errors.Errorf("%d zones are evacuated; restore one first", maxEvacuated)
	}
	s.Evacuations = append(s.Evacuations, Evacuation{Zone: r.Zone, Operator: r.Operator, Offset: offset})
	return nil
}

func (s *State) applyRestore(offset Offset, r Restore) error {
	if err := s.checkEvacuation(r.Zone, r.Operator); err != nil {
		return err
	}
	ended, evacuated := s.Evacuated(r.Zone)
	if !evacuated {
		return nil
	}
	s.Evacuations = slices.DeleteFunc(s.Evacuations, func(e Evacuation) bool { return e.Zone == r.Zone })
	ended.Restored, ended.RestoredBy = offset, r.Operator
	s.EndedEvacuations = appendBounded(s.EndedEvacuations, ended, maxEndedEvacuations)
	return nil
}
