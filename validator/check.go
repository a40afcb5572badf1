package validator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Problem is one error of a configuration.
type Problem struct {
	// Object is the kind and name of the object, such as "service orders".
	Object string
	Field  string
	Value  string
	// Allowed describes the allowed values.
	Allowed string
	// Line is the line of the value in the document that was parsed, or zero when it is not known.
	Line int
}

// String returns the problem in one line.
func (p Problem) String() string {
	text := p.Object + ": "
	if p.Field != "" {
		text += "field " + p.Field + " "
	}
	text += fmt.Sprintf("is %s; allowed: %s", p.Value, p.Allowed)
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Problems is the error of a configuration that failed validation. It holds every problem found.
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
	// MaxRanges bounds the sum of initial ranges over all services. Every process keeps all ranges in memory, at about
	// 100 bytes each.
	MaxRanges    = 1 << 20
	maxObjects   = 10000
	maxTextBytes = 1024
)

// description is a value that a problem shows without quotes, because it isn't a literal of the document.
type description string

// Check validates a configuration, including references between its objects. The error, if any, is of type Problems.
func Check(c Configuration) error {
	k := &checker{configuration: c}
	k.checkCounts()
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
	if holds {
		return
	}
	shown := fmt.Sprintf("%#v", value)
	if text, ok := value.(description); ok {
		shown = string(text)
	}
	k.problems = append(k.problems, Problem{Object: object, Field: field, Value: shown, Allowed: allowed})
}

func (k *checker) requireName(object, name string) {
	k.require(validName(name), object, "name", name, nameForm)
}

const nameForm = "1 to 64 characters of a-z, 0-9, _ and -"

func validName(name string) bool {
	return name != "" && len(name) <= 64 && strings.IndexFunc(name, invalidNameRune) < 0
}

func (k *checker) checkCounts() {
	c := k.configuration
	for _, section := range []struct {
		name  string
		count int
	}{
		{"services", len(c.Services)},
		{"rules", len(c.Rules)},
		{"key_ranges", len(c.KeyRanges)},
		{"placements", len(c.Placements)},
	} {
		k.require(section.count <= maxObjects, "configuration", section.name, section.count, fmt.Sprintf("at most %d", maxObjects))
	}
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
	floorSum := 0.0
	rankByUrgency := map[int]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Ranks)) {
		r, object := c.Ranks[name], "rank "+name
		k.requireName(object, name)
		k.require(r.Floor >= 0 && r.Floor <= 1, object, "floor", r.Floor, "0 to 1")
		k.require(r.LatencyTarget > 0, object, "target", r.LatencyTarget.Value().String(), "a positive duration")
		k.require(r.Weight >= 0 && !math.IsInf(r.Weight, 1), object, "weight", r.Weight, "0 or more")
		k.require(r.Urgency >= 0 && r.Urgency <= 255, object, "urgency", r.Urgency, "0 to 255")
		other, taken := rankByUrgency[r.Urgency]
		k.require(!taken, object, "urgency", r.Urgency, "a value that rank "+other+" doesn't have")
		rankByUrgency[r.Urgency] = name
		floorSum += r.Floor
	}
	const tolerance = 1e-9
	k.require(floorSum <= 1+tolerance, "configuration", "ranks.floor", floorSum, "floors that add up to at most 1")
}

func (k *checker) checkServices() {
	c := k.configuration
	ranges := 0
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s, object := c.Services[name], "service "+name
		k.requireName(object, name)
		k.require(s.NestedShare >= 0 && s.NestedShare <= 0.5, object, "nested_share", s.NestedShare, "0 to 0.5")
		k.require(s.MaxRequestTime > 0, object, "max_request", s.MaxRequestTime.Value().String(), "a positive duration")
		// With a shorter window, a retried request could run while the first attempt is still running.
		k.require(s.IdempotencyWindow == 0 || s.IdempotencyWindow >= s.MaxRequestTime, object, "idempotency_window",
			s.IdempotencyWindow.Value().String(), "0, or at least max_request")
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
	ruleByMatcher := map[requestMatcher]string{}
	for i, r := range c.Rules {
		object := ruleObject(i, r)
		k.requireName(object, r.Name)
		k.require(!seen[r.Name], object, "name", r.Name, "a name that no other rule has")
		seen[r.Name] = true
		_, serviceFound := c.Services[r.Service]
		k.require(serviceFound, object, "service", r.Service, names(c.Services))
		_, rankFound := c.Ranks[r.Rank]
		k.require(rankFound, object, "rank", r.Rank, names(c.Ranks))
		k.require(r.PathPrefix == "" || strings.HasPrefix(r.PathPrefix, "/") && len(r.PathPrefix) <= maxTextBytes, object, "path_prefix",
			r.PathPrefix, fmt.Sprintf("empty, or starting with / and at most %d bytes", maxTextBytes))
		k.require(strings.IndexFunc(r.Method, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0, object, "method", r.Method,
			"an HTTP method in capitals, or empty for all")
		k.checkReachable(object, r, ruleByMatcher)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		_, covered := ruleByMatcher[requestMatcher{service: name}]
		k.require(covered, "service "+name, "rules", description("without a rule for all requests"),
			"a last rule for the service with neither method nor path_prefix")
	}
}

// requestMatcher holds the conditions by which a rule selects requests.
type requestMatcher struct{ service, method, prefix string }

// checkReachable reports a rule that never applies, because an earlier rule of the same service matches all of its
// requests. It looks up every prefix of the rule's path, which keeps the check linear in the number of rules.
func (k *checker) checkReachable(object string, r Rule, ruleByMatcher map[requestMatcher]string) {
	for end := range min(len(r.PathPrefix), maxTextBytes) + 1 {
		for _, method := range []string{"", r.Method} {
			earlier, shadowed := ruleByMatcher[requestMatcher{r.Service, method, r.PathPrefix[:end]}]
			if shadowed {
				k.require(false, object, "position", description("behind rule "+earlier+", which matches all of its requests"),
					"a position before rule "+earlier)
				return
			}
		}
	}
	ruleByMatcher[requestMatcher{r.Service, r.Method, r.PathPrefix}] = r.Name
}

func ruleObject(index int, r Rule) string {
	if r.Name == "" {
		return fmt.Sprintf("rule number %d", index+1)
	}
	return "rule " + r.Name
}

func (k *checker) checkKeyRanges() {
	c := k.configuration
	nameByRange := map[KeyRange]string{}
	for _, name := range slices.Sorted(maps.Keys(c.KeyRanges)) {
		r, object := c.KeyRanges[name], "key_range "+name
		k.requireName(object, name)
		s, present := c.Services[r.Service]
		k.require(present && s.Keyed, object, "service", r.Service, "a keyed service")
		k.require(r.Key != "" && len(r.Key) <= maxTextBytes, object, "key", r.Key,
			fmt.Sprintf("a key of 1 to %d bytes", maxTextBytes))
		other, taken := nameByRange[r]
		k.require(!taken, object, "key", r.Key, "a key that key_range "+other+" doesn't name")
		nameByRange[r] = name
	}
}

func (k *checker) checkPlacements() {
	c := k.configuration
	for _, name := range slices.Sorted(maps.Keys(c.Placements)) {
		p, object := c.Placements[name], "placement "+name
		k.requireName(object, name)
		k.require(p.MaxMovesPerMinute >= 0, object, "max_moves_per_minute", p.MaxMovesPerMinute, "0 or more")
		for i, zone := range p.Zones {
			k.require(validName(zone), object, "zones", zone, "zone names: "+nameForm)
			k.require(!slices.Contains(p.Zones[:i], zone), object, "zones", zone, "each zone once")
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
		k.require(name != "" && len(name) <= maxTextBytes && !slices.Contains(p.Operators[:i], name), "policy", "operators",
			name, "distinct names that are not empty")
	}
}

// MatchRule returns the first rule that matches a request. It reports false when the service has none.
func (c *Configuration) MatchRule(service, method, path string) (Rule, bool) {
	for _, r := range c.Rules {
		if r.Service == service && (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Rule{}, false
}
