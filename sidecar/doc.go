// Package sidecar implements the sidecar of a backend server. It connects the store, the backend server's heartbeats,
// the assignment of keys and the request path.
package sidecar
