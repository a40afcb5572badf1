// Package executor executes requests on the backend server of the sidecar. All requests to that server go through it:
// it admits each request by rank and deadline, checks that the server may run it, sends it once, and reports the
// outcome.
package executor
