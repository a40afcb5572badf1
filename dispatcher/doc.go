// Package dispatcher runs requests on the backend server beside this process.
//
// A request is dispatched only while this process owns its key under a valid lease, and holds a slot of the backend
// server. Every refusal before dispatch is reported as not run; what happens after it is either an answer or unknown.
package dispatcher
