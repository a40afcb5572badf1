package gatekeeper

import (
	"context"
	"sync"
	"time"

	"hibiscusline/pacer"
	"hibiscusline/timer"
)

// Link is the instance's network link, on which large responses take turns. It is safe for concurrent use.
type Link struct {
	mu      sync.Mutex
	pacer   *pacer.Pacer
	waiting map[uint64]chan struct{}
	lastID  uint64
	ticking bool
}

// NewLink returns a Link of a number of bytes per second. Zero means that the link is no limit.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{pacer: pacer.New(bytesPerSecond), waiting: map[uint64]chan struct{}{}}
}

// Await waits for the turn of a message. It reports false if the context ended first.
func (l *Link) Await(ctx context.Context, bytes int) bool {
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	if l.pacer.Arrive(timer.Now(), id, bytes) {
		l.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	l.waiting[id] = turn
	l.tick()
	l.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Cancel(id)
	delete(l.waiting, id)
	return false
}

// tick wakes the next message when the one before it has left. The caller holds mu.
func (l *Link) tick() {
	at, needed := l.pacer.Wake()
	if l.ticking || !needed {
		return
	}
	l.ticking = true
	time.AfterFunc(max(at-timer.Now(), 0), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ticking = false
		if id, found := l.pacer.Next(timer.Now()); found {
			close(l.waiting[id])
			delete(l.waiting, id)
		}
		l.tick()
	})
}

// expect adds bytes that will be sent later to the backlog, or removes them when the number is negative.
func (l *Link) expect(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Expect(bytes)
}

// furtherLinks is how many more links like this one a response crosses on its way to the caller: into the instance where the
// request began, and out of it.
const furtherLinks = 2

// Delay returns how long it would take until a message that arrived now has reached the caller, or zero for one that takes no
// turn.
func (l *Link) Delay(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := l.pacer.TransmitTime(bytes)
	if span == 0 {
		return 0
	}
	return l.pacer.Backlog(timer.Now()) + (1+furtherLinks)*span
}

// Backlog returns how long a large message that arrived now would wait for its turn.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.Backlog(timer.Now())
}

// linkTargetShare is the part of the target that the work of a request and the way of its response may take together. The rest
// is for errors of the estimates.
const linkTargetShare = 0.8

// sizeWeight is the weight of one response in the average size of its rank.
const sizeWeight = 0.1

// noteSize takes the size of a response. The caller holds mu.
func (g *Gatekeeper) noteSize(rank string, bytes int) {
	if have, known := g.sizes[rank]; known {
		g.sizes[rank] = have + sizeWeight*(float64(bytes)-have)
		return
	}
	g.sizes[rank] = float64(bytes)
}

// expectedSize returns the expected size of the response to a job, or zero if it is too small to count on the link.
func (g *Gatekeeper) expectedSize(j *Job) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if size := int(g.sizes[j.Rank]); size >= pacer.MinPacedBytes {
		return size
	}
	return 0
}

// checkLink refuses a job whose response can't leave the instance in time because of the large responses before it.
func (g *Gatekeeper) checkLink(j *Job, size int) (Result, bool) {
	delay := g.config.Link.Delay(size)
	if delay == 0 {
		return Result{}, false
	}
	g.mu.Lock()
	needed := delay + g.admitter.RankMeanServiceTime(j.Rank)
	g.mu.Unlock()
	allowed := min(time.Duration(linkTargetShare*float64(j.Target)), j.Deadline-timer.Now())
	if needed <= allowed {
		return Result{}, false
	}
	return Result{Outcome: NotRun, Reason: LinkBusy, RetryAfter: max(refuseAfter, needed-allowed)}, true
}
