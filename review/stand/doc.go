//go:build review

// Command stand runs the cases of the review: it starts hibiscusd sidecar processes as the deploy file does, with
// stand-ins for the platform's store, the backend servers and the callers, and checks what those see.
package main
