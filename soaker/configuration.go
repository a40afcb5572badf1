package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hibiscusline/forwarder"
	"hibiscusline/loader"
	"hibiscusline/platform/simulator"
	"hibiscusline/timer"
)

// probeInterval is the time between two requests for the newest route at each process.
const probeInterval = 100 * time.Millisecond

// configurations checks from the responses of the processes that each new configuration is in force in time and stays in
// force. It is safe for concurrent use.
type configurations struct {
	// bound is how soon after its acknowledgement a configuration must be in force at a process that is in touch.
	bound time.Duration

	mu sync.Mutex
	// version is the newest version whose publication has begun, and acknowledged when the store acknowledged it, or zero.
	version      int
	acknowledged time.Time
	served       map[*node]servedVersion
	// late is the longest time after which a process lacked a version. Only probes beyond the bound count.
	late      map[lateVersion]time.Duration
	regressed []string
	// checks is the number of probes that were answered by processes of which the bound required the newest version.
	checks int
}

// servedVersion is the newest version that a process has served, and the lifetime of the process in which it did.
type servedVersion struct{ version, lifetime int }

type lateVersion struct {
	version int
	node    *node
	status  int
}

// probe is a request for the route that only the newest version has.
type probe struct {
	node              *node
	version, lifetime int
	sent              time.Time
	// age is for how long the version had been acknowledged, and inTouch whether the process was in touch.
	age     time.Duration
	inTouch bool
}

func newConfigurations() *configurations {
	return &configurations{
		bound:  loader.DefaultSidecarSettings().Bounds.Configuration,
		served: map[*node]servedVersion{}, late: map[lateVersion]time.Duration{},
	}
}

// publish publishes the next version.
func (c *configurations) publish(send func(version int) error) error {
	c.mu.Lock()
	c.version++
	c.acknowledged = time.Time{}
	version := c.version
	c.mu.Unlock()
	if err := send(version); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = time.Now()
	return nil
}

// route returns the path of the route that only a version has.
func route(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (c *configurations) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// newProbe returns the probe of a node that is sent now.
func (c *configurations) newProbe(n *node, t *touch) probe {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := probe{node: n, version: c.version, lifetime: n.currentLifetime(), sent: time.Now()}
	_, p.inTouch = t.since(n, p.sent)
	if !c.acknowledged.IsZero() {
		p.age = p.sent.Sub(c.acknowledged)
	}
	return p
}

// check checks the response to a probe. A probe says nothing if the process was started again or the next
// version was published before the response.
//
// A process that refuses the request since its configuration may be out of date doesn't have the version either.
func (c *configurations) check(p probe, r simulator.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != p.version || p.node.currentLifetime() != p.lifetime {
		return
	}
	due := p.inTouch && p.age > c.bound
	unsure := r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, forwarder.UnsureText)
	switch {
	case r.Status == http.StatusOK:
		c.served[p.node] = servedVersion{p.version, p.lifetime}
	case r.Status == http.StatusNotFound, unsure:
		if c.served[p.node] == (servedVersion{p.version, p.lifetime}) {
			c.regressed = append(c.regressed, fmt.Sprintf("%s got status %d at %s at %s, after the same process had served it",
				route(p.version), r.Status, p.node.settings.Name, p.sent.Format(clockFormat)))
		}
		if due {
			k := lateVersion{p.version, p.node, r.Status}
			c.late[k] = max(c.late[k], p.age)
		}
	default:
		return
	}
	if due {
		c.checks++
	}
}

func (c *configurations) problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	problems := slices.Clone(c.regressed)
	for k, age := range c.late {
		problems = append(problems, fmt.Sprintf("%s got status %d at %s %v after its acknowledgement, which allows %v in touch",
			route(k.version), k.status, k.node.settings.Name, age.Round(time.Millisecond), c.bound))
	}
	slices.Sort(problems)
	return problems
}

// publish puts the next configuration into the store. The path of its last route has the version.
func (s *soakRun) publish() error {
	return s.configurations.publish(func(version int) error {
		return s.store.Publish(version, "h", []simulator.Route{
			{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"},
			{Name: "orders", Prefix: "/orders/", Kind: "non_idempotent", Service: "orders"},
			{Name: "newest", Prefix: route(version), Kind: "idempotent", Service: "orders"},
		}, map[string]bool{"stock": true, "orders": false})
	})
}

// probeNode requests the newest route at a process until the context ends.
func (s *soakRun) probeNode(ctx context.Context, n *node) {
	for timer.Sleep(ctx, probeInterval) {
		p := s.configurations.newProbe(n, &s.touch)
		r := s.caller.Send(n.settings.Listen, http.MethodGet, route(p.version)+"x", simulator.NoKey)
		s.configurations.check(p, r)
		if r.Status != http.StatusNotFound {
			s.record(r, false)
		}
	}
}
