package validator

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

//go:generate go tool stringer -type=ChangeKind -linecomment -output=names.go

// ChangeKind is the kind of a change.
type ChangeKind uint8

// Kinds of changes.
const (
	Added   ChangeKind = iota // added
	Removed                   // removed
	Changed                   // changed
)

// MarshalText writes the kind's name.
func (k ChangeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Change is the change of one field of one object. An object that is added or removed gives one change for each of its
// fields.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Object is the kind and name of the object, such as "service orders".
	Object string `json:"object"`
	Field  string `json:"field"`
	// Before and After are JSON values. Before is empty for an added object and After for a removed one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect describes a consequence of the change that the values don't show.
	Effect string `json:"effect,omitempty"`
}

// Diff returns the changes that turn one configuration into another, grouped by object kind and sorted by object name,
// with fields in order of declaration. It returns none if and only if both configurations treat every request alike and
// have the same objects: the order of rules matters only within a service.
func Diff(before, after Configuration) []Change {
	var changes []Change
	changes = diffObjects(changes, "service", before.Services, after.Services)
	changes = diffObjects(changes, "rank", before.Ranks, after.Ranks)
	changes = diffObjects(changes, "rule", rulesByName(before.Rules), rulesByName(after.Rules))
	changes = diffRuleOrder(changes, before.Rules, after.Rules)
	changes = diffObjects(changes, "key_range", before.KeyRanges, after.KeyRanges)
	changes = diffObjects(changes, "placement", before.Placements, after.Placements)
	changes = append(changes, diffFields(Changed, "policy", reflect.ValueOf(before.Policy), reflect.ValueOf(after.Policy))...)
	for i := range changes {
		changes[i].Effect = describeEffect(changes[i])
	}
	return changes
}

func diffObjects[V any](changes []Change, kind string, before, after map[string]V) []Change {
	all := maps.Clone(before)
	if all == nil {
		all = map[string]V{}
	}
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, inBefore := before[name]
		new, inAfter := after[name]
		changeKind := Changed
		switch {
		case !inBefore:
			changeKind = Added
		case !inAfter:
			changeKind = Removed
		}
		changes = append(changes, diffFields(changeKind, kind+" "+name, reflect.ValueOf(old), reflect.ValueOf(new))...)
	}
	return changes
}

func diffFields(kind ChangeKind, object string, before, after reflect.Value) []Change {
	var changes []Change
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		c := Change{Kind: kind, Object: object, Field: name}
		if kind != Added {
			c.Before = encodeValue(before.Field(i))
		}
		if kind != Removed {
			c.After = encodeValue(after.Field(i))
		}
		if c.Before != c.After {
			changes = append(changes, c)
		}
	}
	return changes
}

func encodeValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v.Interface()); err != nil {
		return fmt.Sprint(v.Interface())
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func rulesByName(rules []Rule) map[string]Rule {
	byName := make(map[string]Rule, len(rules))
	for _, r := range rules {
		byName[r.Name] = r
	}
	return byName
}

// diffRuleOrder adds a change for each service whose rules have a different order.
func diffRuleOrder(changes []Change, before, after []Rule) []Change {
	old, new := ruleNamesByService(before), ruleNamesByService(after)
	for _, service := range slices.Sorted(maps.Keys(new)) {
		if _, found := old[service]; found && !slices.Equal(old[service], new[service]) {
			changes = append(changes, Change{
				Kind: Changed, Object: "rules of service " + service, Field: "order",
				Before: encodeValue(reflect.ValueOf(old[service])), After: encodeValue(reflect.ValueOf(new[service])),
			})
		}
	}
	return changes
}

func ruleNamesByService(rules []Rule) map[string][]string {
	byService := map[string][]string{}
	for _, r := range rules {
		byService[r.Service] = append(byService[r.Service], r.Name)
	}
	return byService
}

func describeEffect(c Change) string {
	kind, _, _ := strings.Cut(c.Object, " ")
	switch field := kind + "." + c.Field; {
	case field == "service.keyed" && c.Kind == Removed:
		return "the service is no longer routed, and its ranges end"
	case field == "service.keyed" && c.Kind == Changed && c.After == "false":
		return "the ranges of the service end, and any of its servers may run any request"
	case field == "service.initial_ranges" && c.Kind == Changed && c.Before != "0" && c.After != "0":
		return "none while the service has ranges: they stay as they are"
	case field == "key_range.key" && c.Kind == Removed:
		return "none at once: the range stays divided"
	case field == "policy.require_approval" && c.After == "false":
		return "later proposals take effect without a second operator"
	case field == "policy.operators":
		return "only the operators named after the change may propose, approve and reject"
	}
	return ""
}

// Render formats changes as text, grouped by object. An empty list gives the line "no changes".
func Render(changes []Change) string {
	if len(changes) == 0 {
		return "no changes\n"
	}
	var b strings.Builder
	counts := map[ChangeKind]int{}
	for i, c := range changes {
		if i == 0 || changes[i-1].Object != c.Object || changes[i-1].Kind != c.Kind {
			fmt.Fprintf(&b, "%s %s\n", c.Kind, c.Object)
			counts[c.Kind]++
		}
		switch c.Kind {
		case Added:
			fmt.Fprintf(&b, "  + %s: %s\n", c.Field, c.After)
		case Removed:
			fmt.Fprintf(&b, "  - %s: %s\n", c.Field, c.Before)
		default:
			fmt.Fprintf(&b, "  - %s: %s\n  + %s: %s\n", c.Field, c.Before, c.Field, c.After)
		}
		if c.Effect != "" {
			fmt.Fprintf(&b, "    effect: %s\n", c.Effect)
		}
	}
	fmt.Fprintf(&b, "objects: %d added, %d removed, %d changed\n", counts[Added], counts[Removed], counts[Changed])
	return b.String()
}
