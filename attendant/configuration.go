package attendant

import (
	"context"
	"math/rand/v2"

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
func (a *Attendant) takeConfiguration(document []byte, source string) {
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
	a.configDoc.Store(&configuration{version: c.Version, document: document})
	a.forwarder.SetRoutes(matcher.New(c, rand.Uint64()))
	_ = a.logger.Log("event", "configuration", "version", c.Version, "source", source, "routes", len(c.Routes))
	signal(a.changed)
	a.news.send()
}

// followConfiguration reads the operators' configuration for as long as the process runs, unless another process reads the
// store for it: that one passes new configurations on as it does records.
func (a *Attendant) followConfiguration(ctx context.Context) {
	next, loaded := uint64(0), false
	for ctx.Err() == nil {
		if loaded && a.delegates.Load() {
			if !timer.Sleep(ctx, delegationCheck) {
				return
			}
			continue
		}
		var entries []registrar.Entry
		var err error
		wait := callTimeout
		if loaded {
			wait = configurationWait + readMargin
		}
		call, cancel := context.WithTimeout(ctx, wait)
		if !loaded {
			a.metrics.count(`hibiscus_store_calls_total{call="newest"}`)
			entries, next, err = a.store.Newest(call, platform.ConfigurationTopic)
			loaded = err == nil
		} else {
			a.metrics.count(`hibiscus_store_calls_total{call="read"}`)
			var b platform.Batch
			b, err = a.store.Read(call, platform.ConfigurationTopic, next, configurationWait)
			entries = b.Entries
			if err == nil {
				next = b.Next
			}
		}
		cancel()
		switch {
		case errors.Is(err, platform.ErrExpired):
			loaded = false
		case err != nil:
			a.storeReach.lost(err)
			loaded = false
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
