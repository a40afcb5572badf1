package disruptor

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// datagram waits in a lane until it is due.
type datagram struct {
	due      time.Time
	sequence uint64
	data     []byte
}

type queue []datagram

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(datagram)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// lane sends the datagrams of one direction of a session when they are due.
type lane struct {
	direction Direction
	send      func([]byte)
	wake      chan struct{}

	mu       sync.Mutex
	queue    queue
	sequence uint64
	// free is the time at which a lane of limited bandwidth has sent everything before.
	free time.Time
}

func newLane(d Direction, send func([]byte)) *lane {
	return &lane{direction: d, send: send, wake: make(chan struct{}, 1)}
}

// put queues a copy of a datagram. A full lane drops it, as a router does.
func (l *lane) put(due time.Time, data []byte, transmission time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueued {
		return
	}
	if transmission > 0 {
		if l.free.Before(due) {
			l.free = due
		}
		l.free = l.free.Add(transmission)
		due = l.free
	}
	l.sequence++
	heap.Push(&l.queue, datagram{due: due, sequence: l.sequence, data: slices.Clone(data)})
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// next returns a datagram that is due, or the time until one is.
func (l *lane) next() ([]byte, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil, time.Hour
	}
	if remaining := time.Until(l.queue[0].due); remaining > 0 {
		return nil, remaining
	}
	return heap.Pop(&l.queue).(datagram).data, 0
}

// run sends until the end of the context. Datagrams that are due during a cut are dropped.
func (l *lane) run(ctx context.Context, cut func() bool) {
	for ctx.Err() == nil {
		data, remaining := l.next()
		if remaining == 0 {
			if !cut() {
				l.send(data)
			}
			continue
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-l.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
