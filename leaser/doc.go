// Package leaser holds the lease state machines of a member: the owner side, which keeps the member's own lease alive, and
// the guardian side, which promises not to take over the members that it guards.
//
// A promise binds the guardian for every guardian version of the owner: it attests none of them until the promise has
// expired. The owner serves while every guardian set that may be in force, which is the applied one and each one that it
// has proposed since, contains a guardian with an unexpired promise.
package leaser
