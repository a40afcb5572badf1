package registrar

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/assigner"
)

// Leaving is an acknowledged announcement of a backend server that its incarnation shuts down. It can't be withdrawn.
type Leaving struct {
	_ struct{} `cbor:",toarray"`
	// Member is the process beside the server.
	Member      string
	Incarnation assigner.Incarnation
}

// maxLeavings bounds the leavings that a process keeps, and those in one message. The oldest are dropped first.
const maxLeavings = 1024

// EncodeLeavings returns the encoded list, which must not have more than maxLeavings entries.
func EncodeLeavings(list []Leaving) ([]byte, error) {
	data, err := cbor.Marshal(list)
	return data, errors.Wrap(err, "encode leavings")
}

// DecodeLeavings decodes and validates a list of leavings.
func DecodeLeavings(data []byte) ([]Leaving, error) {
	var list []Leaving
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode leavings")
	}
	if len(list) > maxLeavings {
		return nil, errors.Errorf("%d leavings; allowed: %d", len(list), maxLeavings)
	}
	for _, l := range list {
		if l.Member == "" || l.Incarnation.Instance == "" || l.Incarnation.Born <= 0 {
			return nil, errors.Errorf("leaving of %q: the member or the incarnation is missing", l.Member)
		}
	}
	return list, nil
}

// AddLeavings adds leavings that the store may not have, and returns those that are new. From then on, a record that
// says that the server is ready counts as one that says that it is draining. It must not be called concurrently with
// Apply.
func (r *Registrar) AddLeavings(list []Leaving) []Leaving {
	old := r.View()
	next := *old
	next.leavings = slices.Clone(old.leavings)
	var added []Leaving
	for _, l := range list {
		if !slices.Contains(next.leavings, l) {
			next.leavings = append(next.leavings, l)
			added = append(added, l)
		}
	}
	if len(added) == 0 {
		return nil
	}
	next.leavings = next.leavings[max(len(next.leavings)-maxLeavings, 0):]
	next.buildIndexes()
	r.view.Store(&next)
	return added
}

// LeavingsOf returns the remembered leavings of a member's servers.
func (v *View) LeavingsOf(member string) []Leaving {
	var list []Leaving
	for _, l := range v.leavings {
		if l.Member == member {
			list = append(list, l)
		}
	}
	return list
}

// UnrecordedLeavings returns the remembered leavings that the stored records of their members lack.
func (v *View) UnrecordedLeavings() []Leaving { return slices.Clone(v.unrecorded) }

// HasLeft reports whether a server has announced that its incarnation shuts down, according to the records or to the
// remembered leavings.
func (v *View) HasLeft(member string, incarnation assigner.Incarnation) bool {
	m, found := v.stored[member]
	if found && m.Incarnation == incarnation && m.State == Draining {
		return true
	}
	return slices.ContainsFunc(v.leavings, func(l Leaving) bool { return l.Member == member && l.Incarnation == incarnation })
}

// RecordedLeaving reports whether the stored record of a member excludes that an incarnation of its server is used.
func (v *View) RecordedLeaving(member string, incarnation assigner.Incarnation) bool {
	m, found := v.stored[member]
	if !found || m.Incarnation != incarnation {
		return found && m.Incarnation.Born > incarnation.Born
	}
	return m.State == Draining || m.State == Ended
}

// StoredMember returns the record of a member as the store has it.
func (v *View) StoredMember(name string) (Member, bool) {
	m, found := v.stored[name]
	return m, found
}

// applyLeavings sets Members from the stored records and the leavings. It drops the leavings of servers that have a
// successor. A record that says that the server has ended isn't enough, since a process may have taken it to have ended.
func (v *View) applyLeavings() {
	v.leavings = slices.DeleteFunc(slices.Clone(v.leavings), func(l Leaving) bool {
		m, found := v.stored[l.Member]
		return found && m.Incarnation.Born > l.Incarnation.Born
	})
	v.unrecorded = slices.DeleteFunc(slices.Clone(v.leavings), func(l Leaving) bool {
		_, found := v.stored[l.Member]
		return !found || v.RecordedLeaving(l.Member, l.Incarnation)
	})
	v.Members = make(map[string]Member, len(v.stored))
	for name, m := range v.stored {
		if m.State == Ready && v.HasLeft(name, m.Incarnation) {
			m.State = Draining
		}
		v.Members[name] = m
	}
}
