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
	DefaultMaxKeys   = 256
	DefaultWindow = 10 * time.Second
	// decayInterval is the time between two decays of all counters.
	decayInterval = time.Second
	// keyShare is the part of the window that is the time constant of the rates of keys, which tell what became hot.
	keyShare = 0.5
	// jump is the number of standard deviations by which the last two intervals must differ from a range's average to
	// start it anew. Among 40 ranges of equal load, it is exceeded by chance about once in ten minutes.
	jump = 4
)

// SketchConfig configures a Sketch. Zero fields take the defaults.
type SketchConfig struct {
	// MaxKeys is the number of keys that are counted at once.
	MaxKeys int
	// Window is the longest time constant of the rates of ranges.
	Window time.Duration
}

// KeyRate is the request rate of one key, as far as it is certain.
type KeyRate struct {
	Position hasher.Position `json:"position"`
	Rate     float64         `json:"rate"`
}

// Sketch counts the requests of an owner's keys with the space-saving algorithm and those of its ranges exactly. Counts
// decay, so that rates follow the load. Memory is bounded by the configured keys and the owned ranges.
//
// The average of a range starts anew when its load jumps. With a fixed window of 20 s, a planner saw a third of a key's
// new load after 8 s and acted on it in many small steps, which used up the moves of a minute.
type Sketch struct {
	config SketchConfig
	keys   keyHeap
	index  map[hasher.Position]*keyCount
	ranges []rangeCount
	begun  time.Duration
	now    time.Duration
	total  float64
}

type keyCount struct {
	position hasher.Position
	count    float64
	// excess is the part of count that may belong to keys that the entry replaced.
	excess float64
	place  int
}

type rangeCount struct {
	whole hasher.Range
	count float64
	since time.Duration
	// fresh is the count since the last decay; last and previous are the rates of the two intervals before.
	fresh, last, previous float64
	// intervals is the number of whole intervals since the average started.
	intervals int
}

// NewSketch returns a Sketch that starts to count at a time.
func NewSketch(now time.Duration, c SketchConfig) *Sketch {
	if c.MaxKeys < 1 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	return &Sketch{config: c, index: map[hasher.Position]*keyCount{}, begun: now, now: now}
}

// Observe counts a request for the key at a position.
func (s *Sketch) Observe(p hasher.Position) {
	s.total++
	if i, found := s.find(p); found {
		s.ranges[i].count++
		s.ranges[i].fresh++
	}
	if k, tracked := s.index[p]; tracked {
		k.count++
		heap.Fix(&s.keys, k.place)
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
	least.position, least.excess = p, least.count
	least.count++
	heap.Fix(&s.keys, 0)
}

// Advance lets the counts decay up to a time. It should be called about once a second, before SetRanges.
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
		k.excess *= factor
	}
	factor = math.Exp(-float64(span) / float64(s.config.Window))
	for i := range s.ranges {
		s.ranges[i].count *= factor
		s.follow(&s.ranges[i], span)
	}
	s.followAll(span)
}

// followAll starts the averages of all ranges anew when their sum jumps, as when the load of many keys rises a little.
func (s *Sketch) followAll(span time.Duration) {
	average, recent, last := 0.0, 0.0, 0.0
	for _, r := range s.ranges {
		average += s.rangeRate(r)
		recent += (r.last + r.previous) / 2
		last += r.last
		if r.intervals < 2 {
			// A range that was counted anew follows its load already.
			recent += s.rangeRate(r) - (r.last+r.previous)/2
			last += s.rangeRate(r) - r.last
		}
	}
	if math.Abs(recent-average) <= jump*math.Sqrt(max(recent, average)/(2*span.Seconds())) {
		return
	}
	rising := math.Abs(last-recent) > jump/2*math.Sqrt(max(last, recent)/span.Seconds())
	for i := range s.ranges {
		if s.ranges[i].intervals >= 2 {
			s.restart(&s.ranges[i], span, rising)
		}
	}
}

// follow starts the average of a range anew when its last two intervals show a jump of the load. When the load was still
// rising between them, only the last one counts.
func (s *Sketch) follow(r *rangeCount, span time.Duration) {
	r.previous, r.last, r.fresh = r.last, r.fresh/span.Seconds(), 0
	r.intervals++
	if r.intervals < 2 {
		return
	}
	average := s.rangeRate(*r)
	recent := (r.last + r.previous) / 2
	if math.Abs(recent-average) <= jump*math.Sqrt(max(recent, average)/(2*span.Seconds())) {
		return
	}
	s.restart(r, span, math.Abs(r.last-r.previous) > jump*math.Sqrt(max(r.last, r.previous)/span.Seconds()))
}

// restart starts the average of a range with its last interval, or its last two.
func (s *Sketch) restart(r *rangeCount, span time.Duration, one bool) {
	recent, seconds := (r.last+r.previous)/2, 2*span.Seconds()
	if one {
		recent, seconds = r.last, span.Seconds()
	}
	r.since = s.now - time.Duration(seconds*float64(time.Second))
	r.count, r.intervals = recent*s.weight(r.since, s.config.Window), 0
}

func (s *Sketch) keyWindow() time.Duration { return time.Duration(keyShare * float64(s.config.Window)) }

// SetRanges names the ranges that are counted exactly, which are the owned ones. Ranges that were counted before keep
// their counts; a part of a split range starts with its known keys and its share of the rest.
func (s *Sketch) SetRanges(owned []hasher.Range) {
	old := s.ranges
	s.ranges = make([]rangeCount, 0, len(owned))
	for _, r := range owned {
		s.ranges = append(s.ranges, s.inherit(old, r))
	}
	slices.SortFunc(s.ranges, func(x, y rangeCount) int { return cmp.Compare(x.whole.Low, y.whole.Low) })
}

func (s *Sketch) inherit(old []rangeCount, r hasher.Range) rangeCount {
	i, _ := slices.BinarySearchFunc(old, r.Low, func(o rangeCount, p hasher.Position) int { return cmp.Compare(o.whole.High, p) })
	if i >= len(old) || !old[i].whole.Contains(r.Low) || !old[i].whole.Contains(r.High) {
		return rangeCount{whole: r, since: s.now}
	}
	part := old[i]
	if part.whole == r {
		return part
	}
	// The rates of keys and of ranges are averages over different times, so only rates can be compared.
	whole := s.rangeRate(part)
	if whole <= 0 {
		return rangeCount{whole: r, since: part.since}
	}
	known := s.rate(s.certain(part.whole), s.begun, s.keyWindow())
	own := s.rate(s.certain(r), s.begun, s.keyWindow()) + max(whole-known, 0)*width(r)/width(part.whole)
	share := min(own/max(whole, known), 1)
	part.whole = r
	part.count, part.fresh, part.last, part.previous = part.count*share, part.fresh*share, part.last*share, part.previous*share
	return part
}

// certain is the count of the tracked keys in a range.
func (s *Sketch) certain(r hasher.Range) float64 {
	sum := 0.0
	for _, k := range s.keys {
		if r.Contains(k.position) {
			sum += k.count - k.excess
		}
	}
	return sum
}

func width(r hasher.Range) float64 { return float64(r.High-r.Low) + 1 }

func (s *Sketch) find(p hasher.Position) (int, bool) {
	i, _ := slices.BinarySearchFunc(s.ranges, p, func(r rangeCount, p hasher.Position) int { return cmp.Compare(r.whole.High, p) })
	return i, i < len(s.ranges) && s.ranges[i].whole.Contains(p)
}

// TopKeys returns up to n keys with the highest rates, in requests/s, highest first.
func (s *Sketch) TopKeys(n int) []KeyRate {
	top := make([]KeyRate, 0, len(s.keys))
	for _, k := range s.keys {
		top = append(top, KeyRate{Position: k.position, Rate: s.rate(k.count-k.excess, s.begun, s.keyWindow())})
	}
	slices.SortFunc(top, func(x, y KeyRate) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Position, y.Position))
	})
	return top[:min(n, len(top))]
}

// Rate returns the rate of all requests, in requests/s.
func (s *Sketch) Rate() float64 { return s.rate(s.total, s.begun, s.keyWindow()) }

// RangeRate returns the rate of a range in requests/s. It is exact for the ranges of SetRanges; for others it is the rate
// of the tracked keys and, for the untracked ones, a share by size.
func (s *Sketch) RangeRate(r hasher.Range) float64 {
	if i, found := s.find(r.Low); found && s.ranges[i].whole == r {
		return s.rangeRate(s.ranges[i])
	}
	rest := max(s.total-s.certain(hasher.Full()), 0)
	return s.rate(s.certain(r)+rest*width(r)/width(hasher.Full()), s.begun, s.keyWindow())
}

func (s *Sketch) rangeRate(r rangeCount) float64 { return s.rate(r.count, r.since, s.config.Window) }

// rate converts a decayed count to a rate.
func (s *Sketch) rate(count float64, since, window time.Duration) float64 {
	return count / s.weight(since, window)
}

// weight is the decayed count of one request per second. A count that began recently has not filled its window yet; spans
// below one second count as one, since a few requests tell no rate. Requests count as half a decay interval older than they
// are, because a decay treats those since the last one like older ones.
func (s *Sketch) weight(since, window time.Duration) float64 {
	constant := window.Seconds()
	age := max(s.now-since, decayInterval).Seconds()
	return constant * (1 - math.Exp(-age/constant)) * math.Exp(-decayInterval.Seconds()/2/constant)
}

// variance is the square of the standard deviation of a range's rate. A rate of zero counts as one request.
func (s *Sketch) variance(r rangeCount) float64 {
	seconds := min(max(s.now-r.since, decayInterval), 2*s.config.Window).Seconds()
	return max(s.rangeRate(r), 1/seconds) / seconds
}

// Loads returns the rates of the owned ranges and of the hottest keys in the form that a Planner takes.
func (s *Sketch) Loads(keys int) Loads {
	l := Loads{Ranges: make(map[hasher.Range]float64, len(s.ranges)), Keys: s.TopKeys(keys)}
	variance := 0.0
	for _, r := range s.ranges {
		l.Ranges[r.whole] = s.rangeRate(r)
		variance += s.variance(r)
	}
	l.Deviation = math.Sqrt(variance)
	return l
}

// keyHeap is a heap of counters with the lowest first.
type keyHeap []*keyCount

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap exchanges two counters.
func (h keyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push appends a counter.
func (h *keyHeap) Push(x any) {
	k := x.(*keyCount)
	k.place = len(*h)
	*h = append(*h, k)
}

// Pop removes the last counter.
func (h *keyHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	*h = (*h)[:last]
	return k
}
