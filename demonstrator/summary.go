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

// Check is a promise and how often it was broken.
type Check struct {
	Promise string
	Broken  uint64
}

// Broken returns the number of broken promises of all users.
func (s Summary) Broken() uint64 {
	var broken uint64
	for _, u := range s.Users {
		for _, c := range u.Checks {
			broken += c.Broken
		}
	}
	return broken
}

func (s *stage) summarize() UserSummary {
	ledger := s.fleet.Ledger.Report()
	verdict := emulator.CheckInvariants(ledger.Executions, append(s.main.NotRunIDs, s.entry.NotRunIDs...))
	u := UserSummary{User: s.user.name, Ranks: s.main.Ranks}
	var crossed, truncated, silent uint64
	for _, r := range s.main.Ranks {
		if r.Answered == 0 {
			silent++
		}
	}
	for _, r := range append(append([]generator.RankReport{}, s.main.Ranks...), s.entry.Ranks...) {
		crossed += r.Mismatched
		truncated += r.Truncated
	}
	u.Checks = []Check{
		{"a key has one owner at a time (overlapping runs on two servers)", uint64(len(verdict.Overlaps))},
		{"ownership never goes back (runs with an older epoch)", uint64(len(verdict.Inversions))},
		{"an order runs at most once (doubled)", uint64(len(verdict.Duplicates))},
		{"a caller gets its own answer (crossed)", crossed},
		{"an answer is complete or cut visibly (truncated)", truncated},
		{"not run means not run (not run but ran)", uint64(len(verdict.NotRunButRan))},
		{"a graceful stop cuts nothing in flight (cut)", s.cut()},
		{"every rank is served (ranks without an answer)", silent},
		{"every run was checked (dropped from the ledger)", ledger.Dropped + s.main.NotRunIDsDropped + s.entry.NotRunIDsDropped},
	}
	return u
}

// cut counts the requests that ended without a known outcome during the graceful stop, or at the stopping entry.
func (s *stage) cut() uint64 {
	var cut uint64
	for _, r := range s.entry.Ranks {
		cut += r.Unknown
	}
	for _, stream := range s.main.Streams {
		for _, point := range stream.Series {
			if point.At >= s.stopFrom.Seconds() && point.At <= s.stopTo.Seconds() {
				cut += point.Unknown
			}
		}
	}
	return cut
}

// Write prints the summary as tables.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A tabwriter keeps its output until Flush, which reports errors.
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
			verdict := "ok"
			if c.Broken > 0 {
				verdict = "BROKEN"
			}
			line("%s\t%s\t%d\t%s", u.User, c.Promise, c.Broken, verdict)
		}
	}
	return t.Flush()
}
