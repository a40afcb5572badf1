// Package registrar maintains a process's copy of the shared records: the members of the system and the assignment
// tables.
//
// The records are stored in one compacted topic. The store keeps the newest record of each key indefinitely, so the
// copy needs no history. A process receives records by reading the store and from other processes; the record with the
// highest offset wins. The package does no I/O.
package registrar
