// Package leaser implements the lease state machine of a member: the owner side, which keeps the member's own lease
// valid, and the guardian side, which promises not to take over the members that it guards.
//
// A promise holds for every guardian version of the owner: until it expires, the guardian attests none of them. The
// owner serves while every guardian set that may be in force, which is the applied one and each one that it has
// proposed since, contains a guardian with an unexpired promise.
package leaser
