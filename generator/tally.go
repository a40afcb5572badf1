package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const seriesInterval = 100 * time.Millisecond

// maxLabels bounds the distinct reasons that a tally counts, since they come from the network.
const maxLabels = 64

// tally collects the results of one stream.
type tally struct {
	stream Stream
	mutex  sync.Mutex
	counts Counts
	// latencies and lags are in microseconds.
	latencies *hdrhistogram.Histogram
	lags      *hdrhistogram.Histogram
	series    []Point
	maxPoints int
	// window is the index of the interval being collected; values are its latencies in microseconds.
	window  int
	present Point
	values  []int64
}

func newTally(s Stream, maxPoints int) *tally {
	return &tally{
		stream: s, counts: newCounts(), latencies: newHistogram(), lags: newHistogram(), maxPoints: maxPoints,
	}
}

// sent counts a request, and how late it left.
func (t *tally) sent(lag time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Sent++
	t.lags.RecordValue(max(0, lag.Microseconds()))
}

func (t *tally) overflow() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Overflow++
}

// attempt counts the result of one attempt.
func (t *tally) attempt(r result, number int) {
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
	countLabel(c.Errors, r.failure)
	countIf(&c.Mismatched, r.crossed)
	countIf(&c.Truncated, r.truncated)
	countIf(&c.Aborted, r.aborted)
	countIf(&c.InvalidOutcome, r.unmarked)
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

// finish counts the final outcome of a request that ended at a time since the start of the run.
func (t *tally) finish(o outcome, status int, latency, at time.Duration, attempts int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advance(int(at / seriesInterval))
	switch o {
	case answered:
		t.counts.Answered++
		t.present.Answered++
		t.latencies.RecordValue(latency.Microseconds())
		t.values = append(t.values, latency.Microseconds())
		if target := t.stream.LatencyTarget.Value(); status < 500 && (target == 0 || latency <= target) {
			t.counts.WithinTarget++
		}
		if attempts > 1 {
			t.counts.AnsweredByRetry++
		}
	case notRun:
		t.counts.NotRun++
		t.present.NotRun++
	default:
		t.counts.Unknown++
		t.present.Unknown++
	}
}

// advance closes the intervals before the given one. The caller holds the mutex.
func (t *tally) advance(window int) {
	for t.window < window && len(t.series) < t.maxPoints {
		t.present.At = (time.Duration(t.window) * seriesInterval).Seconds()
		if n := len(t.values); n > 0 {
			slices.Sort(t.values)
			t.present.P99 = float64(t.values[min(n-1, n*99/100)]) / 1000
		}
		t.series = append(t.series, t.present)
		t.present, t.values = Point{}, t.values[:0]
		t.window++
	}
	if len(t.series) >= t.maxPoints {
		t.present, t.values = Point{}, t.values[:0]
	}
}

func (t *tally) report() StreamReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advance(t.window + 1)
	return StreamReport{Name: t.stream.Name, Rank: t.stream.Rank, Summary: t.summary(), Series: t.series}
}

func (t *tally) summary() Summary {
	return Summary{Counts: t.counts, Latency: latency(t.latencies), SendLag: latency(t.lags)}
}

// byRank sums up tallies by rank.
func byRank(tallies []*tally) []RankReport {
	var order []string
	sums := map[string]*tally{}
	for _, t := range tallies {
		sum, present := sums[t.stream.Rank]
		if !present {
			sum = newTally(t.stream, 0)
			sums[t.stream.Rank] = sum
			order = append(order, t.stream.Rank)
		}
		sum.counts.add(t.counts)
		sum.latencies.Merge(t.latencies)
		sum.lags.Merge(t.lags)
	}
	reports := make([]RankReport, len(order))
	for i, rank := range order {
		reports[i] = RankReport{Rank: rank, Summary: sums[rank].summary()}
	}
	return reports
}
