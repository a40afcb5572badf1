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
	DefaultKeys   = 256
	DefaultWindow = 20 * time.Second
	// decayInterval is the time between two decays of all counters.
	decayInterval = time.Second
)

// SketchConfig configures a Sketch. Zero fields take the defaults.
type SketchConfig struct {
	// Keys is the number of keys that are counted at once.
	Keys int
	// Window is the time constant of the rates.
	Window time.Duration
}

// KeyRate is the request rate of one key, as far as it is certain.
type KeyRate struct {
	Position hasher.Position `json:"position"`
	Rate     float64         `json:"rate"`
}

// Sketch counts the requests of an owner's keys with the space-saving algorithm and those of its ranges exactly. Counts
// decay, so that rates follow the load. Memory is bounded by the configured keys and the owned ranges.
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
}

// NewSketch returns a Sketch that starts to count at a time.
func NewSketch(now time.Duration, c SketchConfig) *Sketch {
	if c.Keys < 1 {
		c.Keys = DefaultKeys
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
	}
	if k, tracked := s.index[p]; tracked {
		k.count++
		heap.Fix(&s.keys, k.place)
		return
	}
	if len(s.keys) < s.config.Keys {
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

// Advance lets the counts decay up to a time. It should be called about once a second.
func (s *Sketch) Advance(now time.Duration) {
	span := now - s.now
	if span < decayInterval {
		return
	}
	s.now = now
	factor := math.Exp(-float64(span) / float64(s.config.Window))
	s.total *= factor
	for _, k := range s.keys {
		k.count *= factor
		k.excess *= factor
	}
	for i := range s.ranges {
		s.ranges[i].count *= factor
	}
}

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
	parent := old[i]
	if parent.whole == r {
		return parent
	}
	rest := max(parent.count-s.certain(parent.whole), 0)
	return rangeCount{whole: r, since: parent.since, count: s.certain(r) + rest*width(r)/width(parent.whole)}
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

// Top returns up to n keys with the highest rates, in requests/s, highest first.
func (s *Sketch) Top(n int) []KeyRate {
	top := make([]KeyRate, 0, len(s.keys))
	for _, k := range s.keys {
		top = append(top, KeyRate{Position: k.position, Rate: s.rate(k.count-k.excess, s.begun)})
	}
	slices.SortFunc(top, func(x, y KeyRate) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Position, y.Position))
	})
	return top[:min(n, len(top))]
}

// Rate returns the rate of all requests, in requests/s.
func (s *Sketch) Rate() float64 { return s.rate(s.total, s.begun) }

// RangeRate returns the rate of a range in requests/s. It is exact for the ranges of SetRanges; for others it is the rate
// of the tracked keys and, for the untracked ones, a share by size.
func (s *Sketch) RangeRate(r hasher.Range) float64 {
	if i, found := s.find(r.Low); found && s.ranges[i].whole == r {
		return s.rate(s.ranges[i].count, s.ranges[i].since)
	}
	rest := max(s.total-s.certain(hasher.Full()), 0)
	return s.rate(s.certain(r)+rest*width(r)/width(hasher.Full()), s.begun)
}

// rate converts a decayed count to a rate. A count that began recently has not filled its window yet; spans below one
// second count as one, since a few requests tell no rate.
func (s *Sketch) rate(count float64, since time.Duration) float64 {
	window := s.config.Window.Seconds()
	age := max(s.now-since, decayInterval).Seconds()
	return count / (window * (1 - math.Exp(-age/window)))
}

// Loads returns the rates of the owned ranges and of the hottest keys in the form that a Planner takes.
func (s *Sketch) Loads(keys int) Loads {
	l := Loads{Ranges: make(map[hasher.Range]float64, len(s.ranges)), Keys: s.Top(keys)}
	for _, r := range s.ranges {
		l.Ranges[r.whole] = s.rate(r.count, r.since)
	}
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
