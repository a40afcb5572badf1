// Package generator sends open-loop load to a fleet and reports the outcome of every request.
//
// Requests are sent at times drawn in advance, whether or not earlier ones were answered, and latency is measured from
// the intended send time. This avoids coordinated omission: a slow fleet can't delay later requests and thereby hide its
// latency.
package generator

//go:generate go tool stringer -type=Arrivals,outcome -linecomment -output=names.go
