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

// Kind determines whether a request may be executed more than once.
type Kind uint8

// Kinds. A download is idempotent and has a large response. An upload is not idempotent and has a large request.
const (
	Idempotent    Kind = iota // idempotent
	NonIdempotent             // non_idempotent
	Download                  // download
	Upload                    // upload
)

// Repeatable reports whether a request may be executed more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Share is a service and its relative weight in a route.
type Share struct {
	Service string
	Weight  float64
}

// Route directs requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its response. Zero means no limit.
	Timeout time.Duration
	// Target is the target latency of the requests.
	Target time.Duration
	// Priority is the urgency of the requests. Zero is the most urgent.
	Priority int
	// Attempts is the maximum number of backend servers that a request may be sent to.
	Attempts int
	Split    []Share
}

// Rank returns the name of the priority class of the route. Routes with the same priority, kind and target in
// milliseconds share a rank.
func (r *Route) Rank() string {
	return fmt.Sprintf("%d-%s-%d", r.Priority, r.Kind, r.Target.Milliseconds())
}

// Service is a service that routes refer to.
type Service struct {
	Name string
	// Keyed means that the keys of the service are divided among its backend servers.
	Keyed bool
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one backend server.
	MaxConnections int
	// WarmUp is how long keys are slow to serve after they have moved without handover.
	WarmUp time.Duration
	// ColdTime is how long a backend server is cold after its start, and ColdRate the number of requests per second that it
	// tolerates meanwhile. Zero means that the servers are never cold.
	ColdTime time.Duration
	ColdRate float64
}

// Limits holds size limits, in bytes, and timeouts for client requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Unrecognized describes the parts that this version doesn't know. They are treated as strictly as possible.
	Unrecognized []string
}

// Table looks up the routes of one configuration. It is safe for concurrent use.
type Table struct {
	Configuration
	byHost map[string][]*routeEntry
}

type routeEntry struct {
	route       *Route
	rank        string
	totalWeight float64
	// splitState is the latest number of the sequence that distributes requests by weight.
	splitState atomic.Uint64
}

// Match is the result of a route lookup.
type Match struct {
	Route *Route
	// Rank is the result of Route.Rank.
	Rank string
	// Service is the selected service.
	Service Service
}

// New returns the Table of a configuration. The seed sets the start of the sequences that distribute requests by
// weight.
func New(c Configuration, seed uint64) *Table {
	t := &Table{Configuration: c, byHost: map[string][]*routeEntry{}}
	for i := range c.Routes {
		r := &t.Routes[i]
		e := &routeEntry{route: r, rank: r.Rank()}
		for _, s := range r.Split {
			e.totalWeight += s.Weight
		}
		e.splitState.Store(seed)
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], e)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *routeEntry) int {
			return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix))
		})
	}
	return t
}

// Find returns the route of a request, given the value of its Host header field and its request target.
func (t *Table) Find(host, target string) (Match, bool) {
	host = strings.ToLower(host)
	list, found := t.byHost[host]
	if !found {
		if name, _, hasPort := strings.Cut(host, ":"); hasPort {
			list = t.byHost[name]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	for _, e := range list {
		if strings.HasPrefix(path, e.route.Prefix) {
			return Match{Route: e.route, Rank: e.rank, Service: t.Services[e.nextService()]}, true
		}
	}
	return Match{}, false
}

// splitStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are evenly distributed, so that each service
// receives its share within a few requests.
const splitStep = 0x9e3779b97f4a7c15

// nextService returns the name of the service for the next request of the route.
func (e *routeEntry) nextService() string {
	split := e.route.Split
	if len(split) == 1 {
		return split[0].Service
	}
	point := float64(e.splitState.Add(splitStep)) / (1 << 64) * e.totalWeight
	for _, s := range split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return split[len(split)-1].Service
}
