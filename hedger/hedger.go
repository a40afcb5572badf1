package hedger

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Config configures a call.
type Config struct {
	// Overdue is the time after which the first attempt is overdue, and Interval the time after which each later one is.
	Overdue, Interval time.Duration
	// Pause is the time without a further part after which an answer that has begun to arrive is overdue. Zero means that it
	// never is.
	Pause time.Duration
	// Attempts is the number of attempts.
	Attempts int
	// OnOverdue is called when the attempt that started or progressed last, numbered from 0, is overdue. It may be nil.
	OnOverdue func(attempt int)
}

// Attempt is one attempt of a call.
type Attempt struct {
	// Number counts from 0.
	Number int
	// Progress is to be called for each part of the answer that arrives. No attempt is overdue for Config.Pause from then on.
	Progress func()
}

// ErrUnanswered means that all attempts are overdue and no answer has begun to arrive.
var ErrUnanswered = errors.New("no answer in time")

type outcome[T any] struct {
	attempt int
	value   T
	err     error
}

// Do calls send, and calls it again when the latest attempt is overdue. It returns the first answer and cancels the other
// attempts. It returns an error once an attempt has failed and no other is left, or ErrUnanswered. An answer that has begun to
// arrive is never given up: send returns an error if it pauses for too long.
func Do[T any](ctx context.Context, c Config, send func(context.Context, Attempt) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes, parts := make(chan outcome[T]), make(chan int)
	start := func(number int) {
		value, err := send(ctx, Attempt{Number: number, Progress: func() {
			select {
			case parts <- number:
			case <-ctx.Done():
			}
		}})
		select {
		case outcomes <- outcome[T]{number, value, err}:
		case <-ctx.Done():
		}
	}
	go start(0)
	attempts, pending, latest := 1, 1, 0
	arriving := map[int]bool{}
	overdue := time.NewTimer(c.Overdue)
	defer overdue.Stop()
	var zero T
	for {
		select {
		case o := <-outcomes:
			pending--
			if o.err == nil || pending == 0 {
				return o.value, o.err
			}
			if c.Pause == 0 && arriving[o.attempt] && len(arriving) == 1 {
				overdue.Reset(c.Interval)
			}
			delete(arriving, o.attempt)
		case latest = <-parts:
			arriving[latest] = true
			overdue.Stop()
			if c.Pause > 0 {
				overdue.Reset(c.Pause)
			}
		case <-overdue.C:
			if attempts == c.Attempts && len(arriving) > 0 {
				overdue.Reset(c.Pause)
				continue
			}
			if c.OnOverdue != nil {
				c.OnOverdue(latest)
			}
			if attempts == c.Attempts {
				return zero, ErrUnanswered
			}
			latest = attempts
			go start(latest)
			attempts++
			pending++
			overdue.Reset(c.Interval)
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
}
