package pacer

import (
	"slices"
	"time"
)

// Large is the number of bytes from which on a message takes turns. Smaller ones go at once: they hardly delay one another.
const Large = 16 << 10

// linkShare is the part of the link that large messages may use together. The rest is for the small ones.
const linkShare = 0.85

// Pacer gives turns to large messages in the order of their arrival. It is not safe for concurrent use.
type Pacer struct {
	// rate is in bytes per second. Zero means that no message waits.
	rate    float64
	waiting []turn
	// current is the message whose bytes are on the link until busy, if there is one.
	current bool
	busy    time.Duration
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

// Arrive adds a message that is ready to be sent. It reports true if the message may be sent at once.
func (p *Pacer) Arrive(now time.Duration, id uint64, bytes int) bool {
	if p.rate <= 0 || bytes < Large {
		return true
	}
	p.waiting = append(p.waiting, turn{id: id, bytes: bytes})
	started, found := p.Next(now)
	return found && started == id
}

// Next returns the message whose turn begins, if one does.
func (p *Pacer) Next(now time.Duration) (id uint64, found bool) {
	if p.current && now < p.busy {
		return 0, false
	}
	p.current = false
	if len(p.waiting) == 0 {
		return 0, false
	}
	t := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.current, p.busy = true, now+p.span(t.bytes)
	return t.id, true
}

// Wake returns the time at which Next should be called, if a message waits.
func (p *Pacer) Wake() (time.Duration, bool) { return p.busy, len(p.waiting) > 0 }

// Leave removes a message that waits, because nobody wants it any more.
func (p *Pacer) Leave(id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(t turn) bool { return t.id == id })
}

// Expect adds a number of bytes of a message that will arrive, or removes it when the number is negative.
func (p *Pacer) Expect(bytes int) { p.expected += bytes }

// Backlog returns how long a message that arrived now would wait for its turn, with those that are expected before it.
func (p *Pacer) Backlog(now time.Duration) time.Duration {
	left := time.Duration(0)
	if p.current {
		left = max(p.busy-now, 0)
	}
	bytes := p.expected
	for _, t := range p.waiting {
		bytes += t.bytes
	}
	return left + p.span(bytes)
}

// Span returns how long a message of a size is on the link once its turn has come, or zero for one that takes no turn.
func (p *Pacer) Span(bytes int) time.Duration {
	if bytes < Large {
		return 0
	}
	return p.span(bytes)
}
