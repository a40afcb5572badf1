package balancer

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"hibiscusline/hasher"
)

// Defaults of a SketchConfig.
const (
	DefaultMaxKeys = 256
	DefaultWindow  = 10 * time.Second
	// decayInterval is the time between two decays of all counters.
	decayInterval = time.Second
	// keyWindowShare is the time constant of the rates of keys as a share of the window. It is shorter than that of
	// ranges, so that keys that become hot show early.
	keyWindowShare = 0.5
	// jumpDeviations is the number of standard deviations by which the last two intervals must differ from a range's
	// average to restart that average. Among 40 ranges of equal load, random variation exceeds it about once in ten
	// minutes.
	jumpDeviations = 4
)

// SketchConfig configures a Sketch. Zero fields select the defaults.
type SketchConfig struct {
	// MaxKeys is the largest number of keys that are tracked at the same time.
	MaxKeys int
	// Window is the longest time constant of the rates of ranges.
	Window time.Duration
}

// KeyRate is a lower bound of the request rate of one key, in requests/s.
type KeyRate struct {
	Position hasher.Position `json:"position"`
	Rate     float64         `json:"rate"`
}

// Sketch counts the requests of an owner's keys with the space-saving algorithm and those of its ranges exactly.
// Counts decay exponentially, so that rates follow the load. Memory is bounded by the configured keys and the owned
// ranges.
//
// The average of a range restarts when its load jumps. With a fixed window of 20 s, a planner saw a third of a key's
// new load after 8 s and reacted in many small steps, which used up the moves of a minute.
type Sketch struct {
	config SketchConfig
	keys   keyHeap
	index  map[hasher.Position]*keyCount
	ranges []rangeCount
	start  time.Duration
	now    time.Duration
	total  float64
}

type keyCount struct {
	position hasher.Position
	count    float64
	// maxError is the part of count that may belong to keys that the entry replaced.
	maxError  float64
	heapIndex int
}

type rangeCount struct {
	keyRange hasher.Range
	count    float64
	start    time.Duration
	// sinceDecay is the count since the last decay; last and previous are the rates of the two intervals before it, in
	// requests/s.
	sinceDecay, last, previous float64
	// intervals is the number of complete intervals since the average started.
	intervals int
}

// NewSketch returns a Sketch that starts counting at the given time.
func NewSketch(now time.Duration, c SketchConfig) *Sketch {
	if c.MaxKeys < 1 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	return &Sketch{config: c, index: map[hasher.Position]*keyCount{}, start: now, now: now}
}

// Observe counts a request for the key at a position.
func (s *Sketch) Observe(p hasher.Position) {
	s.total++
	if i, found := s.rangeIndex(p); found {
		s.ranges[i].count++
		s.ranges[i].sinceDecay++
	}
	if k, tracked := s.index[p]; tracked {
		k.count++
		heap.Fix(&s.keys, k.heapIndex)
		return
	}
	if len(s.keys) < s.config.MaxKeys {
		k := &keyCount{position: p, count: 1}
		s.index[p] = k
		heap.Push(&s.keys, k)
		return
	}
	least := s.keys[0]
	delete(s.index, least.position)
	s.index[p] = least
	least.position, least.maxError = p, least.count
	least.count++
	heap.Fix(&s.keys, 0)
}

// Advance decays the counts up to the given time. It should be called about once a second, before SetRanges.
func (s *Sketch) Advance(now time.Duration) {
	span := now - s.now
	if span < decayInterval/2 {
		return
	}
	s.now = now
	factor := math.Exp(-float64(span) / float64(s.keyWindow()))
	s.total *= factor
	for _, k := range s.keys {
		k.count *= factor
		k.maxError *= factor
	}
	factor = math.Exp(-float64(span) / float64(s.config.Window))
	for i := range s.ranges {
		s.ranges[i].count *= factor
		s.restartOnJump(&s.ranges[i], span)
	}
	s.restartAllOnJump(span)
}

// restartAllOnJump restarts the averages of all ranges when their sum jumps, as when the load of many keys rises a
// little.
func (s *Sketch) restartAllOnJump(span time.Duration) {
	average, recent, last := 0.0, 0.0, 0.0
	for _, r := range s.ranges {
		average += s.rangeRate(r)
		recent += (r.last + r.previous) / 2
		last += r.last
		if r.intervals < 2 {
			// The average of a range that was just restarted already follows its load.
			recent += s.rangeRate(r) - (r.last+r.previous)/2
			last += s.rangeRate(r) - r.last
		}
	}
	if math.Abs(recent-average) <= jumpDeviations*math.Sqrt(max(recent, average)/(2*span.Seconds())) {
		return
	}
	rising := math.Abs(last-recent) > jumpDeviations/2*math.Sqrt(max(last, recent)/span.Seconds())
	for i := range s.ranges {
		if s.ranges[i].intervals >= 2 {
			s.restart(&s.ranges[i], span, rising)
		}
	}
}

// restartOnJump restarts the average of a range when its last two intervals show a jump of the load. If the load was
// still rising between them, only the last one counts.
func (s *Sketch) restartOnJump(r *rangeCount, span time.Duration) {
	r.previous, r.last, r.sinceDecay = r.last, r.sinceDecay/span.Seconds(), 0
	r.intervals++
	if r.intervals < 2 {
		return
	}
	average := s.rangeRate(*r)
	recent := (r.last + r.previous) / 2
	if math.Abs(recent-average) <= jumpDeviations*math.Sqrt(max(recent, average)/(2*span.Seconds())) {
		return
	}
	s.restart(r, span, math.Abs(r.last-r.previous) > jumpDeviations*math.Sqrt(max(r.last, r.previous)/span.Seconds()))
}

// restart restarts the average of a range from its last interval, or its last two.
func (s *Sketch) restart(r *rangeCount, span time.Duration, lastOnly bool) {
	recent, seconds := (r.last+r.previous)/2, 2*span.Seconds()
	if lastOnly {
		recent, seconds = r.last, span.Seconds()
	}
	r.start = s.now - time.Duration(seconds*float64(time.Second))
	r.count, r.intervals = recent*s.weight(r.start, s.config.Window), 0
}

func (s *Sketch) keyWindow() time.Duration {
	return time.Duration(keyWindowShare * float64(s.config.Window))
}

// SetRanges sets the ranges that are counted exactly, which are those that the member owns. Known ranges keep their
// counts; a part of a split range starts with the rates of its tracked keys and its share of the rest.
func (s *Sketch) SetRanges(owned []hasher.Range) {
	old := s.ranges
	s.ranges = make([]rangeCount, 0, len(owned))
	for _, r := range owned {
		s.ranges = append(s.ranges, s.inheritCount(old, r))
	}
	slices.SortFunc(s.ranges, func(x, y rangeCount) int { return cmp.Compare(x.keyRange.Low, y.keyRange.Low) })
}

func (s *Sketch) inheritCount(old []rangeCount, r hasher.Range) rangeCount {
	i, _ := slices.BinarySearchFunc(old, r.Low, func(o rangeCount, p hasher.Position) int {
		return cmp.Compare(o.keyRange.High, p)
	})
	if i >= len(old) || !old[i].keyRange.Contains(r.Low) || !old[i].keyRange.Contains(r.High) {
		return rangeCount{keyRange: r, start: s.now}
	}
	part := old[i]
	if part.keyRange == r {
		return part
	}
	// Counts of keys and of ranges decay over different times, so only rates can be compared.
	whole := s.rangeRate(part)
	if whole <= 0 {
		return rangeCount{keyRange: r, start: part.start}
	}
	known := s.rate(s.trackedCount(part.keyRange), s.start, s.keyWindow())
	own := s.rate(s.trackedCount(r), s.start, s.keyWindow()) + max(whole-known, 0)*width(r)/width(part.keyRange)
	share := min(own/max(whole, known), 1)
	part.keyRange = r
	part.count, part.sinceDecay, part.last, part.previous = part.count*share,
		part.sinceDecay*share, part.last*share, part.previous*share
	return part
}

// trackedCount is the count of the tracked keys in a range, without their possible errors.
func (s *Sketch) trackedCount(r hasher.Range) float64 {
	sum := 0.0
	for _, k := range s.keys {
		if r.Contains(k.position) {
			sum += k.count - k.maxError
		}
	}
	return sum
}

func width(r hasher.Range) float64 { return float64(r.High-r.Low) + 1 }

func (s *Sketch) rangeIndex(p hasher.Position) (int, bool) {
	i, _ := slices.BinarySearchFunc(s.ranges, p, func(r rangeCount, p hasher.Position) int {
		return cmp.Compare(r.keyRange.High, p)
	})
	return i, i < len(s.ranges) && s.ranges[i].keyRange.Contains(p)
}

// TopKeys returns up to n keys with the highest rates, in requests/s, highest first.
func (s *Sketch) TopKeys(n int) []KeyRate {
	top := make([]KeyRate, 0, len(s.keys))
	for _, k := range s.keys {
		top = append(top, KeyRate{Position: k.position, Rate: s.rate(k.count-k.maxError, s.start, s.keyWindow())})
	}
	slices.SortFunc(top, func(x, y KeyRate) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Position, y.Position))
	})
	return top[:min(n, len(top))]
}

// Rate returns the rate of all requests, in requests/s.
func (s *Sketch) Rate() float64 { return s.rate(s.total, s.start, s.keyWindow()) }

// RangeRate returns the rate of a range in requests/s. It is exact for the ranges of SetRanges; for other ranges it is
// estimated from the tracked keys and, for untracked keys, in proportion to the size of the range.
func (s *Sketch) RangeRate(r hasher.Range) float64 {
	if i, found := s.rangeIndex(r.Low); found && s.ranges[i].keyRange == r {
		return s.rangeRate(s.ranges[i])
	}
	rest := max(s.total-s.trackedCount(hasher.Full()), 0)
	return s.rate(s.trackedCount(r)+rest*width(r)/width(hasher.Full()), s.start, s.keyWindow())
}

func (s *Sketch) rangeRate(r rangeCount) float64 { return s.rate(r.count, r.start, s.config.Window) }

// rate converts a decayed count to a rate.
func (s *Sketch) rate(count float64, since, window time.Duration) float64 {
	return count / s.weight(since, window)
}

// weight is the decayed count of a constant rate of one request per second. A count that started recently has not
// filled its window yet; spans below one second count as one, because a few requests give no reliable rate. Requests
// count as half a decay interval older than they are, because a decay treats the requests since the last decay like
// older ones.
func (s *Sketch) weight(since, window time.Duration) float64 {
	constant := window.Seconds()
	age := max(s.now-since, decayInterval).Seconds()
	return constant * (1 - math.Exp(-age/constant)) * math.Exp(-decayInterval.Seconds()/2/constant)
}

// variance is the square of the standard deviation of a range's rate. A rate of zero counts as one request.
func (s *Sketch) variance(r rangeCount) float64 {
	seconds := min(max(s.now-r.start, decayInterval), 2*s.config.Window).Seconds()
	return max(s.rangeRate(r), 1/seconds) / seconds
}

// Loads returns the rates of the owned ranges and of the hottest keys as input for a Planner. Members is not set.
func (s *Sketch) Loads(keys int) Loads {
	l := Loads{Ranges: make(map[hasher.Range]float64, len(s.ranges)), Keys: s.TopKeys(keys)}
	variance := 0.0
	for _, r := range s.ranges {
		l.Ranges[r.keyRange] = s.rangeRate(r)
		variance += s.variance(r)
	}
	l.Deviation = math.Sqrt(variance)
	return l
}

// keyHeap is a min-heap of key counters.
type keyHeap []*keyCount

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap exchanges two counters.
func (h keyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a counter.
func (h *keyHeap) Push(x any) {
	k := x.(*keyCount)
	k.heapIndex = len(*h)
	*h = append(*h, k)
}

// Pop removes the last counter.
func (h *keyHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	*h = (*h)[:last]
	return k
}
