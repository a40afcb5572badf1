package pacer

import (
	"slices"
	"time"
)

// MinPacedBytes is the number of bytes from which on a message takes turns. Smaller ones go at once: they hardly delay one another.
const MinPacedBytes = 16 << 10

const (
	// linkShare is the part of the link that is planned for. The rest is for what isn't counted: requests, acknowledgements,
	// packet headers.
	linkShare = 0.96
	// overhead is the size of a message's header, which its bytes don't count.
	overhead = 500
)

// Pacer gives turns to large messages in the order of their arrival. It is not safe for concurrent use.
type Pacer struct {
	// rate is in bytes per second. Zero means that no message waits.
	rate    float64
	waiting []turn
	// busy is the time until which the bytes that were let onto the link occupy it.
	busy time.Duration
	// expected is the number of bytes of messages that will come.
	expected int
}

type turn struct {
	id    uint64
	bytes int
}

// New returns a Pacer for a link of a number of bytes per second. Zero means that the link is no limit.
func New(link float64) *Pacer { return &Pacer{rate: link * linkShare} }

// span returns how long a number of bytes takes on the link.
func (p *Pacer) span(bytes int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// Arrive adds a message that is ready to be sent. It reports true if the message may be sent at once. Small ones always may,
// and the next large one waits for them.
func (p *Pacer) Arrive(now time.Duration, id uint64, bytes int) bool {
	switch {
	case p.rate <= 0:
		return true
	case bytes < MinPacedBytes:
		p.occupy(now, bytes)
		return true
	}
	p.waiting = append(p.waiting, turn{id: id, bytes: bytes})
	if len(p.waiting) > 1 {
		// Those before it are started by Next, which may be called late.
		return false
	}
	_, found := p.Next(now)
	return found
}

// Next returns the message whose turn begins, if one does.
func (p *Pacer) Next(now time.Duration) (id uint64, found bool) {
	if now < p.busy || len(p.waiting) == 0 {
		return 0, false
	}
	t := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.occupy(now, t.bytes)
	return t.id, true
}

func (p *Pacer) occupy(now time.Duration, bytes int) {
	p.busy = max(p.busy, now) + p.span(bytes+overhead)
}

// Wake returns the time at which Next should be called, if a message waits.
func (p *Pacer) Wake() (time.Duration, bool) { return p.busy, len(p.waiting) > 0 }

// Cancel removes a message that waits, because nobody wants it any more.
func (p *Pacer) Cancel(id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(t turn) bool { return t.id == id })
}

// Expect adds a number of bytes of a message that will arrive, or removes it when the number is negative.
func (p *Pacer) Expect(bytes int) { p.expected += bytes }

// Backlog returns how long a message that arrived now would wait for its turn, with those that are expected before it.
func (p *Pacer) Backlog(now time.Duration) time.Duration {
	left := max(p.busy-now, 0)
	bytes := p.expected
	for _, t := range p.waiting {
		bytes += t.bytes + overhead
	}
	return left + p.span(bytes)
}

// TransmitTime returns how long a message of a size is on the link once its turn has come, or zero for one that takes no turn.
func (p *Pacer) TransmitTime(bytes int) time.Duration {
	if bytes < MinPacedBytes {
		return 0
	}
	return p.span(bytes + overhead)
}
