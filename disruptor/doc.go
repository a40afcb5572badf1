// Package disruptor is a proxy for TCP and UDP that injects faults between real processes, for tests and experiments.
//
// Toxics are set for each direction and may be changed at any time; they apply to present and later connections. A client
// that connects to the proxy's address reaches the upstream address. UDP clients get one session each, by their address.
package disruptor
