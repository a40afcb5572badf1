// Package balancer distributes requests and key ranges over the members of a service.
//
// A Chooser selects the member for each request of an unkeyed service. A Sketch measures the request rates of an
// owner's keys and ranges in bounded memory. A Planner decides which ranges an owner moves to other members, splits or
// merges.
//
// The package does no I/O. The current time is an argument: the time since boot, as timer.Now returns it. The types
// are not safe for concurrent use.
package balancer
