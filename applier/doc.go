// Package applier defines the records of the platform's log and the state that results from applying them.
//
// The state is that of a deterministic state machine: two processes that applied the same records hold equal states. A
// record that is not valid in the current state changes only the list of results, from which its author reads the
// reason. Error texts of rejected records are therefore part of the state.
package applier
