// Package retrier limits retries: a budget bounds how many there are, and a jittered back-off spreads them in time.
//
// Without a budget, callers that retry multiply the load on servers that fail because of load. The package does no I/O;
// time is an argument.
package retrier
