// Package emulator provides test stand-ins for the platform's log service and for backend servers.
//
// Both have controls for faults: outages, delays, lost answers, crashes, freezes and misleading reports.
package emulator

//go:generate go tool stringer -type=Outage -linecomment -output=names.go
