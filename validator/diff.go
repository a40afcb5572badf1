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
	// Effect says what follows from the change where that is not plain from the values.
	Effect string `json:"effect,omitempty"`
}

// Diff returns the changes that turn one configuration into another, sorted by object kind, object name and field. It
// returns none exactly when both treat every request alike and name the same objects: the order of rules counts within
// a service only.
func Diff(before, after Configuration) []Change {
	var changes []Change
	changes = diffObjects(changes, "service", before.Services, after.Services)
	changes = diffObjects(changes, "rank", before.Ranks, after.Ranks)
	changes = diffObjects(changes, "rule", rulesByName(before.Rules), rulesByName(after.Rules))
	changes = diffOrders(changes, before.Rules, after.Rules)
	changes = diffObjects(changes, "key_range", before.KeyRanges, after.KeyRanges)
	changes = diffObjects(changes, "placement", before.Placements, after.Placements)
	changes = append(changes, diffFields(Changed, "policy", reflect.ValueOf(before.Policy), reflect.ValueOf(after.Policy))...)
	for i := range changes {
		changes[i].Effect = effectOf(changes[i])
	}
	return changes
}

func diffObjects[V any](changes []Change, kind string, before, after map[string]V) []Change {
	union := maps.Clone(before)
	if union == nil {
		union = map[string]V{}
	}
	maps.Copy(union, after)
	for _, name := range slices.Sorted(maps.Keys(union)) {
		old, was := before[name]
		new, is := after[name]
		change := Changed
		switch {
		case !was:
			change = Added
		case !is:
			change = Removed
		}
		changes = append(changes, diffFields(change, kind+" "+name, reflect.ValueOf(old), reflect.ValueOf(new))...)
	}
	return changes
}

func diffFields(kind ChangeKind, object string, before, after reflect.Value) []Change {
	var changes []Change
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		c := Change{Kind: kind, Object: object, Field: name}
		if kind != Added {
			c.Before = render(before.Field(i))
		}
		if kind != Removed {
			c.After = render(after.Field(i))
		}
		if c.Before != c.After {
			changes = append(changes, c)
		}
	}
	return changes
}

func render(v reflect.Value) string {
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

// diffOrders reports the order of rules of each service in which it changed.
func diffOrders(changes []Change, before, after []Rule) []Change {
	old, new := ordersOf(before), ordersOf(after)
	for _, service := range slices.Sorted(maps.Keys(new)) {
		if _, was := old[service]; was && !slices.Equal(old[service], new[service]) {
			changes = append(changes, Change{
				Kind: Changed, Object: "rules of service " + service, Field: "order",
				Before: render(reflect.ValueOf(old[service])), After: render(reflect.ValueOf(new[service])),
			})
		}
	}
	return changes
}

func ordersOf(rules []Rule) map[string][]string {
	orders := map[string][]string{}
	for _, r := range rules {
		orders[r.Service] = append(orders[r.Service], r.Name)
	}
	return orders
}

func effectOf(c Change) string {
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

// Render returns changes as text, grouped by object. An empty list gives the line "no changes".
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
