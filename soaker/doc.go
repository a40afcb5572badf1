// Package soaker runs real hibiscusd processes on one machine, injects random faults from outside them, and checks what
// callers and backend servers see. Faults follow each other at random intervals and overlap: processes are killed,
// stopped, paused and told to reload their settings; connections between them and to the store are delayed, reset,
// dropped in one direction and blackholed; the store is down, loses responses and drops its history; backend servers
// end, drain and start again; configurations change.
package soaker
