// Package dispatcher runs requests on the local backend server.
//
// A request is dispatched only while this process owns its key under a valid lease and the request holds a slot of the
// backend server. Every refusal before dispatch is reported as not run. After dispatch, the outcome is either a
// response or unknown.
package dispatcher
