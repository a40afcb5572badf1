package executor

import (
	"context"
	"net/http"
	"time"

	"hibiscusline/carrier"
	"hibiscusline/platform"
)

// Identity is the answer of the server to a health check. It is zero if no answer states the instance.
type Identity struct {
	Instance string
	Health   platform.Health
}

// Identify asks the server at the address which instance it is, and how it is, by a health check at a path. An empty path means
// that there is none.
func (g *Executor) Identify(ctx context.Context, path string, timeout time.Duration) Identity {
	if path == "" {
		return Identity{}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A connection from before may have been to another server.
	r, err := g.pool.Exchange(ctx, g.config.Backend, &carrier.Request{
		Method: http.MethodGet, Target: path, Host: g.config.Backend.String(), Header: http.Header{}, NewConn: true,
	})
	if err != nil {
		return Identity{}
	}
	instance, found := platform.DecodeInstance(r.Header)
	if !found {
		return Identity{}
	}
	return Identity{Instance: instance, Health: platform.DecodeHealth(r.Status, r.Header)}
}
