// Package delegator decides which processes read the store and from which of them the others learn. It does no I/O.
//
// Reads by every process cost calls in proportion to their number. A few readers in each availability zone suffice: a process
// that learns from a reader also learns when the reader's read began, which is what leases run from. Nobody elects readers.
// Each process ranks the members of its zone by a hash of their names and asks the first ones, in turn; a process that finds
// no reader with recent knowledge reads the store itself.
package delegator
