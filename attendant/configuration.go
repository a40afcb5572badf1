package attendant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// configuration is a published configuration and its document, which other processes may ask for.
type configuration struct {
	version  uint64
	document []byte
}

// takeConfiguration puts a configuration in force unless a later one is.
func (a *Sidecar) takeConfiguration(document []byte, source string) {
	c, err := platform.DecodeConfiguration(document)
	if err != nil {
		_ = a.logger.Log("event", "configuration_rejected", "source", source, "error", err)
		return
	}
	a.applying.Lock()
	defer a.applying.Unlock()
	if have := a.configDoc.Load(); have != nil && have.version >= c.Version {
		return
	}
	a.heardAt.Store(0)
	a.configDoc.Store(&configuration{version: c.Version, document: document})
	a.forwarder.SetRoutes(matcher.New(c, rand.Uint64()))
	_ = a.logger.Log("event", "configuration", "version", c.Version, "source", source, "routes", len(c.Routes))
	signal(a.changed)
	a.news.send()
}

// smallDocument is the largest configuration that processes pass on unasked, in bytes. Larger ones come from the store, whose
// link is wide, since a slow link of a process that passes one on to several others would delay all of them.
const smallDocument = 16 << 10

// hearOfVersion takes the news that another process has a version of the configuration.
func (a *Sidecar) hearOfVersion(version uint64) {
	if version > a.version() {
		a.heardAt.CompareAndSwap(0, int64(timer.Now()))
		signal(a.configNews)
	}
}

// documentPatience is how long a process that has heard of a newer configuration waits for the store before it asks others
// for the whole document.
const documentPatience = time.Second

// wantsDocument reports whether the store hasn't given the process a configuration that another one has.
func (a *Sidecar) wantsDocument() bool {
	heard := time.Duration(a.heardAt.Load())
	return heard != 0 && timer.Now()-heard > documentPatience
}

// followConfiguration reads the operators' configuration for as long as the process runs. While another process reads the
// store for it, it does so only when it has heard of a newer version. If the store then doesn't answer, other processes are
// asked for the whole document.
func (a *Sidecar) followConfiguration(ctx context.Context) {
	next, loaded := uint64(0), false
	for ctx.Err() == nil {
		wait := configurationWait
		if loaded && a.delegates.Load() {
			if !a.awaitVersion(ctx) {
				continue
			}
			wait = 0
		}
		var entries []registrar.Entry
		var err error
		entries, next, err = a.readConfiguration(ctx, loaded, next, wait)
		loaded = err == nil
		if err != nil && !errors.Is(err, platform.ErrExpired) {
			a.storeReach.lost(err)
			if !timer.Sleep(ctx, storePause) {
				return
			}
		}
		for _, e := range entries {
			if e.Key == platform.ConfigurationKey && len(e.Value) > 0 {
				a.takeConfiguration(e.Value, "store")
			}
		}
		if len(entries) > 0 && !timer.Sleep(ctx, gatherConfigurations) {
			return
		}
	}
}

// awaitVersion waits for news of a newer version, or until it is time to look whether the process must read by itself. It
// reports whether there is a newer version.
func (a *Sidecar) awaitVersion(ctx context.Context) bool {
	end := time.NewTimer(delegationCheck)
	defer end.Stop()
	select {
	case <-a.configNews:
		return true
	case <-end.C:
	case <-ctx.Done():
	}
	return false
}

// readConfiguration reads the newest configuration, or those from an offset on once one was loaded. It returns the offset to
// read from next.
func (a *Sidecar) readConfiguration(ctx context.Context, loaded bool, from uint64, wait time.Duration) ([]registrar.Entry, uint64, error) {
	if !loaded {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		a.metrics.count(`hibiscus_store_calls_total{call="newest"}`)
		return a.store.Newest(call, platform.ConfigurationTopic)
	}
	limit := callTimeout
	if wait > 0 {
		limit = wait + readMargin
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
	b, err := a.store.Read(call, platform.ConfigurationTopic, from, wait)
	if err != nil {
		return nil, from, err
	}
	return b.Entries, b.Next, nil
}
