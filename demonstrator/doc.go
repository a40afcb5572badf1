// Package demonstrator runs the fleets of the two users of package settings in one process. It sends load to them while
// the ownership of keys changes and a server crashes, and checks the promises to callers and owners.
package demonstrator
