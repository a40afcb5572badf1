package waiter

import (
	"context"
	"time"
)

// Bound bounds a call to another party. Only a Promise or an Exception makes one that isn't zero; a call with the zero value
// ends at once.
type Bound struct {
	// answer is the time for the whole answer or, if pause isn't zero, for its first part. pause is the time for each further
	// part.
	answer, pause time.Duration
}

// Shares of the time of a promise that bound calls. A pause is longer than the one after which Hedge repeats a read.
const (
	answerBoundShare = ageShare
	pauseBoundShare  = 0.8
	// questionShare is for a question that can be put to another party as well. The rest is for the time until the question,
	// and for the other party.
	questionShare = 0.25
)

const (
	// maxTransferTime bounds an answer as a whole that may arrive in parts, from the time for its first part on.
	maxTransferTime = 20 * time.Second
	// maxReadTime bounds one attempt of a read that isn't held. Hedge gives it up sooner.
	maxReadTime = 5 * time.Second
)

// Exception is a wait that is not derived from a promise.
type Exception struct {
	// Reason says why no promise rests on the answer, or which price is accepted.
	Reason string
	Within time.Duration
}

// Answer returns a bound for a whole answer.
func (e Exception) Answer() Bound { return Bound{answer: e.Within} }

// Answer returns a bound for the whole answer to a question that can be put to another party as well.
func (p Promise) Answer() Bound { return Bound{answer: p.share(questionShare)} }

// Bound returns a bound for a whole answer: a limit, and less if the promise leaves less for one lost answer.
func (p Promise) Bound(limit time.Duration) Bound {
	return Bound{answer: min(limit, p.share(answerBoundShare))}
}

// TransferBound returns a bound like Bound for the first part of an answer. One that takes long on a slow link isn't given up
// while it arrives.
func (p Promise) TransferBound(limit time.Duration) Bound {
	return Bound{answer: p.Bound(limit).answer, pause: p.share(pauseBoundShare)}
}

// ReadBound returns a bound for one attempt of a read with a hold.
func (p Promise) ReadBound(h Hold) Bound {
	return Bound{answer: h.length + maxReadTime, pause: p.share(pauseBoundShare)}
}

// Duration returns the time for the whole answer, or for its first part if Pause isn't zero.
func (b Bound) Duration() time.Duration { return b.answer }

// Context returns a context for a call whose answer is bounded as a whole.
func (b Bound) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, b.answer)
}

// Pause returns the time for each further part of an answer, or zero.
func (b Bound) Pause() time.Duration { return b.pause }

// Start returns a context for a call. Its other results are to be called for each part of the answer, and at the end.
func (b Bound) Start(ctx context.Context) (context.Context, func(), context.CancelFunc) {
	if b.pause == 0 {
		ctx, cancel := context.WithTimeout(ctx, b.answer)
		return ctx, func() {}, cancel
	}
	ctx, cancel := context.WithTimeout(ctx, b.answer+maxTransferTime)
	stalled := time.AfterFunc(b.answer, cancel)
	return ctx, func() { stalled.Reset(b.pause) }, func() {
		stalled.Stop()
		cancel()
	}
}
