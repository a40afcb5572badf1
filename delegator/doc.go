// Package delegator decides which processes read the store and which of them the other processes fetch its records
// from. It does no I/O.
//
// If every process read the store, the number of calls would grow with the number of processes. A few readers in the
// whole system, one in each availability zone at least, are enough: a process that fetches from a reader also learns when
// the read of the reader began, which is the time that leases run from. Readers are not elected. Each process ranks the
// members of its zone by a hash of their names and fetches from the first ones in turn, and every third time from a
// reader of another zone. A process that finds no reader with recent data reads the store itself, and a reader that the
// store turns away asks the others.
package delegator
