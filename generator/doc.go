// Package generator sends open-loop load to a fleet and reports what became of every request.
//
// Requests leave at times drawn in advance, whether or not earlier ones were answered, and latency counts from the
// intended time. A slow fleet therefore can't slow down its own measurement.
package generator

//go:generate go tool stringer -type=Arrivals,outcome -linecomment -output=names.go
