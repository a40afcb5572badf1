package validator_test

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hibiscusline/seeder"
	"hibiscusline/validator"
)

func readExample(t *testing.T, name string) validator.Configuration {
	data, err := os.ReadFile(filepath.Join("..", "settings", name))
	require.NoError(t, err)
	c, err := validator.Parse(data)
	require.NoError(t, err)
	return c
}

// TestExamples guards against example configurations that are invalid or whose ranks have the wrong order.
func TestExamples(t *testing.T) {
	for _, name := range []string{"vatilaane.json", "karri-ridge.json"} {
		c := readExample(t, name)
		require.Less(t, c.Ranks["order"].Urgency, c.Ranks["stock"].Urgency)
		require.Less(t, c.Ranks["stock"].Urgency, c.Ranks["pattern"].Urgency)
		require.Len(t, c.Services, 3)
		require.Len(t, c.Policy.Operators, 2)
	}
}

// TestParseReportsEverything guards against a parser that stops at the decoding errors or reports one error twice, as a
// decoding and as a validation error.
func TestParseReportsEverything(t *testing.T) {
	for name, document := range map[string]string{
		"empty":    `{}`,
		"syntax":   `{"services": `,
		"sections": `{"services": [], "ranks": null, "rules": [{"name": "r", "service": "s", "rank": "k"}], "policy": {"operators": ["a"], "require_approval": true}}`,
		"objects": `{
			"services": {
				"s": {"keyed": true, "initial_ranges": 0, "max_request": "2s", "idempotency_window": "1s", "placement": "none"},
				"u": {"keyed": false, "initial_ranges": 4, "max_request": 5},
				"Bad Name": {"keyed": "yes", "max_request": "-1s"},
			},
			"ranks": {
				"k": {"urgency": 1, "floor": 0.7, "target": "1s"},
				"l": {"urgency": 1, "floor": 0.7, "target": "0s", "weight": -1, "colour": 1},
				"m": {"urgency": 300, "floor": 1.5, "target": "1s"},
			},
			"rules": [
				{"name": "a", "service": "s", "method": "GET", "path_prefix": "/x", "rank": "k"},
				{"name": "b", "service": "s", "method": "GET", "path_prefix": "/x/y", "rank": "absent"},
				{"name": "c", "service": "s", "rank": 1},
				{"name": "c", "service": "s", "method": "post", "path_prefix": "x", "rank": "k"},
				{"service": "absent", "rank": "k"},
			],
			"key_ranges": {
				"one": {"service": "s", "key": "hot"}, "two": {"service": "s", "key": "hot"}, "three": {"service": "u", "key": ""},
			},
			"placements": {"p": {"zones": ["A", "b", "b"], "max_moves_per_minute": -1}},
			"policy": {"operators": ["a", "a", ""], "require_approval": true},
			"policies": {},
		}`,
	} {
		_, err := validator.Parse([]byte(document))
		var problems validator.Problems
		require.ErrorAs(t, err, &problems)
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

// TestDiffText guards the text that operators read before they approve a change.
func TestDiffText(t *testing.T) {
	before, after := readExample(t, "vatilaane.json"), readExample(t, "vatilaane.json")
	delete(after.Services, "pattern-archive")
	delete(after.KeyRanges, "wool-queen-bolt")
	after.Rules = slices.DeleteFunc(after.Rules, func(r validator.Rule) bool { return r.Service == "pattern-archive" })
	after.Rules[0], after.Rules[1] = after.Rules[1], after.Rules[0]
	rank := after.Ranks["order"]
	rank.Floor, rank.LatencyTarget = 0.5, validator.Duration(time.Second)
	after.Ranks["order"] = rank
	after.Placements["zone-a"] = validator.Placement{Zones: []string{"zone-a"}, MaxMovesPerMinute: 3}
	after.Policy.RequireApproval = false
	goldie.New(t).Assert(t, "diff", []byte(validator.Render(validator.Diff(before, after))))
	require.Equal(t, "no changes\n", validator.Render(validator.Diff(before, before)))
}

func drawConfiguration(t *rapid.T, label string) validator.Configuration {
	c := validator.Configuration{
		Services: map[string]validator.Service{},
		Ranks:    map[string]validator.Rank{},
		Policy: validator.Policy{
			Operators:       rapid.SliceOfNDistinct(rapid.StringN(1, 8, 32), 2, 3, rapid.ID[string]).Draw(t, label+" operators"),
			RequireApproval: rapid.Bool().Draw(t, label+" approval"),
		},
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	for i, rank := range rapid.SliceOfNDistinct(name, 1, 3, rapid.ID[string]).Draw(t, label+" ranks") {
		c.Ranks[rank] = validator.Rank{
			Urgency: i, Floor: rapid.Float64Range(0, 0.3).Draw(t, "floor"), Weight: rapid.Float64Min(0).Filter(finite).Draw(t, "weight"),
			LatencyTarget: validator.Duration(rapid.Int64Range(1, 1<<62).Draw(t, "target")),
		}
	}
	for _, service := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, label+" services") {
		s := validator.Service{MaxRequestTime: validator.Duration(rapid.Int64Range(1, 1<<50).Draw(t, "max request"))}
		if s.Keyed = rapid.Bool().Draw(t, "keyed"); s.Keyed {
			s.InitialRanges = rapid.IntRange(1, 9).Draw(t, "ranges")
			c.KeyRanges = map[string]validator.KeyRange{"hot": {Service: service, Key: rapid.StringN(1, 9, 99).Draw(t, "key")}}
		}
		c.Services[service] = s
		for _, rank := range slices.Sorted(maps.Keys(c.Ranks)) {
			c.Rules = append(c.Rules, validator.Rule{Name: service + rank, Service: service, PathPrefix: "/" + rank, Rank: rank})
		}
		c.Rules = append(c.Rules, validator.Rule{Name: service, Service: service, Rank: slices.Sorted(maps.Keys(c.Ranks))[0]})
	}
	return c
}

func finite(f float64) bool { return f <= 1e300 }

// TestEncodeParses guards against an encoded configuration that can't be parsed or that differs after a round trip.
func TestEncodeParses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfiguration(t, "before"), drawConfiguration(t, "after")
		first, err := validator.Encode(before)
		require.NoError(t, err)
		parsed, err := validator.Parse(first)
		require.NoError(t, err)
		again, err := validator.Encode(parsed)
		require.NoError(t, err)
		require.Equal(t, string(first), string(again))
		require.Empty(t, validator.Diff(before, parsed))
		requireChangesApply(t, before, after)
		requireDiffComplete(t, before, after)
	})
}

// requireChangesApply guards against changes that produce another configuration than the validated one, and against
// modifying the configuration that they are applied to.
func requireChangesApply(t *rapid.T, before, after validator.Configuration) {
	old, err := validator.Encode(before)
	require.NoError(t, err)
	data, err := cbor.Marshal(validator.ChangesBetween(before, after))
	require.NoError(t, err)
	var changes validator.Changes
	require.NoError(t, cbor.Unmarshal(data, &changes))
	got, err := changes.ApplyTo(before)
	require.NoError(t, err)
	want, err := validator.Encode(after)
	require.NoError(t, err)
	encoded, err := validator.Encode(got)
	require.NoError(t, err)
	require.Equal(t, string(want), string(encoded))
	unchanged, err := validator.Encode(before)
	require.NoError(t, err)
	require.Equal(t, string(old), string(unchanged))
	for _, r := range []validator.RuleChange{{First: -1}, {First: 99}, {Removed: 99}, {First: 1, Removed: math.MaxInt}} {
		_, err := validator.Changes{Rules: &r}.ApplyTo(before)
		require.Error(t, err)
	}
}

// requireDiffComplete guards against a change that the diff leaves out, so that an operator would approve it unseen.
func requireDiffComplete(t *rapid.T, before, after validator.Configuration) {
	for _, c := range []*validator.Configuration{&before, &after} {
		slices.SortStableFunc(c.Rules, func(a, b validator.Rule) int { return strings.Compare(a.Service, b.Service) })
	}
	old, err := validator.Encode(before)
	require.NoError(t, err)
	new, err := validator.Encode(after)
	require.NoError(t, err)
	require.Equal(t, string(old) == string(new), len(validator.Diff(before, after)) == 0)
}
