package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	// RunID is the prefix of all request ids of the run.
	RunID          string         `json:"run"`
	ElapsedSeconds float64        `json:"elapsed_seconds"`
	Streams        []StreamReport `json:"streams"`
	// Ranks holds the merged results of the streams of each rank, in the order of their first stream.
	Ranks []RankReport `json:"ranks"`
	// NotRunIDs holds the X-Request-Id of attempts that were reported as not run, for emulator.CheckInvariants.
	// NotRunIDsDropped counts those beyond Config.MaxNotRunIDs.
	NotRunIDs        []string `json:"not_run_ids,omitempty"`
	NotRunIDsDropped uint64   `json:"not_run_ids_dropped"`
}

// StreamReport is the result of one stream.
type StreamReport struct {
	Name string `json:"name"`
	Rank string `json:"rank"`
	Summary
	Series []Point `json:"series"`
}

// RankReport is the result of all streams of a rank.
type RankReport struct {
	Rank string `json:"rank"`
	Summary
}

// Summary counts requests and gives the latency of the answered ones from their intended send times.
type Summary struct {
	Counts
	Latency Latency `json:"latency"`
	// SendLag is the time between the intended and the actual send time; a large value means that the generator is
	// overloaded.
	SendLag Latency `json:"send_lag"`
}

// Counts counts requests. Sent is the sum of Answered, NotRun and Unknown, which are final outcomes: a retried request
// is unknown if one attempt is unknown and none was answered.
type Counts struct {
	Sent     uint64 `json:"sent"`
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	// Overflow counts requests that were not sent because too many were in flight.
	Overflow uint64 `json:"overflow"`
	// WithinTarget counts requests answered with a status below 500 within the target latency.
	WithinTarget uint64 `json:"within_target"`
	// Mismatched counts responses that belong to another request.
	Mismatched uint64 `json:"crossed"`
	// Truncated counts responses that were delivered as complete although a part of the body is missing.
	Truncated uint64 `json:"truncated"`
	// Aborted counts attempts whose connection broke during the response. Their outcome is unknown.
	Aborted uint64 `json:"aborted"`
	// InvalidOutcome counts responses without a valid Hibiscus-Outcome. Their outcome is unknown.
	InvalidOutcome uint64 `json:"unmarked"`
	// Retried counts attempts after the first; AnsweredByRetry counts requests that one of these answered.
	Retried         uint64 `json:"resent"`
	AnsweredByRetry uint64 `json:"answered_later"`
	// Statuses counts the HTTP statuses of answered attempts, Reasons the values of Hibiscus-Reason, and Errors the
	// classes of transport errors: refused, timeout, cut (connection closed or reset), local_limit (no file descriptor
	// or port left on this machine) and other.
	Statuses map[int]uint64    `json:"statuses"`
	Reasons  map[string]uint64 `json:"reasons"`
	Errors   map[string]uint64 `json:"errors"`
}

// Latency summarizes a latency distribution in milliseconds.
type Latency struct {
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Point is one interval of a time series. A request belongs to the interval in which it ended.
type Point struct {
	// At is the start of the interval in seconds since the start of the run.
	At       float64 `json:"at_seconds"`
	Answered uint64  `json:"answered"`
	NotRun   uint64  `json:"not_run"`
	Unknown  uint64  `json:"unknown"`
	// P99 is the 99th percentile of the latency of the answered requests in milliseconds; zero without any.
	P99 float64 `json:"p99_ms"`
}

func (c *Counts) add(other Counts) {
	c.Sent += other.Sent
	c.Answered += other.Answered
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.Overflow += other.Overflow
	c.WithinTarget += other.WithinTarget
	c.Mismatched += other.Mismatched
	c.Truncated += other.Truncated
	c.Aborted += other.Aborted
	c.InvalidOutcome += other.InvalidOutcome
	c.Retried += other.Retried
	c.AnsweredByRetry += other.AnsweredByRetry
	addCounts(c.Statuses, other.Statuses)
	addCounts(c.Reasons, other.Reasons)
	addCounts(c.Errors, other.Errors)
}

func addCounts[K comparable](sums, values map[K]uint64) {
	for key, value := range values {
		sums[key] += value
	}
}

func newCounts() Counts {
	return Counts{Statuses: map[int]uint64{}, Reasons: map[string]uint64{}, Errors: map[string]uint64{}}
}

func newHistogram() *hdrhistogram.Histogram {
	const highest, significantFigures = int64(2 * time.Minute / time.Microsecond), 3
	return hdrhistogram.New(1, highest, significantFigures)
}

func latency(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Mean: h.Mean() / 1000, P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: float64(h.Max()) / 1000,
	}
}
