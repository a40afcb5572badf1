package forwarder

import (
	"context"
	"net/http"
	"time"

	"hibiscusline/carrier"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/timer"
)

// Freshness is what a process knows of how current its routes are.
type Freshness struct {
	// CompleteAt is a time at which no newer configuration was published, or zero if none is known.
	CompleteAt time.Duration
	// Newer is the version of a newer configuration that another process has, or zero.
	Newer uint64
}

const (
	// maxRouteWait bounds how long a request without a route waits for a newer configuration that others have.
	maxRouteWait = 400 * time.Millisecond
	// routeWaitDivisor bounds that wait as a part of the caller's timeout.
	routeWaitDivisor = 4
	// routePollInterval is the wait before the route of such a request is looked up again.
	routePollInterval = 20 * time.Millisecond
)

// UnsureText is the body of the response to a request without a route that a newer configuration may have.
const UnsureText = "no route, and the configuration may be out of date"

// routeLookup is the result of looking up the route of a request.
type routeLookup struct {
	match   matcher.Match
	found   bool
	version uint64
	// loaded means that there is a configuration.
	loaded bool
	fresh  Freshness
	// current means that every configuration that must be in force for the request was searched.
	current bool
}

// findRoute looks up the route of a request. A request without one waits for a moment while a newer configuration, which may
// have it, is on its way.
func (f *Forwarder) findRoute(ctx context.Context, q *carrier.Request, timeout time.Duration) routeLookup {
	wait := maxRouteWait
	if timeout > 0 {
		wait = min(wait, timeout/routeWaitDivisor)
	}
	for {
		l := f.lookUpRoute(q)
		if l.found || l.current || l.fresh.Newer == 0 || timer.Now() >= q.Received+wait {
			return l
		}
		if !timer.Sleep(ctx, routePollInterval) {
			return l
		}
	}
}

func (f *Forwarder) lookUpRoute(q *carrier.Request) routeLookup {
	// The freshness is that of the routes or of earlier ones, since routes are replaced before it grows.
	l := routeLookup{fresh: f.config.Freshness()}
	routes := f.routes.Load()
	if routes == nil {
		return l
	}
	l.loaded, l.version = true, routes.Version
	l.match, l.found = routes.Find(q.Host, q.Target)
	l.current = f.isCurrent(l.fresh, l.version, q.Received)
	return l
}

// Current reports whether every configuration that must be in force for a request that is received at a time is loaded.
func (f *Forwarder) Current(received time.Duration) bool {
	fresh := f.config.Freshness()
	routes := f.routes.Load()
	return routes != nil && f.isCurrent(fresh, routes.Version, received)
}

func (f *Forwarder) isCurrent(fresh Freshness, version uint64, received time.Duration) bool {
	return fresh.Newer <= version && fresh.CompleteAt != 0 && fresh.CompleteAt >= received-f.config.MaxAge
}

// refuseUnrouted returns the response to a request without a route. Callers give up after a 404, so only a process whose
// configuration is current gives that answer.
func (f *Forwarder) refuseUnrouted(q *carrier.Request, id string, l routeLookup) *carrier.Response {
	var r *carrier.Response
	switch {
	case !l.loaded:
		r = unavailable(id, notReadyRetryAfter, "no configuration yet")
	case !l.current:
		r = unavailable(id, notReadyRetryAfter, UnsureText)
	default:
		r = carrier.NewResponse(http.StatusNotFound, "no route")
		platform.SetRequestID(r.Header, id)
	}
	if f.config.Observe != nil {
		f.config.Observe(Summary{Status: r.Status, Elapsed: timer.Now() - q.Received})
	}
	_ = f.config.Logger.Log("event", "request", "id", id, "status", r.Status, "note", "no_route",
		"configuration", l.version, "newer", l.fresh.Newer, "complete", l.fresh.CompleteAt != 0,
		"age_ms", (q.Received - l.fresh.CompleteAt).Milliseconds(), "ms", (timer.Now() - q.Received).Milliseconds())
	return r
}
