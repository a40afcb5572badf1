// Package follower maintains a process's copy of the state and gives the other parts of the process access to it.
//
// Records arrive in batches, from the log or from a peer. The follower applies them in order, restores a checkpoint
// when the log no longer holds the next record, and keeps recent records so that peers can fetch them.
package follower
