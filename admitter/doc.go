// Package admitter decides which requests may use the slots of one backend server, in which order, and which are refused.
//
// Every rank has a queue. Urgent ranks are served first, but a rank with a floor and waiting work is owed its floor as a
// share of slot time and goes first while it is owed any. A request that can't finish before its deadline is refused
// instead of started, so that a flood doesn't fill the slots with work whose result nobody waits for.
//
// The package does no I/O. Time is an argument: the time since boot, as timer.Now returns it.
package admitter
