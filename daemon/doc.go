// Package daemon implements hibiscusd: it connects the state machines of the core packages to sockets, timers and the
// log.
package daemon
