// Package follower keeps a process's copy of the state up to date and shares it with the other parts of the process.
//
// Records come in batches, from the log or from a peer. The follower applies them in order, finds a checkpoint when the
// log no longer reaches back to what was applied, and keeps recent records so that peers can fetch them.
package follower
