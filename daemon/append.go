package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/appender"
	"hibiscusline/applier"
)

// appendOnce appends a record in the background without waiting until it is applied. The core packages request it again
// if it is lost.
func (d *Daemon) appendOnce(r applier.Record) {
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	d.tasks.Go(func() {
		if _, err := d.client.Append(context.Background(), appender.NewEnvelope(r)); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		d.triggerRead()
	})
}

// appendLease appends a record of the lease state machine and retries while the log fails. The state machine's own
// back-off exceeds two seconds, so that the loss of a zone doesn't flood the log, but an owner that was lost during a
// log outage must be replaced within two seconds of the log's recovery. Retries end after the longest back-off of the
// state machine, which then requests the record again.
func (d *Daemon) appendLease(r applier.Record) {
	const (
		interval    = 500 * time.Millisecond
		maxDuration = 16 * time.Second
	)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	e := appender.NewEnvelope(r)
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		for began := time.Now(); ; {
			_, err := d.client.AppendInTime(ctx, e)
			d.triggerRead()
			if err == nil {
				return
			}
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
			if time.Since(began) > maxDuration {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval/2 + rand.N(interval/2)):
			}
		}
	})
}

// commit appends a record, repeatedly if necessary, until this process has applied it, and returns the result. An error
// means that the record may or may not be in the log.
func (d *Daemon) commit(ctx context.Context, r applier.Record) (applier.Result, error) {
	const resendInterval = 500 * time.Millisecond
	e := appender.NewEnvelope(r)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	for {
		if _, err := d.client.Append(ctx, e); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		timeout := time.After(resendInterval)
		for waiting := true; waiting; {
			changed := d.state.Changed()
			var result applier.Result
			var found bool
			d.state.View(func(s *applier.State) { result, found = s.ResultOf(e.ID) })
			if found {
				return result, nil
			}
			d.triggerRead()
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			case <-ctx.Done():
				return applier.Result{}, errors.Wrapf(ctx.Err(), "%s record may or may not be in the log", applier.KindOf(r))
			}
		}
	}
}
