package executor

import (
	"context"
	"net/http"
	"time"

	"hibiscusline/carrier"
	"hibiscusline/platform"
)

// Identify asks the server at the address which instance it is, by a health check at a path. It reports false if there is no
// path or no response that says so.
func (g *Executor) Identify(ctx context.Context, path string, timeout time.Duration) (instance string, found bool) {
	if path == "" {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A connection from before may have been to another server.
	r, err := g.pool.Exchange(ctx, g.config.Backend, &carrier.Request{
		Method: http.MethodGet, Target: path, Host: g.config.Backend.String(), Header: http.Header{}, NewConn: true,
	})
	if err != nil {
		return "", false
	}
	return platform.DecodeInstance(r.Header)
}
