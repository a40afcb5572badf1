package pacer

import (
	"slices"
	"time"
)

// MinPacedBytes is the size from which messages are paced. Smaller ones are sent at once, because they hardly delay one
// another.
const MinPacedBytes = 16 << 10

const (
	// linkShare is the fraction of the link rate that is scheduled. The rest is for traffic that is not counted:
	// requests, acknowledgements and packet headers.
	linkShare = 0.96
	// headerBytes is the size of a message header, which message sizes do not include.
	headerBytes = 500
)

// Pacer schedules large messages in order of arrival. It is not safe for concurrent use.
type Pacer struct {
	// rate is in bytes per second. Zero disables pacing.
	rate    float64
	waiting []message
	// busyUntil is the time until which the bytes already sent occupy the link.
	busyUntil time.Duration
	// expectedBytes is the total size of messages announced by Expect.
	expectedBytes int
}

type message struct {
	id    uint64
	bytes int
	early bool
}

// New returns a Pacer for a link rate in bytes per second. Zero means that the link is not limited.
func New(linkRate float64) *Pacer { return &Pacer{rate: linkRate * linkShare} }

// linkTime returns how long the link takes to transmit a number of bytes.
func (p *Pacer) linkTime(bytes int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// Arrive adds a message that is ready to be sent and reports whether it may be sent at once. Small messages always may,
// and delay the next large one.
func (p *Pacer) Arrive(now time.Duration, id uint64, bytes int) bool {
	switch {
	case p.rate <= 0:
		return true
	case bytes < MinPacedBytes:
		p.occupy(now, bytes)
		return true
	}
	p.waiting = append(p.waiting, message{id: id, bytes: bytes})
	return p.nextIfAlone(now)
}

// ArriveEarly is like Arrive, for a message that takes turns whatever its size, and goes before those that Arrive added.
func (p *Pacer) ArriveEarly(now time.Duration, id uint64, bytes int) bool {
	if p.rate <= 0 {
		return true
	}
	first := slices.IndexFunc(p.waiting, func(m message) bool { return !m.early })
	if first < 0 {
		first = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, first, message{id: id, bytes: bytes, early: true})
	return p.nextIfAlone(now)
}

// nextIfAlone reports whether the only waiting message may be sent now.
func (p *Pacer) nextIfAlone(now time.Duration) bool {
	if len(p.waiting) > 1 {
		// Earlier messages go first, even if the link is already free: Next may be called late.
		return false
	}
	_, found := p.Next(now)
	return found
}

// Next returns the id of the message to send now, if there is one.
func (p *Pacer) Next(now time.Duration) (id uint64, found bool) {
	if now < p.busyUntil || len(p.waiting) == 0 {
		return 0, false
	}
	m := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.occupy(now, m.bytes)
	return m.id, true
}

func (p *Pacer) occupy(now time.Duration, bytes int) {
	p.busyUntil = max(p.busyUntil, now) + p.linkTime(bytes+headerBytes)
}

// Wake returns the time at which to call Next, and whether a message is waiting.
func (p *Pacer) Wake() (time.Duration, bool) { return p.busyUntil, len(p.waiting) > 0 }

// Cancel removes a waiting message that is no longer needed.
func (p *Pacer) Cancel(id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(m message) bool { return m.id == id })
}

// Expect announces the bytes of a message that will arrive. A negative number withdraws the announcement.
func (p *Pacer) Expect(bytes int) { p.expectedBytes += bytes }

// Backlog returns how long a message that arrived now would wait, including for announced messages.
func (p *Pacer) Backlog(now time.Duration) time.Duration {
	left := max(p.busyUntil-now, 0)
	bytes := p.expectedBytes
	for _, m := range p.waiting {
		bytes += m.bytes + headerBytes
	}
	return left + p.linkTime(bytes)
}

// TransmitTime returns how long a message of a given size occupies the link, or zero if messages of that size are not
// paced.
func (p *Pacer) TransmitTime(bytes int) time.Duration {
	if bytes < MinPacedBytes {
		return 0
	}
	return p.linkTime(bytes + headerBytes)
}
