// Package matcher finds the route of a request by host and longest path prefix, and selects one of the services of the
// route by weight. The package does no I/O.
package matcher
