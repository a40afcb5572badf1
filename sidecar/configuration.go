package sidecar

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/delegator"
	"hibiscusline/forwarder"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// configuration is a published configuration with its encoded document, which other sidecars may request.
type configuration struct {
	version  uint64
	document []byte
	// era and offset are where the store has the document. The offset is zero if that is unknown.
	era, offset uint64
}

// applyConfiguration applies a configuration unless the current one is as new. It reports false if it can't be read.
func (a *Sidecar) applyConfiguration(document []byte, at registrar.Position, source string) bool {
	c, err := platform.DecodeConfiguration(document)
	if err != nil {
		_ = a.logger.Log("event", "configuration_rejected", "source", source, "error", err)
		return false
	}
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if current := a.current.Load(); current != nil && current.version >= c.Version {
		return true
	}
	lag, _ := a.announced.Behind(a.version())
	a.announced.Applied(timer.Now(), c.Version)
	a.current.Store(&configuration{version: c.Version, document: document, era: at.Era, offset: at.Offset})
	a.documents.add(c.Version, document)
	a.forwarder.SetRoutes(matcher.New(c, rand.Uint64()))
	_ = a.logger.Log("event", "configuration", "version", c.Version, "source", source, "routes", len(c.Routes),
		"announced", lag.Version, "announced_ms", lag.LackedFor(timer.Now()).Milliseconds())
	if len(c.Unrecognized) > 0 {
		_ = a.logger.Log("event", "configuration_unrecognized", "version", c.Version, "count", len(c.Unrecognized), "first", c.Unrecognized[0])
	}
	a.applyColdRate()
	wake(a.planWake)
	a.updates.send()
	return true
}

// freshness returns how current the loaded configuration is.
func (a *Sidecar) freshness() forwarder.Freshness {
	var f forwarder.Freshness
	now := timer.Now()
	if age, confirmed := a.configurationAge.Confirmed(now); confirmed && !a.configurationUnreadable.Load() {
		f.CompleteAt = now - age
	}
	if lag, behind := a.announced.Behind(a.version()); behind {
		f.Newer = lag.Version
	}
	return f
}

// observeVersion records the configuration of another sidecar.
func (a *Sidecar) observeVersion(version, offset uint64, source netip.AddrPort) {
	if version <= a.version() {
		return
	}
	a.announced.Observe(delegator.Announcement{Version: version, Offset: offset, Source: source, Since: timer.Now()})
	wake(a.newerConfig)
	wake(a.documentWake)
}

// configurationRead is how far the configurations of the store were read.
type configurationRead struct {
	// era is the era of the store that next belongs to.
	era, next uint64
	// version is the newest version that the store was found to have in the era.
	version uint64
	// loaded means that the newest one was read, and failed that the latest read failed.
	loaded, failed bool
}

// followConfiguration keeps the operators' configuration up to date. While other sidecars read the store for this one,
// it reads the store only after it has learned of a newer version, or when they haven't confirmed the present one for too
// long. Versions that another one has replaced are skipped.
func (a *Sidecar) followConfiguration(ctx context.Context) {
	var r configurationRead
	for ctx.Err() == nil {
		if r.era < a.store.Era() || r.era < a.registrar.View().Era {
			r = configurationRead{era: max(a.store.Era(), a.registrar.View().Era)}
		}
		lag, behind := a.announced.Behind(a.version())
		if r.loaded && !behind && a.othersConfirmConfiguration() {
			a.awaitNewerConfig(ctx)
			continue
		}
		hold := a.promises.configuration.Hold()
		if behind || r.failed || a.delegated.Load() {
			hold = waiter.Hold{}
		}
		if behind && r.era == 0 {
			// Offsets that others have announced may be of an earlier era.
			r.next = max(r.next, lag.Offset)
		}
		whole := !r.loaded
		count, err := a.readConfiguration(ctx, &r, hold)
		if err != nil {
			a.storeHealth.markDown(err)
			if !timer.Sleep(ctx, min(a.storeHealth.retryDelay(), a.promises.configuration.Retry())) {
				return
			}
			continue
		}
		if hold == (waiter.Hold{}) && a.lostConfiguration(&r) && !timer.Sleep(ctx, a.promises.configuration.Retry()) {
			return
		}
		if behind && a.version() < lag.Version {
			if whole {
				a.announced.Withdraw(lag.Version)
			}
			r.loaded = r.loaded && count > 0
		}
		if count > 0 && r.loaded && !timer.Sleep(ctx, configurationBatchDelay) {
			return
		}
	}
}

// othersConfirmConfiguration reports whether other sidecars read the configuration for this one and have confirmed it
// recently.
func (a *Sidecar) othersConfirmConfiguration() bool {
	return a.delegated.Load() && a.configurationAge.Age(timer.Now()) < a.promises.configuration.MaxAge()
}

// newestConfiguration returns the last of the configurations among records. Those before it needn't be decoded.
func newestConfiguration(entries []registrar.Entry) (registrar.Entry, bool) {
	for _, e := range slices.Backward(entries) {
		if e.Key == platform.ConfigurationKey && len(e.Value) > 0 {
			return e, true
		}
	}
	return registrar.Entry{}, false
}

// awaitNewerConfig waits until a newer version is known or until it is time to check whether this sidecar must read the
// store itself.
func (a *Sidecar) awaitNewerConfig(ctx context.Context) {
	untilStale := a.promises.configuration.MaxAge() - a.configurationAge.Age(timer.Now())
	end := time.NewTimer(min(delegationCheckInterval, untilStale))
	defer end.Stop()
	select {
	case <-a.newerConfig:
	case <-end.C:
	case <-ctx.Done():
	}
}

// readConfiguration reads the newest configuration, or, once one was loaded, those from an offset on, and applies the newest.
// It returns the number of those that it read.
func (a *Sidecar) readConfiguration(ctx context.Context, r *configurationRead, hold waiter.Hold) (int, error) {
	read := storeRead{
		topic: platform.ConfigurationTopic, promise: a.promises.configuration, newest: !r.loaded, from: r.next,
		maxKiB: maxConfigurationsKiB, hold: hold, left: a.timeLeft(r),
	}
	if read.newest {
		read.hold = waiter.Hold{}
	}
	known, start := a.evacuationKnowledge(), timer.Now()
	answer, err := a.readStore(ctx, read)
	if took := timer.Now() - start; err != nil || took > read.hold.Duration()+slowConfigurationRead {
		_ = a.logger.Log("event", "configuration_read", "loaded", r.loaded, "from", r.next, "records", len(answer.entries),
			"ms", took.Milliseconds(), "error", err)
	}
	r.failed = err != nil
	if errors.Is(err, platform.ErrExpired) {
		*r = configurationRead{era: r.era}
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	switch {
	case answer.era < r.era:
		a.logOtherEra("configuration", answer.era)
		return 0, errEarlierEra
	case answer.era > r.era:
		*r = configurationRead{era: answer.era}
		if !read.newest {
			return 0, nil
		}
	}
	if a.delegated.Load() {
		// Nothing else shows that the store answers again while others read the records.
		a.storeHealth.markUp()
	}
	a.applyEvacuationRecords(known, read, answer)
	// A process that has missed many versions reads only the newest one next.
	r.next, r.loaded = answer.next, read.newest || answer.completeAt != 0
	if e, found := newestConfiguration(answer.entries); found {
		// A clone doesn't keep the other versions of the read in memory.
		at := registrar.Position{Era: answer.era, Offset: e.Offset}
		a.configurationUnreadable.Store(!a.applyConfiguration(bytes.Clone(e.Value), at, "store"))
		if r.era > 0 {
			r.version = max(r.version, a.storedVersion(e.Value))
		}
	}
	if a.lostConfiguration(r) {
		return len(answer.entries), nil
	}
	confirmed := answer.completeAt
	if read.newest {
		confirmed = answer.start
	}
	a.configurationAge.Confirm(confirmed)
	if a.evacuations.Known() && !a.evacuations.Covers(registrar.Position{Era: answer.era, Offset: answer.next}) {
		// Versions were skipped, and with them perhaps records of evacuations that no other process knows.
		r.loaded = false
	}
	return len(answer.entries), nil
}

// timeLeft returns the time that the promise leaves for a read that is sent because others no longer confirm the
// configuration, or zero for another read. One of a version that others have may take long on a slow link.
func (a *Sidecar) timeLeft(r *configurationRead) time.Duration {
	_, behind := a.announced.Behind(a.version())
	if behind || r.failed || !r.loaded {
		return 0
	}
	return max(a.promises.configuration.Within-a.configurationAge.Age(timer.Now()), 0)
}

// maxConfigurationsKiB bounds the versions that one read returns. It exceeds the longest record of the store.
const maxConfigurationsKiB = 512

// slowConfigurationRead is the time, beyond its hold, from which a read of the configuration is logged.
const slowConfigurationRead = 500 * time.Millisecond

// storedVersion returns the version of a configuration of the store, or zero if it can't be read.
func (a *Sidecar) storedVersion(document []byte) uint64 {
	if c := a.current.Load(); c != nil && bytes.Equal(c.document, document) {
		return c.version
	}
	c, err := platform.DecodeConfiguration(document)
	if err != nil {
		return 0
	}
	return c.Version
}

// lostConfiguration reports whether the store, since it came back from an older copy, lacks the configuration in force. It then
// doesn't confirm that there is no later one.
func (a *Sidecar) lostConfiguration(r *configurationRead) bool {
	return r.era > 0 && r.version < a.version()
}
