// Package granter controls which keys one backend server may serve.
//
// Only the sidecar process of a backend server answers its heartbeats, so that process alone grants it keys. A Granter
// grants the slices that the assignment table assigns to the incarnation of the server, and never beyond the end of the
// lease of the process. The lease runs from the start of the latest read that returned a table without a suspicion of
// the process. A Granter also withdraws slices that have a target, decides which requests may run, and reports which
// slices the server has released.
//
// All times are those of timer.Now. The package does no I/O. A Granter is not safe for concurrent use.
package granter
