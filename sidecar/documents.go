package sidecar

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/delegator"
	"hibiscusline/executor"
	"hibiscusline/hedger"
	"hibiscusline/patcher"
	"hibiscusline/platform"
	"hibiscusline/timer"
)

// Sidecars send each other configurations as patches of the version that the other one has. Most changes are small, and
// configurations are large: on an instance with a full link the whole document takes seconds.

// Header fields of sync responses.
const (
	// offsetField is the offset of the sender's configuration in the store.
	offsetField = executor.FieldPrefix + "Configuration-Offset"
	// baseField means that the document is a patch, and is the version that the patch applies to. It is zero for a patch
	// that holds the whole document.
	baseField = executor.FieldPrefix + "Configuration-Base"
	// eraField is the era of the store that the sender's records are of.
	eraField = executor.FieldPrefix + "Store-Era"
	// ageField is how long ago, in microseconds, the store confirmed that there is no newer configuration than the sender's.
	ageField = executor.FieldPrefix + "Configuration-Age"
)

const (
	// maxSyncedDocument is the size in bytes of the largest configuration that sidecars include whole in sync responses
	// unasked, and maxSyncedPatch that of the largest patch. Larger ones are read from the store, which has a fast link: the
	// slow link of a sidecar that serves several others would delay all of them.
	maxSyncedDocument = 16 << 10
	maxSyncedPatch    = 2 << 10
	// maxDocumentBytes bounds a configuration that another sidecar sends.
	maxDocumentBytes = 8 << 20
	// maxDocuments is the number of versions that are kept to make patches from.
	maxDocuments = 4
)

// documents holds the latest configurations, and the patches from earlier ones to the newest. It is guarded by applyMu.
type documents struct {
	list    []keptDocument
	patches map[uint64][]byte
}

// keptDocument is a configuration as it was read, or in its canonical form, which patches need.
type keptDocument struct {
	version   uint64
	document  []byte
	canonical bool
}

func (d *documents) add(version uint64, document []byte) {
	d.list = append(d.list, keptDocument{version: version, document: document})
	d.list = d.list[max(len(d.list)-maxDocuments, 0):]
	d.patches = map[uint64][]byte{}
}

// patch returns a patch that turns the configuration of a version into the newest one. The version is zero, or that of a
// kept configuration.
func (d *documents) patch(version uint64) ([]byte, error) {
	if patch, found := d.patches[version]; found {
		return patch, nil
	}
	var base []byte
	if version != 0 {
		var err error
		if base, err = d.canonical(version); err != nil {
			return nil, err
		}
	}
	newest, err := d.canonical(d.list[len(d.list)-1].version)
	if err != nil {
		return nil, err
	}
	patch, err := patcher.Encode(base, newest)
	if err != nil {
		return nil, err
	}
	d.patches[version] = patch
	return patch, nil
}

// keeps reports whether the configuration of a version is kept.
func (d *documents) keeps(version uint64) bool {
	return slices.ContainsFunc(d.list, func(k keptDocument) bool { return k.version == version })
}

// canonical returns the canonical form of a kept configuration.
func (d *documents) canonical(version uint64) ([]byte, error) {
	i := slices.IndexFunc(d.list, func(k keptDocument) bool { return k.version == version })
	if i < 0 {
		return nil, errors.Errorf("configuration %d isn't kept", version)
	}
	k := &d.list[i]
	if !k.canonical {
		document, err := platform.CanonicalConfiguration(k.document)
		if err != nil {
			return nil, err
		}
		k.document, k.canonical = document, true
	}
	return k.document, nil
}

// documentQuery is what a sync request asks of the configuration.
type documentQuery struct {
	// version is the one that the requesting sidecar has.
	version uint64
	// whole requests a newer configuration of any size.
	whole bool
	// patches means that the requesting sidecar applies patches.
	patches bool
}

// documentFor returns the configuration for a sync response, as a patch if the header says so, or nil. The caller holds
// applyMu.
func (a *Sidecar) documentFor(c *configuration, q documentQuery, header http.Header) []byte {
	if c.version <= q.version {
		return nil
	}
	kept := a.documents.keeps(q.version)
	if q.patches && (kept || q.whole) {
		base := uint64(0)
		if kept {
			base = q.version
		}
		patch, err := a.documents.patch(base)
		if err != nil {
			_ = a.logger.Log("event", "patch_failed", "version", c.version, "base", base, "error", err)
		} else if q.whole || len(patch) <= maxSyncedPatch {
			header.Set(baseField, strconv.FormatUint(base, 10))
			return patch
		}
	}
	if q.whole || len(c.document) <= maxSyncedDocument {
		return c.document
	}
	return nil
}

// headerNumber returns the number in a header field, or zero. Earlier releases don't send the fields.
func headerNumber(header http.Header, name string) uint64 {
	value, err := strconv.ParseUint(header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// adoptConfigurationAge uses the confirmation of another sidecar that has no newer configuration. The request was sent at
// start, and the response was created at least n.Held later.
func (a *Sidecar) adoptConfigurationAge(start time.Duration, n syncResponse, header http.Header) {
	// Earlier releases don't send the field.
	age, err := strconv.ParseUint(header.Get(ageField), 10, 63)
	if err != nil || n.Version > a.version() {
		return
	}
	if n.Version < a.version() && a.registrar.View().Era > 0 {
		// The store may have lost the version in force, and a later one with it.
		return
	}
	a.configurationAge.Confirm(start + time.Duration(n.Held)*time.Microsecond - time.Duration(age)*time.Microsecond)
}

// expandDocument returns the configuration of a sync response.
func (a *Sidecar) expandDocument(data []byte, header http.Header) ([]byte, error) {
	if header.Get(baseField) == "" {
		return data, nil
	}
	version := headerNumber(header, baseField)
	if version == 0 {
		return patcher.Decode(nil, data, maxDocumentBytes)
	}
	a.applyMu.Lock()
	base, err := a.documents.canonical(version)
	a.applyMu.Unlock()
	if err != nil {
		return nil, err
	}
	return patcher.Decode(base, data, maxDocumentBytes)
}

// documentRetryDelay is the wait after requests for a document.
const documentRetryDelay = 250 * time.Millisecond

var errNoDocument = errors.New("the process doesn't have the configuration")

// fetchDocuments requests a newer configuration that the store doesn't deliver in time from other sidecars, from two at once
// at most: several responses at once would take the link from each other, and from everything else.
func (a *Sidecar) fetchDocuments(ctx context.Context) {
	for round := 0; ; {
		lag, behind := a.announced.Behind(a.version())
		if !behind {
			round = 0
			select {
			case <-a.documentWake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if wait := lag.Since + a.promises.configuration.FallbackDelay() - timer.Now(); wait > 0 {
			if !timer.Sleep(ctx, wait) {
				return
			}
			continue
		}
		sources := a.documentSources(lag)
		if len(sources) > 1 && round%2 == 1 {
			slices.Reverse(sources)
		}
		round++
		a.fetchDocument(ctx, lag.Version, sources)
		if !timer.Sleep(ctx, documentRetryDelay) {
			return
		}
	}
}

// documentSources returns one or two sidecars to request an announced configuration from.
func (a *Sidecar) documentSources(lag delegator.Announcement) []netip.AddrPort {
	sources := []netip.AddrPort{lag.Source}
	if lag.Other.IsValid() && a.peers.DownFor(lag.Other) == 0 {
		return append(sources, lag.Other)
	}
	if other, found := a.randomPeer(); found && other != lag.Source {
		sources = append(sources, other)
	}
	return sources
}

// fetchDocument requests a configuration from one of several sidecars, and from the next one when no part of the answer
// arrives for a time. The first may still answer then.
func (a *Sidecar) fetchDocument(ctx context.Context, version uint64, sources []netip.AddrPort) {
	start := timer.Now()
	config := a.promises.configuration.HedgePeers()
	if len(sources) == 1 {
		config.Overdue, config.Attempts = config.Interval, 1
	}
	config.OnOverdue = func(attempt int) {
		_ = a.logger.Log("event", "document_overdue", "peer", sources[attempt], "ms", (timer.Now() - start).Milliseconds())
	}
	// Failures of the attempts are logged.
	_, _ = hedger.Do(ctx, config, func(ctx context.Context, attempt hedger.Attempt) (struct{}, error) {
		peer, start := sources[attempt.Number], timer.Now()
		err := a.requestDocument(ctx, version, peer, attempt)
		if err != nil && ctx.Err() == nil {
			_ = a.logger.Log("event", "document_failed", "peer", peer, "ms", (timer.Now() - start).Milliseconds(), "error", err)
		}
		return struct{}{}, err
	})
}

// requestDocument requests a configuration from another sidecar.
func (a *Sidecar) requestDocument(ctx context.Context, version uint64, peer netip.AddrPort, attempt hedger.Attempt) error {
	a.metrics.count("hibiscus_documents_requested_total")
	_, err := a.pull(ctx, pullRequest{
		peer: peer, document: true, bound: a.promises.configuration.TransferBound(storeCallTimeout), onProgress: attempt.Progress,
	})
	if err == nil && a.version() < version {
		return errNoDocument
	}
	return err
}
