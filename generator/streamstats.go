package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const seriesInterval = 100 * time.Millisecond

// maxLabels bounds the distinct values of Hibiscus-Reason that streamStats counts, since they come from the network.
const maxLabels = 64

// streamStats collects the results of one stream. It is safe for concurrent use.
type streamStats struct {
	stream Stream
	mutex  sync.Mutex
	counts Counts
	// latencies and sendLags are in microseconds.
	latencies *hdrhistogram.Histogram
	sendLags  *hdrhistogram.Histogram
	series    []Point
	maxPoints int
	// interval is the index of the current interval of the series, current its counts, and intervalLatencies its
	// latencies in microseconds.
	interval          int
	current           Point
	intervalLatencies []int64
}

func newStreamStats(s Stream, maxPoints int) *streamStats {
	return &streamStats{
		stream: s, counts: newCounts(), latencies: newHistogram(), sendLags: newHistogram(), maxPoints: maxPoints,
	}
}

// recordSend counts a request that was sent lag after its intended time.
func (t *streamStats) recordSend(lag time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Sent++
	t.sendLags.RecordValue(max(0, lag.Microseconds()))
}

func (t *streamStats) recordOverflow() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Overflow++
}

// recordAttempt counts the result of one attempt, numbered from 0.
func (t *streamStats) recordAttempt(r result, number int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := &t.counts
	if number > 0 {
		c.Retried++
	}
	if r.outcome == answered {
		c.Statuses[r.status]++
	}
	countLabel(c.Reasons, r.reason)
	countLabel(c.Errors, r.errorClass)
	countIf(&c.Mismatched, r.mismatched)
	countIf(&c.Truncated, r.truncated)
	countIf(&c.Aborted, r.aborted)
	countIf(&c.InvalidOutcome, r.invalidOutcome)
}

func countIf(counter *uint64, event bool) {
	if event {
		*counter++
	}
}

func countLabel(counts map[string]uint64, label string) {
	if label == "" {
		return
	}
	if _, known := counts[label]; !known && len(counts) >= maxLabels {
		label = "other"
	}
	counts[label]++
}

// recordOutcome counts the final outcome of a request. The parameter at is its end since the start of the run.
func (t *streamStats) recordOutcome(o outcome, status int, latency, at time.Duration, attempts int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closeIntervals(int(at / seriesInterval))
	switch o {
	case answered:
		t.counts.Answered++
		t.current.Answered++
		t.latencies.RecordValue(latency.Microseconds())
		t.intervalLatencies = append(t.intervalLatencies, latency.Microseconds())
		if target := t.stream.LatencyTarget.Value(); status < 500 && (target == 0 || latency <= target) {
			t.counts.WithinTarget++
		}
		if attempts > 1 {
			t.counts.AnsweredByRetry++
		}
	case notRun:
		t.counts.NotRun++
		t.current.NotRun++
	default:
		t.counts.Unknown++
		t.current.Unknown++
	}
}

// closeIntervals appends a point to the series for each interval before the given one, up to maxPoints. The caller
// holds the mutex.
func (t *streamStats) closeIntervals(interval int) {
	for t.interval < interval && len(t.series) < t.maxPoints {
		t.current.At = (time.Duration(t.interval) * seriesInterval).Seconds()
		if n := len(t.intervalLatencies); n > 0 {
			slices.Sort(t.intervalLatencies)
			t.current.P99 = float64(t.intervalLatencies[min(n-1, n*99/100)]) / 1000
		}
		t.series = append(t.series, t.current)
		t.current, t.intervalLatencies = Point{}, t.intervalLatencies[:0]
		t.interval++
	}
	if len(t.series) >= t.maxPoints {
		t.current, t.intervalLatencies = Point{}, t.intervalLatencies[:0]
	}
}

func (t *streamStats) report() StreamReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closeIntervals(t.interval + 1)
	return StreamReport{Name: t.stream.Name, Rank: t.stream.Rank, Summary: t.summary(), Series: t.series}
}

func (t *streamStats) summary() Summary {
	return Summary{Counts: t.counts, Latency: latency(t.latencies), SendLag: latency(t.sendLags)}
}

// sumByRank merges the results of the streams of each rank.
func sumByRank(streams []*streamStats) []RankReport {
	var order []string
	sums := map[string]*streamStats{}
	for _, t := range streams {
		sum, present := sums[t.stream.Rank]
		if !present {
			sum = newStreamStats(t.stream, 0)
			sums[t.stream.Rank] = sum
			order = append(order, t.stream.Rank)
		}
		sum.counts.add(t.counts)
		sum.latencies.Merge(t.latencies)
		sum.sendLags.Merge(t.sendLags)
	}
	reports := make([]RankReport, len(order))
	for i, rank := range order {
		reports[i] = RankReport{Rank: rank, Summary: sums[rank].summary()}
	}
	return reports
}
