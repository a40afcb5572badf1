// Package forwarder handles callers' requests. It finds the route and a server, forwards the request to the sidecar of
// that server, retries where that is allowed, and returns the response.
package forwarder
