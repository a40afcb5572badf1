// Package balancer spreads work over the members of a service.
//
// A Chooser picks the member for one request of an unkeyed service. A Sketch counts the requests of an owner's keys and
// ranges in bounded memory. A Planner decides which ranges an owner should hand to other members.
//
// The package does no I/O. Time is an argument: the time since boot, as timer.Now returns it. The types are not safe for
// concurrent use.
package balancer
