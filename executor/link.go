package executor

import (
	"context"
	"sync"
	"time"

	"hibiscusline/pacer"
	"hibiscusline/timer"
)

// Link is the instance's network link. It sends large responses one at a time. It is safe for concurrent use.
type Link struct {
	mu            sync.Mutex
	pacer         *pacer.Pacer
	waiting       map[uint64]chan struct{}
	lastID        uint64
	wakeScheduled bool
}

// NewLink returns a Link with a rate in bytes per second. Zero means unlimited.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{pacer: pacer.New(bytesPerSecond), waiting: map[uint64]chan struct{}{}}
}

// Acquire waits until a message of a number of bytes may be sent. It reports false if ctx ended first.
func (l *Link) Acquire(ctx context.Context, bytes int) bool {
	return l.acquire(ctx, bytes, (*pacer.Pacer).Arrive)
}

// AcquireEarly is like Acquire, for a message that takes turns whatever its size, and goes before the waiting responses of
// servers.
func (l *Link) AcquireEarly(ctx context.Context, bytes int) bool {
	return l.acquire(ctx, bytes, (*pacer.Pacer).ArriveEarly)
}

func (l *Link) acquire(
	ctx context.Context, bytes int, arrive func(p *pacer.Pacer, now time.Duration, id uint64, bytes int) bool,
) bool {
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	if arrive(l.pacer, timer.Now(), id, bytes) {
		l.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	l.waiting[id] = granted
	l.scheduleWake()
	l.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Cancel(id)
	delete(l.waiting, id)
	return false
}

// scheduleWake wakes the next message when the one before it has been sent. The caller holds mu.
func (l *Link) scheduleWake() {
	at, needed := l.pacer.Wake()
	if l.wakeScheduled || !needed {
		return
	}
	l.wakeScheduled = true
	time.AfterFunc(max(at-timer.Now(), 0), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wakeScheduled = false
		if id, found := l.pacer.Next(timer.Now()); found {
			close(l.waiting[id])
			delete(l.waiting, id)
		}
		l.scheduleWake()
	})
}

// reserve adds bytes that will be sent later to the backlog, or removes them if the number is negative.
func (l *Link) reserve(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Expect(bytes)
}

// downstreamLinks is the number of further links with the same rate that a response crosses on its way to the caller:
// into the instance that received the request, and out of it.
const downstreamLinks = 2

// Delay returns how long a message that arrives now takes to reach the caller, or zero for one too small to wait its
// turn.
func (l *Link) Delay(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := l.pacer.TransmitTime(bytes)
	if span == 0 {
		return 0
	}
	return l.pacer.Backlog(timer.Now()) + (1+downstreamLinks)*span
}

// Backlog returns how long a large message that arrives now waits before it is sent.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.Backlog(timer.Now())
}

// linkTargetShare is the part of the latency target that the service time and the transfer of the response may take
// together. The rest allows for estimation errors.
const linkTargetShare = 0.8

// sizeWeight is the weight of one response in the average response size of its rank.
const sizeWeight = 0.1

// recordResponseSize updates the average response size of a rank. The caller holds mu.
func (g *Executor) recordResponseSize(rank string, bytes int) {
	if average, known := g.responseSizes[rank]; known {
		g.responseSizes[rank] = average + sizeWeight*(float64(bytes)-average)
		return
	}
	g.responseSizes[rank] = float64(bytes)
}

// expectedResponseSize returns the expected size of the response to a job in bytes, or zero if it is too small to wait
// for the link.
func (g *Executor) expectedResponseSize(j *Job) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if size := int(g.responseSizes[j.Rank]); size >= pacer.MinPacedBytes {
		return size
	}
	return 0
}

// checkLink refuses a job whose response can't reach the caller in time because of the backlog of the link.
func (g *Executor) checkLink(j *Job, size int) (Result, bool) {
	delay := g.config.Link.Delay(size)
	if delay == 0 {
		return Result{}, false
	}
	g.mu.Lock()
	needed := delay + g.queue.Admitter().RankMeanServiceTime(admissionRank(j))
	g.mu.Unlock()
	allowed := min(time.Duration(linkTargetShare*float64(j.LatencyTarget)), j.Deadline-timer.Now())
	if needed <= allowed {
		return Result{}, false
	}
	return Result{Outcome: NotRun, Reason: LinkBusy, RetryAfter: max(defaultRetryAfter, needed-allowed)}, true
}
