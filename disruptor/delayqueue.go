package disruptor

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// datagram is a queued datagram. The sequence keeps the order of datagrams that are due at the same time.
type datagram struct {
	due      time.Time
	sequence uint64
	data     []byte
}

type datagramHeap []datagram

func (h datagramHeap) Len() int { return len(h) }

func (h datagramHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].due.Before(h[j].due)
}

func (h datagramHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *datagramHeap) Push(x any) { *h = append(*h, x.(datagram)) }

// Pop implements heap.Interface.
func (h *datagramHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// delayQueue sends the datagrams of one direction of a session when they are due.
type delayQueue struct {
	direction Direction
	send      func([]byte)
	wake      chan struct{}

	mu        sync.Mutex
	datagrams datagramHeap
	sequence  uint64
	// idleAt is the time at which a queue with limited bandwidth will have sent everything queued so far.
	idleAt time.Time
}

func newDelayQueue(d Direction, send func([]byte)) *delayQueue {
	return &delayQueue{direction: d, send: send, wake: make(chan struct{}, 1)}
}

// enqueue adds a copy of a datagram. A full queue drops it, as a network router does.
func (q *delayQueue) enqueue(due time.Time, data []byte, transmissionTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.datagrams) >= maxQueuedDatagrams {
		return
	}
	if transmissionTime > 0 {
		if q.idleAt.Before(due) {
			q.idleAt = due
		}
		q.idleAt = q.idleAt.Add(transmissionTime)
		due = q.idleAt
	}
	q.sequence++
	heap.Push(&q.datagrams, datagram{due: due, sequence: q.sequence, data: slices.Clone(data)})
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// next returns a datagram that is due and zero, or nil and the time until the next one is due.
func (q *delayQueue) next() ([]byte, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.datagrams) == 0 {
		return nil, time.Hour
	}
	if remaining := time.Until(q.datagrams[0].due); remaining > 0 {
		return nil, remaining
	}
	return heap.Pop(&q.datagrams).(datagram).data, 0
}

// run sends datagrams until the context ends. It drops datagrams that become due during a cut.
func (q *delayQueue) run(ctx context.Context, cut func() bool) {
	for ctx.Err() == nil {
		data, remaining := q.next()
		if remaining == 0 {
			if !cut() {
				q.send(data)
			}
			continue
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-q.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
