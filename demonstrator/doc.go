// Package demonstrator runs the fleets of both users in one process, loads them while ownership changes and a server is
// lost, and checks the promises to callers and owners.
package demonstrator
