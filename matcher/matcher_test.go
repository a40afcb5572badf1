package matcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/matcher"
)

func configuration() matcher.Configuration {
	only := func(s string) []matcher.Share { return []matcher.Share{{Service: s, Weight: 1}} }
	return matcher.Configuration{
		Services: map[string]matcher.Service{
			"stock": {Name: "stock", Keyed: true}, "orders": {Name: "orders"}, "new": {Name: "new"},
		},
		Routes: []matcher.Route{
			{Name: "root", Host: "a.example", Prefix: "/", Split: only("stock"), Priority: 2, Target: time.Second},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Split: only("orders"), Kind: matcher.NonIdempotent},
			{Name: "middle", Host: "a.example", Prefix: "/x/", Split: only("new")},
			{Name: "split", Host: "b.example", Prefix: "/", Split: []matcher.Share{{"orders", 90}, {"new", 10}}},
		},
	}
}

// TestFind guards against requests that match a shorter prefix or another host, or that go to a service that the route
// does not name.
func TestFind(t *testing.T) {
	table := matcher.New(configuration(), 0)
	for target, route := range map[string]string{
		"/": "root", "/x": "root", "/xy/": "root", "/x/": "middle", "/x/y": "middle", "/x/y/": "deep", "/x/y/z?q=/": "deep",
		"/?p=/x/y/": "root",
	} {
		m, found := table.Find("A.example", target)
		require.True(t, found, target)
		require.Equal(t, route, m.Route.Name, target)
	}
	m, found := table.Find("a.example:8080", "/x/y/")
	require.True(t, found)
	require.Equal(t, "orders", m.Service.Name)
	_, found = table.Find("c.example", "/")
	require.False(t, found)
}

// TestSplit guards against a distribution that deviates from the weights within a few hundred requests, for any seed.
func TestSplit(t *testing.T) {
	for seed := range uint64(5) {
		table := matcher.New(configuration(), seed<<61)
		counts := map[string]int{}
		for range 200 {
			m, found := table.Find("b.example", "/")
			require.True(t, found)
			counts[m.Service.Name]++
		}
		require.InDelta(t, 20, counts["new"], 2)
	}
}

// TestRanks guards against several ranks for requests of the same urgency, kind and target, and against one rank for
// requests that differ in them.
func TestRanks(t *testing.T) {
	c := configuration()
	var ranks []string
	for i := range c.Routes {
		if name := c.Routes[i].Rank(); !slices.Contains(ranks, name) {
			ranks = append(ranks, name)
		}
	}
	require.Len(t, ranks, 3)
	require.Contains(t, ranks, "2-idempotent-1000")
	r := c.Routes[0]
	r.Name, r.Prefix, r.Attempts, r.Split = "other", "/other/", 7, nil
	require.Equal(t, c.Routes[0].Rank(), r.Rank())
	r.Target++
	require.Equal(t, c.Routes[0].Rank(), r.Rank(), "targets are compared in whole milliseconds")
	r.Target += time.Millisecond
	require.NotEqual(t, c.Routes[0].Rank(), r.Rank())
}
