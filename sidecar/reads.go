package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/confirmer"
	"hibiscusline/hedger"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// promises are the times that rest on reads of the store.
type promises struct {
	// configuration is that a new configuration is in force, and records that all processes use a new record.
	configuration, records waiter.Promise
	// acknowledgement is that a server gets the answer to a heartbeat or a leaving.
	acknowledgement waiter.Promise
}

// acknowledgementTime is the time after which a server takes a heartbeat or a leaving as not acknowledged.
const acknowledgementTime = time.Second

// joinTime is how much later than a configuration a new member may be in use.
const joinTime = 2 * time.Second

// recordsLeaseDivisor bounds the promise of the records when leases are short, since reads of them renew the lease.
const recordsLeaseDivisor = 2

func newPromises(configuration, leaseTerm time.Duration) promises {
	return promises{
		configuration: waiter.Promise{Name: "configuration", Within: configuration},
		records:       waiter.Promise{Name: "records", Within: min(configuration+joinTime, leaseTerm/recordsLeaseDivisor)},
		acknowledgement: waiter.Promise{
			Name: "acknowledgement", Within: acknowledgementTime,
		},
	}
}

// storeRead is a read of the records of a topic from an offset on, or of the newest record of each key.
type storeRead struct {
	topic   string
	promise waiter.Promise
	newest  bool
	from    uint64
	// maxKiB bounds the records of the answer to a read from an offset on. Zero means the store's default.
	maxKiB int
	// hold is how long the store may hold the read while it has no record from the offset on.
	hold waiter.Hold
	// left is the time that the promise leaves for a read without a hold. Zero means that it leaves none, or that nobody knows.
	left time.Duration
}

// hedge returns when a read is repeated.
func (a *Sidecar) hedge(r storeRead) hedger.Config {
	latency := a.latencies.estimate(r.topic)
	if a.latencies.isSilent(r.topic) {
		return r.promise.HedgeAfterSilence(r.hold, latency)
	}
	if r.hold == (waiter.Hold{}) {
		return r.promise.HedgeBy(r.left, latency)
	}
	return r.promise.Hedge(r.hold, latency)
}

// storeAnswer is the answer to a storeRead.
type storeAnswer struct {
	entries []registrar.Entry
	// era is the era of the store that the offsets belong to, and next the offset from which the next read continues.
	era, next uint64
	// start is when the read began. completeAt is up to when the answer shows all records, or zero if it may lack some.
	start, completeAt time.Duration
	// expired means that records from the offset on were deleted.
	expired bool
}

// readStore reads the store. It repeats a read that is overdue on a new connection, since its answer may have been lost.
func (a *Sidecar) readStore(ctx context.Context, r storeRead) (storeAnswer, error) {
	start := timer.Now()
	config := a.hedge(r)
	config.OnOverdue = func(attempt int) {
		a.store.CloseIdle()
		a.logOverdueRead(r, attempt, start)
	}
	answer, err := hedger.Do(ctx, config, func(ctx context.Context, attempt hedger.Attempt) (storeAnswer, error) {
		r := r
		if attempt.Number > 0 {
			r.hold = waiter.Hold{}
		}
		answer, err := a.attemptRead(ctx, r, attempt)
		if errors.Is(err, platform.ErrExpired) {
			// This answers the read, so no other attempt is waited for.
			return storeAnswer{expired: true}, nil
		}
		return answer, err
	})
	a.latencies.setSilent(r.topic, errors.Is(err, hedger.ErrUnanswered))
	if answer.expired {
		return storeAnswer{}, platform.ErrExpired
	}
	return answer, err
}

// attemptRead makes one attempt of a read. It logs the state of a connection on which the answer didn't come.
func (a *Sidecar) attemptRead(ctx context.Context, r storeRead, attempt hedger.Attempt) (storeAnswer, error) {
	start := timer.Now()
	ctx, progress, cancel := r.promise.ReadBound(r.hold).Start(ctx)
	defer cancel()
	store := a.store.With(platform.CallOptions{NewConn: attempt.Number > 0, MaxReadKiB: r.maxKiB, OnProgress: func() {
		attempt.Progress()
		progress()
	}})
	answer, err := a.sendRead(ctx, store, r)
	if late := timer.Now() - start - r.hold.Duration(); err == nil && len(answer.entries) == 0 {
		// Answers with records take longer on a slow link.
		a.latencies.record(r.topic, late)
	}
	if failed := new(carrier.ExchangeError); timer.Now()-start > r.hold.Duration() && errors.As(err, &failed) {
		_ = a.logger.Log("event", "read_given_up", "topic", r.topic, "from", r.from, "attempt", attempt.Number,
			"hold_ms", r.hold.Duration().Milliseconds(), "ms", (timer.Now() - start).Milliseconds(), "reused", failed.Conn.Reused,
			"acknowledged_ms", failed.Conn.Acknowledged.Milliseconds(), "received_ms", failed.Conn.Received.Milliseconds(),
			"store_answered_ms", store.AnsweredFor(timer.Now()).Milliseconds(), "error", err)
	}
	return answer, err
}

func (a *Sidecar) sendRead(ctx context.Context, store *platform.Store, r storeRead) (storeAnswer, error) {
	answer := storeAnswer{start: timer.Now()}
	if r.newest {
		a.metrics.count(`hibiscus_store_calls_total{call="newest"}`)
		entries, end, err := store.Newest(ctx, r.topic)
		answer.entries, answer.era, answer.next = entries, end.Era, end.Offset
		return answer, err
	}
	a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
	b, err := store.Read(ctx, r.topic, r.from, r.hold)
	answer.entries, answer.era, answer.next = b.Entries, b.Era, b.Next
	switch {
	case b.Next != b.End:
	case len(b.Entries) > 0 || timer.Now() < answer.start+r.hold.Duration():
		answer.completeAt = answer.start
	default:
		// The store has held the read to the end.
		answer.completeAt = answer.start + r.hold.Duration()
	}
	return answer, err
}

func (a *Sidecar) logOverdueRead(r storeRead, attempt int, start time.Duration) {
	a.metrics.count(`hibiscus_store_reads_overdue_total{topic="` + r.topic + `"}`)
	now := timer.Now()
	_ = a.logger.Log("event", "read_overdue", "topic", r.topic, "from", r.from, "attempt", attempt, "promise", r.promise.Name,
		"hold_ms", r.hold.Duration().Milliseconds(), "ms", (now - start).Milliseconds(),
		"store_answered_ms", a.store.AnsweredFor(now).Milliseconds())
}

// checkConfigurationAge logs when the store last confirmed the configuration longer ago than a new one may take to be in
// force, and when it has confirmed it again.
func (a *Sidecar) checkConfigurationAge() {
	switch c := a.configurationAge.Check(timer.Now()).(type) {
	case confirmer.Exceeded:
		a.metrics.count("hibiscus_configuration_stale_total")
		_ = a.logger.Log("event", "configuration_stale", "version", a.version(), "age_ms", c.Age.Milliseconds(),
			"delegated", a.delegated.Load(), "store_answered_ms", a.store.AnsweredFor(timer.Now()).Milliseconds())
	case confirmer.Recovered:
		_ = a.logger.Log("event", "configuration_confirmed", "version", a.version(), "age_ms", c.Age.Milliseconds())
	}
}
