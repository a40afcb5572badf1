// Package soaker runs real hibiscusd processes on one machine, injects random faults from outside them, and checks what
// callers and backend servers see. Faults follow each other at random intervals and overlap: processes are killed,
// stopped, paused and told to reload their settings; connections between them and to the store are delayed, reset,
// dropped in one direction, blackholed and silenced; the store is down, loses responses, also on connections that stay
// open, forgets the reads that wait and drops its history; backend servers end, drain and start again; configurations
// change.
//
// Series of faults alternate with calm spells, in which all processes are in touch and a configuration is published.
// Throughout a run, requests for the newest route check that a process in touch has each new configuration in force in
// time, and that no process goes back to an older one.
package soaker
