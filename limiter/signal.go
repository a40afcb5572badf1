package limiter

import "time"

//go:generate go tool stringer -type=Source -linecomment -output=names.go

// Source is where the knowledge comes from that a server is cold or warm.
type Source uint8

// Sources.
const (
	NoSource Source = iota // none
	// NewServer means that a server of a service with a cold time has started and hasn't reported yet.
	NewServer // new_server
	// NewProcess means that the process beside the server has started and has no report of it yet.
	NewProcess // new_process
	// Silence means that the server neither reports nor answers.
	Silence // silence
	// Restored means that the evacuation of the availability zone has ended.
	Restored // restored
	// Report means that the server has said it.
	Report // report
)

// Signal weighs what is known of a server's cold time. The zero value is that of a warm server.
type Signal struct {
	until  time.Duration
	source Source
	// left and leftSince are the latest reported rest of the cold time and when a report last differed from the one before.
	left, leftSince time.Duration
	reported        bool
	sequence        uint64
}

// Until returns the time until which the server counts as cold.
func (s *Signal) Until() time.Duration { return s.until }

// Source returns where the knowledge comes from.
func (s *Signal) Source() Source { return s.source }

// Assume takes the server to be cold from now on, for the cold time of its service or until a report says otherwise. The
// sequence of reports goes on unless the server is a new one.
func (s *Signal) Assume(now, coldTime time.Duration, source Source) {
	if coldTime <= 0 {
		return
	}
	if source == NewServer {
		*s = Signal{}
	}
	s.until, s.source = max(s.until, now+coldTime), source
}

// Observe applies a report that arrived now. Its cold time counts from when it was sent, so its arrival gives an upper
// bound of the end. A report that was sent before the latest one is ignored. A server that goes on reporting the same rest
// of its cold time is believed for the cold time of its service from the first of these reports.
func (s *Signal) Observe(now time.Duration, sequence uint64, left, coldTime time.Duration) {
	if s.reported && sequence < s.sequence || coldTime <= 0 {
		return
	}
	left = max(left, 0)
	if !s.reported || left != s.left {
		s.leftSince = now
	}
	s.reported, s.sequence, s.left, s.source = true, sequence, left, Report
	s.until = min(now+left, s.leftSince+coldTime)
}
