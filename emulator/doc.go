// Package emulator provides test stand-ins for the platform's log service and for backend servers.
//
// Both have controls for faults: outages, delays, lost answers, crashes, freezes and misleading reports. Log and Server
// serve HTTP; the ledger of a Server records every execution, so that an experiment can judge afterwards what ran.
package emulator

//go:generate go tool stringer -type=Outage,Distribution,LoadReport,Failure,Status -linecomment -output=names.go
