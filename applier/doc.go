// Package applier defines the records of the platform's log and the state that results from applying them.
//
// The state is a deterministic fold: two processes that applied the same records hold equal states. A record that is
// not valid in the present state changes nothing but the list of results, where its author reads the reason.
package applier
