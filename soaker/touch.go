package soaker

import (
	"sync"
	"time"
)

// stableWindow is how long a process must have been without faults to be in touch.
const stableWindow = 3 * time.Second

// touch tracks which processes are in touch: for the stable window there was no fault of the process, its server or its
// links, nor of the store. The zero value has seen no fault. It is safe for concurrent use.
type touch struct {
	mu sync.Mutex
	// active is the number of active faults of each node and ended when its latest fault ended. The nil node stands for
	// the store.
	active map[*node]int
	ended  map[*node]time.Time
}

// begin records that a fault of a node, or of the store if n is nil, begins.
func (t *touch) begin(n *node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		t.active, t.ended = map[*node]int{}, map[*node]time.Time{}
	}
	t.active[n]++
}

// end records that a fault has ended.
func (t *touch) end(n *node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[n]--
	t.ended[n] = time.Now()
}

// since returns from when on a node's process has been in touch, and whether it is in touch at a time, which must be the
// present.
func (t *touch) since(n *node, now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begin := t.ended[n]
	if s := t.ended[nil]; s.After(begin) {
		begin = s
	}
	begin = begin.Add(stableWindow)
	return begin, t.active[n]+t.active[nil] == 0 && !now.Before(begin)
}
