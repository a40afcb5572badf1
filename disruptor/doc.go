// Package disruptor is a proxy for TCP and UDP that injects faults between real processes, for tests and experiments.
//
// Faults are set for each direction and may be changed at any time; they apply to existing and new connections. A
// client that connects to the proxy's address reaches the upstream address. Each UDP client address gets its own
// session.
package disruptor
