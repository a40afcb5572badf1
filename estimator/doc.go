// Package estimator estimates how long work takes at each backend server of a service now, from the service times that the
// processes beside the servers measure and from what the servers say of themselves.
//
// A server says how long work takes at present, as a multiple of the usual time. What counts is the ratio to the average of what
// the same server said before, within limits, so a server that always says the same changes nothing, whatever it says. The ratio
// fades to one as the report ages, and what remains is the measured mean.
//
// The package does no I/O. The current time is an argument: the time since boot, as timer.Now returns it. The types are not safe
// for concurrent use.
package estimator
