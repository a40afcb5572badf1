package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/appender"
	"hibiscusline/applier"
)

// appendOnce appends a record without waiting for its effect. The core packages ask again when it is lost.
func (d *Daemon) appendOnce(r applier.Record) {
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	d.tasks.Go(func() {
		if _, err := d.client.Append(context.Background(), appender.NewEnvelope(r)); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		d.kick()
	})
}

// appendLease appends a record of the lease machine, and again while the log fails. The machine's own back-off is longer
// than two seconds, so that the loss of a zone doesn't flood the log, but an owner that was lost in an outage of the log
// must be replaced within two seconds of its return. Repetitions end after the machine's longest back-off, when it asks again.
func (d *Daemon) appendLease(r applier.Record) {
	const (
		interval = 500 * time.Millisecond
		limit    = 16 * time.Second
	)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	e := appender.NewEnvelope(r)
	d.tasks.Go(func() {
		ctx, cancel := d.background()
		defer cancel()
		for began := time.Now(); ; {
			_, err := d.client.Append(ctx, e)
			d.kick()
			if err == nil {
				return
			}
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
			if time.Since(began) > limit {
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

// commit appends a record until it was applied here, and returns what became of it.
func (d *Daemon) commit(ctx context.Context, r applier.Record) (applier.Result, error) {
	const resend = 500 * time.Millisecond
	e := appender.NewEnvelope(r)
	d.metrics.GetOrCreateCounter(`hibiscus_appends_total{kind="` + applier.KindOf(r).String() + `"}`).Inc()
	for {
		if _, err := d.client.Append(ctx, e); err != nil {
			d.metrics.GetOrCreateCounter("hibiscus_append_errors_total").Inc()
		}
		timeout := time.After(resend)
		for waiting := true; waiting; {
			changed := d.state.Changed()
			var result applier.Result
			var found bool
			d.state.View(func(s *applier.State) { result, found = s.ResultOf(e.ID) })
			if found {
				return result, nil
			}
			d.kick()
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
