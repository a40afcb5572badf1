package matcher

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment -output=names.go

// Kind says how often a request may run.
type Kind uint8

// Kinds. A download is idempotent and has a large response.
const (
	Idempotent    Kind = iota // idempotent
	NonIdempotent             // non_idempotent
	Download                  // download
)

// Share is a part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route sends requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer. Zero means none.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Priority is the rank of the requests, zero for the most urgent ones.
	Priority int
	// Attempts is the number of backend servers to which a request may be sent.
	Attempts int
	Split    []Share
}

// Rank names the class of work of a route: requests of one rank have the same urgency and target.
func (r *Route) Rank() string {
	return fmt.Sprintf("%d-%s-%d", r.Priority, r.Kind, r.Target.Milliseconds())
}

// Service is a service that requests are sent to.
type Service struct {
	Name string
	// Keyed means that the service is divided by key.
	Keyed bool
	// HealthPath is the path of its health check.
	HealthPath string
	// MaxConnections bounds the connections to one backend server.
	MaxConnections int
	// WarmUp is how long keys are slow that come without handover.
	WarmUp time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one version of the routes.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table finds routes of one configuration. It is safe for concurrent use.
type Table struct {
	Configuration
	byHost map[string][]*entry
}

type entry struct {
	route *Route
	rank  string
	sum   float64
	turn  atomic.Uint64
}

// Match is the route of a request.
type Match struct {
	Route *Route
	// Rank is Route.Rank().
	Rank string
	// Service is the service that the request goes to.
	Service Service
}

// New returns the Table of a configuration. The seed sets where the turns of weighted splits begin.
func New(c Configuration, seed uint64) *Table {
	t := &Table{Configuration: c, byHost: map[string][]*entry{}}
	for i := range c.Routes {
		r := &t.Routes[i]
		e := &entry{route: r, rank: r.Rank()}
		for _, s := range r.Split {
			e.sum += s.Weight
		}
		e.turn.Store(seed)
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], e)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)) })
	}
	return t
}

// Find returns the route of a request by the value of its Host field and its request target.
func (t *Table) Find(host, target string) (Match, bool) {
	host = strings.ToLower(host)
	list, found := t.byHost[host]
	if !found {
		if name, _, ported := strings.Cut(host, ":"); ported {
			list = t.byHost[name]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	for _, e := range list {
		if strings.HasPrefix(path, e.route.Prefix) {
			return Match{Route: e.route, Rank: e.rank, Service: t.Services[e.next()]}, true
		}
	}
	return Match{}, false
}

// turnStep is the golden ratio of 2^64. Multiples of it fill the circle evenly, so that each share of a split is met within
// a few requests.
const turnStep = 0x9e3779b97f4a7c15

func (e *entry) next() string {
	split := e.route.Split
	if len(split) == 1 {
		return split[0].Service
	}
	at := float64(e.turn.Add(turnStep)) / (1 << 64) * e.sum
	for _, s := range split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return split[len(split)-1].Service
}
