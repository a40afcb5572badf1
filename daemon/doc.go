// Package daemon builds hibiscusd: it connects the state machines of the core packages with sockets, timers and the log.
package daemon
