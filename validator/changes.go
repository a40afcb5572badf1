package validator

import (
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"
)

// Changes is the difference between two configurations. It holds only the objects that differ, so that changing one
// object among thousands appends a small record to the log.
type Changes struct {
	// A value in a map adds an object or replaces the one of the same name; nil removes it.
	Services   map[string]*Service   `cbor:"1,keyasint,omitempty"`
	Ranks      map[string]*Rank      `cbor:"2,keyasint,omitempty"`
	KeyRanges  map[string]*KeyRange  `cbor:"3,keyasint,omitempty"`
	Placements map[string]*Placement `cbor:"4,keyasint,omitempty"`
	Rules      *RuleChange           `cbor:"5,keyasint,omitempty"`
	Policy     *Policy               `cbor:"6,keyasint,omitempty"`
}

// RuleChange replaces Removed rules, from index First on, with the Inserted ones.
type RuleChange struct {
	First    int    `cbor:"1,keyasint"`
	Removed  int    `cbor:"2,keyasint"`
	Inserted []Rule `cbor:"3,keyasint,omitempty"`
}

// ChangesBetween returns the changes that turn configuration before into after.
func ChangesBetween(before, after Configuration) Changes {
	c := Changes{
		Services: changedObjects(before.Services, after.Services), Ranks: changedObjects(before.Ranks, after.Ranks),
		KeyRanges: changedObjects(before.KeyRanges, after.KeyRanges), Placements: changedObjects(before.Placements, after.Placements),
	}
	if !reflect.DeepEqual(before.Policy, after.Policy) {
		c.Policy = &after.Policy
	}
	if slices.Equal(before.Rules, after.Rules) {
		return c
	}
	shorter := min(len(before.Rules), len(after.Rules))
	prefix, suffix := 0, 0
	for prefix < shorter && before.Rules[prefix] == after.Rules[prefix] {
		prefix++
	}
	for suffix < shorter-prefix && before.Rules[len(before.Rules)-1-suffix] == after.Rules[len(after.Rules)-1-suffix] {
		suffix++
	}
	c.Rules = &RuleChange{
		First: prefix, Removed: len(before.Rules) - suffix - prefix,
		Inserted: slices.Clone(after.Rules[prefix : len(after.Rules)-suffix]),
	}
	return c
}

func changedObjects[V any](before, after map[string]V) map[string]*V {
	changed := map[string]*V{}
	for name := range before {
		if _, found := after[name]; !found {
			changed[name] = nil
		}
	}
	for name, new := range after {
		if old, found := before[name]; !found || !reflect.DeepEqual(old, new) {
			changed[name] = &new
		}
	}
	return changed
}

// ApplyTo returns a changed copy of a configuration. It returns an error if the changes refer to rules that the
// configuration doesn't have, which means that they were computed from another configuration.
func (c Changes) ApplyTo(before Configuration) (Configuration, error) {
	after := before
	after.Services = applyObjects(before.Services, c.Services)
	after.Ranks = applyObjects(before.Ranks, c.Ranks)
	after.KeyRanges = applyObjects(before.KeyRanges, c.KeyRanges)
	after.Placements = applyObjects(before.Placements, c.Placements)
	if c.Policy != nil {
		after.Policy = *c.Policy
	}
	after.Rules = slices.Clone(before.Rules)
	if r := c.Rules; r != nil {
		if r.First < 0 || r.Removed < 0 || r.First > len(before.Rules) || r.Removed > len(before.Rules)-r.First {
			return Configuration{}, errors.Errorf("the changes replace %d rules from position %d of %d", r.Removed, r.First, len(before.Rules))
		}
		after.Rules = slices.Replace(after.Rules, r.First, r.First+r.Removed, r.Inserted...)
	}
	return after, nil
}

func applyObjects[V any](before map[string]V, changed map[string]*V) map[string]V {
	after := maps.Clone(before)
	if after == nil {
		after = map[string]V{}
	}
	for name, object := range changed {
		if object == nil {
			delete(after, name)
		} else {
			after[name] = *object
		}
	}
	return after
}
