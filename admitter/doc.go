// Package admitter decides which requests may use the slots of one backend server, in which order, and which requests
// are refused.
//
// Each rank has its own queue. Ranks are served in order of urgency, but a rank with a floor, a guaranteed share of
// slot time, accumulates credit while it has waiting requests and is served first while its credit is positive. A
// request that cannot finish before its deadline is refused instead of started, so that an overload does not fill the
// slots with work whose result no caller waits for.
//
// The package does no I/O. Callers pass the time since boot, as timer.Now returns it.
package admitter
