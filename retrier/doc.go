// Package retrier limits retries: a budget limits their number, and exponential backoff with jitter spreads them over
// time.
//
// Without a budget, clients that retry multiply the load on servers that fail because of overload. The package does no
// I/O; time is an argument.
package retrier
