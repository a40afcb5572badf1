package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/delegator"
	"hibiscusline/executor"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// configuration is a published configuration with its encoded document, which other sidecars may request.
type configuration struct {
	version  uint64
	document []byte
	// offset is where the store has the document, or zero if that is unknown.
	offset uint64
}

// applyConfiguration applies a configuration unless the current one is as new.
func (a *Sidecar) applyConfiguration(document []byte, offset uint64, source string) {
	c, err := platform.DecodeConfiguration(document)
	if err != nil {
		_ = a.logger.Log("event", "configuration_rejected", "source", source, "error", err)
		return
	}
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if current := a.current.Load(); current != nil && current.version >= c.Version {
		return
	}
	a.announced.Applied(timer.Now(), c.Version)
	a.current.Store(&configuration{version: c.Version, document: document, offset: offset})
	a.forwarder.SetRoutes(matcher.New(c, rand.Uint64()))
	_ = a.logger.Log("event", "configuration", "version", c.Version, "source", source, "routes", len(c.Routes))
	if len(c.Unrecognized) > 0 {
		_ = a.logger.Log("event", "configuration_unrecognized", "version", c.Version, "count", len(c.Unrecognized), "first", c.Unrecognized[0])
	}
	wake(a.planWake)
	a.updates.send()
}

// maxSyncedDocument is the size in bytes of the largest configuration that sidecars include in sync responses unasked.
// Larger ones are read from the store, which has a fast link: the slow link of a sidecar that serves several others
// would delay all of them.
const maxSyncedDocument = 16 << 10

// offsetField is the header field of sync responses with the offset of the sender's configuration in the store.
const offsetField = executor.FieldPrefix + "Configuration-Offset"

// configurationOffset returns the offset that a sync response states, or zero. Earlier releases don't send it.
func configurationOffset(header http.Header) uint64 {
	offset, err := strconv.ParseUint(header.Get(offsetField), 10, 64)
	if err != nil {
		return 0
	}
	return offset
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

const (
	// documentFetchDelay is how long a sidecar that knows of a newer configuration waits while nothing of it arrives from the
	// store, before it requests the whole document from another sidecar.
	documentFetchDelay = time.Second
	// documentRetryDelay is the wait after a request for a document.
	documentRetryDelay = 250 * time.Millisecond
)

// fetchDocuments requests a newer configuration that the store doesn't deliver from other sidecars, from one at a time:
// several responses at once would take the link from each other, and from everything else.
func (a *Sidecar) fetchDocuments(ctx context.Context) {
	for attempt := 0; ; {
		lag, behind := a.announced.Behind(a.version())
		if !behind {
			attempt = 0
			select {
			case <-a.documentWake:
				continue
			case <-ctx.Done():
				return
			}
		}
		idleSince := max(lag.Since, time.Duration(a.configurationProgress.Load()))
		if wait := idleSince + documentFetchDelay - timer.Now(); wait > 0 {
			if !timer.Sleep(ctx, wait) {
				return
			}
			continue
		}
		peer := lag.Source
		if other, found := a.randomPeer(); found && attempt%2 == 1 {
			peer = other
		}
		attempt++
		a.fetchDocument(ctx, peer)
		if !timer.Sleep(ctx, documentRetryDelay) {
			return
		}
	}
}

// fetchDocument requests the whole configuration from another sidecar.
func (a *Sidecar) fetchDocument(ctx context.Context, peer netip.AddrPort) {
	a.metrics.count("hibiscus_documents_requested_total")
	ctx, progress, cancel := boundTransfer(ctx, storeCallTimeout, func() {})
	defer cancel()
	start := timer.Now()
	if _, err := a.pull(ctx, pullRequest{peer: peer, document: true, onProgress: progress}); err != nil {
		_ = a.logger.Log("event", "document_failed", "peer", peer, "ms", (timer.Now() - start).Milliseconds(), "error", err)
	}
}

// followConfiguration keeps the operators' configuration up to date. While other sidecars read the store for this one,
// it reads the store only after it has learned of a newer version. Versions that another one has replaced are skipped.
func (a *Sidecar) followConfiguration(ctx context.Context) {
	next, loaded := uint64(0), false
	for ctx.Err() == nil {
		wait := configurationWait
		lag, behind := a.announced.Behind(a.version())
		if loaded && a.delegated.Load() && !behind {
			a.awaitNewerConfig(ctx)
			continue
		}
		if behind {
			wait, next = 0, max(next, lag.Offset)
		}
		whole := !loaded
		var entries []registrar.Entry
		var err error
		entries, next, err = a.readConfiguration(ctx, loaded, next, wait)
		loaded = err == nil
		if err != nil && !errors.Is(err, platform.ErrExpired) {
			a.storeHealth.markDown(err)
			if !timer.Sleep(ctx, a.storeHealth.retryDelay()) {
				return
			}
		}
		if err == nil && a.delegated.Load() {
			// Nothing else shows that the store answers again while others read the records.
			a.storeHealth.markUp()
		}
		if e, found := newestConfiguration(entries); found {
			a.applyConfiguration(e.Value, e.Offset, "store")
		}
		if err == nil && behind && a.version() < lag.Version {
			if whole {
				a.announced.Withdraw(lag.Version)
			}
			loaded = len(entries) > 0
		}
		if len(entries) > 0 && !timer.Sleep(ctx, configurationBatchDelay) {
			return
		}
	}
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
	end := time.NewTimer(delegationCheckInterval)
	defer end.Stop()
	select {
	case <-a.newerConfig:
	case <-end.C:
	case <-ctx.Done():
	}
}

// readConfiguration reads the newest configuration, or, once one was loaded, those from an offset on. It returns the
// offset of the next read.
func (a *Sidecar) readConfiguration(
	ctx context.Context, loaded bool, from uint64, wait time.Duration,
) ([]registrar.Entry, uint64, error) {
	limit := storeCallTimeout
	if loaded && wait > 0 {
		limit = wait + readMargin
	}
	ctx, progress, cancel := boundTransfer(ctx, limit, func() { a.configurationProgress.Store(int64(timer.Now())) })
	defer cancel()
	store, start := a.store.WithProgress(progress), timer.Now()
	var b platform.Batch
	var err error
	if loaded {
		a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
		b, err = store.Read(ctx, platform.ConfigurationTopic, from, wait)
	} else {
		a.metrics.count(`hibiscus_store_calls_total{call="newest"}`)
		b.Entries, b.Next, err = store.Newest(ctx, platform.ConfigurationTopic)
	}
	if took := timer.Now() - start; err != nil || wait == 0 && took > slowConfigurationRead {
		_ = a.logger.Log("event", "configuration_read", "loaded", loaded, "from", from, "records", len(b.Entries), "ms", took.Milliseconds(), "error", err)
	}
	if err != nil {
		return nil, from, err
	}
	return b.Entries, b.Next, nil
}

// slowConfigurationRead is the time from which a read of the configuration is logged.
const slowConfigurationRead = 500 * time.Millisecond
