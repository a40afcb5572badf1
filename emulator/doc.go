// Package emulator provides test stand-ins for the platform's log service and for backend servers.
//
// Both inject faults on request: outages, delays, lost responses, crashes, freezes and misleading load reports. Log and
// Server serve HTTP. The Ledger of a Server records every execution, so that CheckInvariants can verify afterwards what
// ran.
package emulator

//go:generate go tool stringer -type=Outage,Distribution,LoadReport,Failure,Status -linecomment -output=names.go
