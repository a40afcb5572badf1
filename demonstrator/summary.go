package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"hibiscusline/emulator"
	"hibiscusline/generator"
)

// Summary is the result of a demonstration.
type Summary struct {
	Users []UserSummary
}

// UserSummary is the result for one user's fleet.
type UserSummary struct {
	User   string
	Ranks  []generator.RankReport
	Checks []Check
}

// Check is a promise and the number of times that it was broken.
type Check struct {
	Promise string
	Broken  uint64
}

// Broken returns how many times promises were broken, over all users and checks.
func (s Summary) Broken() uint64 {
	var broken uint64
	for _, u := range s.Users {
		for _, c := range u.Checks {
			broken += c.Broken
		}
	}
	return broken
}

func (d *userDemo) summarize() UserSummary {
	ledger := d.fleet.Ledger.Report()
	violations := emulator.CheckInvariants(ledger.Executions, append(d.mainReport.NotRunIDs, d.entryReport.NotRunIDs...))
	u := UserSummary{User: d.user.name, Ranks: d.mainReport.Ranks}
	var mismatched, truncated, unserved uint64
	for _, r := range d.mainReport.Ranks {
		if r.Answered == 0 {
			unserved++
		}
	}
	for _, r := range append(append([]generator.RankReport{}, d.mainReport.Ranks...), d.entryReport.Ranks...) {
		mismatched += r.Mismatched
		truncated += r.Truncated
	}
	u.Checks = []Check{
		{"a key has one owner at a time (overlapping runs on two servers)", uint64(len(violations.Overlaps))},
		{"ownership never goes back (runs with an older epoch)", uint64(len(violations.Inversions))},
		{"an order runs at most once (doubled)", uint64(len(violations.Duplicates))},
		{"a caller gets its own answer (crossed)", mismatched},
		{"an answer is complete or cut visibly (truncated)", truncated},
		{"not run means not run (not run but ran)", uint64(len(violations.NotRunButRan))},
		{"a graceful stop cuts nothing in flight (cut)", d.unknownDuringStop()},
		{"every rank is served (ranks without an answer)", unserved},
		{"every run was checked (dropped from the ledger)", ledger.Dropped + d.mainReport.NotRunIDsDropped + d.entryReport.NotRunIDsDropped},
	}
	return u
}

// unknownDuringStop counts the requests whose outcome is unknown, at the stopping entry at any time and at other
// entries during the graceful stop.
func (d *userDemo) unknownDuringStop() uint64 {
	var unknown uint64
	for _, r := range d.entryReport.Ranks {
		unknown += r.Unknown
	}
	for _, stream := range d.mainReport.Streams {
		for _, point := range stream.Series {
			if point.At >= d.stopStart.Seconds() && point.At <= d.stopEnd.Seconds() {
				unknown += point.Unknown
			}
		}
	}
	return unknown
}

// Write prints the summary as tables.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The tabwriter buffers its output until Flush, which returns the error of a failed write.
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(t, format+"\n", values...) }
	line("\nuser\trank\trequests\tresent\tanswered\tnot run\tunknown\twithin target\tp50\tp99")
	for _, u := range s.Users {
		for _, r := range u.Ranks {
			line("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t%.1f ms\t%.1f ms", u.User, r.Rank, r.Sent, r.Retried, r.Answered, r.NotRun, r.Unknown,
				100*float64(r.WithinTarget)/max(1, float64(r.Sent)), r.Latency.P50, r.Latency.P99)
		}
	}
	line("\nuser\tpromise\tbroken")
	for _, u := range s.Users {
		for _, c := range u.Checks {
			result := "ok"
			if c.Broken > 0 {
				result = "BROKEN"
			}
			line("%s\t%s\t%d\t%s", u.User, c.Promise, c.Broken, result)
		}
	}
	return t.Flush()
}
