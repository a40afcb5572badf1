package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Problem is one error of a configuration.
type Problem struct {
	// Object is the kind and name of the object, such as "service orders".
	Object string
	Field  string
	Value  string
	// Allowed says what the field may hold.
	Allowed string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: field %s is %s; allowed: %s", p.Object, p.Field, p.Value, p.Allowed)
}

// Problems is the error of a configuration that failed its check. It holds every problem found.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Limits of a configuration.
const (
	MaxInitialRanges = 65536
	// MaxRanges bounds the sum of initial ranges over all services. Every process keeps all ranges in memory, some 100
	// bytes each.
	MaxRanges  = 1 << 20
	maxObjects = 10000
)

// Check checks a configuration as a unit. The error, if any, is of type Problems.
func Check(c Configuration) error {
	k := &checker{configuration: c}
	k.checkRanks()
	k.checkServices()
	k.checkRules()
	k.checkKeyRanges()
	k.checkPlacements()
	k.checkPolicy()
	if len(k.problems) == 0 {
		return nil
	}
	return k.problems
}

type checker struct {
	configuration Configuration
	problems      Problems
}

func (k *checker) require(holds bool, object, field string, value any, allowed string) {
	if !holds {
		k.problems = append(k.problems, Problem{Object: object, Field: field, Value: fmt.Sprintf("%#v", value), Allowed: allowed})
	}
}

func (k *checker) requireName(object, name string) {
	valid := name != "" && len(name) <= 64 && strings.IndexFunc(name, invalidNameRune) < 0
	k.require(valid, object, "name", name, "1 to 64 characters of a-z, 0-9, _ and -")
}

func invalidNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' && r != '-'
}

func names[V any](objects map[string]V) string {
	if len(objects) == 0 {
		return "none is defined"
	}
	return strings.Join(slices.Sorted(maps.Keys(objects)), ", ")
}

func (k *checker) checkRanks() {
	c := k.configuration
	k.require(len(c.Ranks) > 0, "configuration", "ranks", len(c.Ranks), "at least one rank")
	floors := 0.0
	urgencies := map[int]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Ranks)) {
		r, object := c.Ranks[name], "rank "+name
		k.requireName(object, name)
		k.require(r.Floor >= 0 && r.Floor <= 1, object, "floor", r.Floor, "0 to 1")
		k.require(r.Target > 0, object, "target", r.Target.Value().String(), "a positive duration")
		k.require(r.Weight >= 0, object, "weight", r.Weight, "0 or more")
		k.require(r.Urgency >= 0 && r.Urgency <= 255, object, "urgency", r.Urgency, "0 to 255")
		other, taken := urgencies[r.Urgency]
		k.require(!taken, object, "urgency", r.Urgency, "a value that rank "+other+" doesn't have")
		urgencies[r.Urgency] = name
		floors += r.Floor
	}
	const tolerance = 1e-9
	k.require(floors <= 1+tolerance, "configuration", "ranks.floor", floors, "floors that add up to at most 1")
}

func (k *checker) checkServices() {
	c := k.configuration
	k.require(len(c.Services) <= maxObjects, "configuration", "services", len(c.Services), fmt.Sprintf("at most %d", maxObjects))
	ranges := 0
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s, object := c.Services[name], "service "+name
		k.requireName(object, name)
		k.require(s.MaxRequest > 0, object, "max_request", s.MaxRequest.Value().String(), "a positive duration")
		k.require(s.IdempotencyWindow >= 0, object, "idempotency_window", s.IdempotencyWindow.Value().String(), "0 or a positive duration")
		if s.Keyed {
			k.require(s.InitialRanges >= 1 && s.InitialRanges <= MaxInitialRanges, object, "initial_ranges", s.InitialRanges,
				fmt.Sprintf("1 to %d for a keyed service", MaxInitialRanges))
		} else {
			k.require(s.InitialRanges == 0, object, "initial_ranges", s.InitialRanges, "0 for a service that is not keyed")
		}
		ranges += s.InitialRanges
		_, present := c.Placements[s.Placement]
		k.require(s.Placement == "" || present, object, "placement", s.Placement, names(c.Placements))
	}
	k.require(ranges <= MaxRanges, "configuration", "services.initial_ranges", ranges, fmt.Sprintf("a sum of at most %d", MaxRanges))
}

func (k *checker) checkRules() {
	c := k.configuration
	seen := map[string]bool{}
	covered := map[string]bool{}
	for _, r := range c.Rules {
		object := "rule " + r.Name
		k.requireName(object, r.Name)
		k.require(!seen[r.Name], object, "name", r.Name, "a name that no other rule has")
		seen[r.Name] = true
		_, service := c.Services[r.Service]
		k.require(service, object, "service", r.Service, names(c.Services))
		_, rank := c.Ranks[r.Rank]
		k.require(rank, object, "rank", r.Rank, names(c.Ranks))
		k.require(r.PathPrefix == "" || strings.HasPrefix(r.PathPrefix, "/"), object, "path_prefix", r.PathPrefix, "empty or starting with /")
		k.require(r.Method == strings.ToUpper(r.Method), object, "method", r.Method, "an HTTP method in capitals, or empty")
		if r.Method == "" && r.PathPrefix == "" {
			covered[r.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		k.require(covered[name], "service "+name, "rules", "without a rule for all requests",
			"a last rule for the service with neither method nor path_prefix")
	}
}

func (k *checker) checkKeyRanges() {
	c := k.configuration
	for _, name := range slices.Sorted(maps.Keys(c.KeyRanges)) {
		r, object := c.KeyRanges[name], "key_range "+name
		k.requireName(object, name)
		s, present := c.Services[r.Service]
		k.require(present && s.Keyed, object, "service", r.Service, "a keyed service")
		k.require(r.Key != "", object, "key", r.Key, "a key that is not empty")
	}
}

func (k *checker) checkPlacements() {
	c := k.configuration
	for _, name := range slices.Sorted(maps.Keys(c.Placements)) {
		p, object := c.Placements[name], "placement "+name
		k.requireName(object, name)
		k.require(p.MaxMovesPerMinute >= 0, object, "max_moves_per_minute", p.MaxMovesPerMinute, "0 or more")
		for _, zone := range p.Zones {
			k.require(zone != "", object, "zones", zone, "zone names that are not empty")
		}
	}
}

func (k *checker) checkPolicy() {
	p := k.configuration.Policy
	k.require(len(p.Operators) > 0, "policy", "operators", len(p.Operators), "at least one operator")
	if p.RequireApproval {
		k.require(len(p.Operators) > 1, "policy", "operators", len(p.Operators), "at least two when require_approval is true")
	}
	for i, name := range p.Operators {
		k.require(name != "" && !slices.Contains(p.Operators[:i], name), "policy", "operators", name, "distinct names that are not empty")
	}
}

// Classify returns the first rule that matches a request. It reports false when the service has none.
func (c *Configuration) Classify(service, method, path string) (Rule, bool) {
	for _, r := range c.Rules {
		if r.Service == service && (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Rule{}, false
}
