package sidecar

import (
	"context"
	"time"

	"hibiscusline/loader"
)

// reloadInterval is how often the settings are read, since they may change without a signal.
const reloadInterval = 5 * time.Second

// followSettings applies changed settings without interrupting requests. Listen addresses, the name, the availability
// zone and the service only change with a restart; a change of them is logged and otherwise ignored.
func (a *Sidecar) followSettings(ctx context.Context) {
	if a.config.Reload == nil {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-a.config.Signals:
			_ = a.logger.Log("event", "reload", "signal", s)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next, err := a.config.Reload()
		if err != nil {
			_ = a.logger.Log("event", "settings_rejected", "error", err)
			continue
		}
		a.applySettings(next)
	}
}

// applySettings applies the settings that may change at run time.
func (a *Sidecar) applySettings(next loader.SidecarSettings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next == a.loadedSettings {
		return
	}
	a.loadedSettings = next
	kept := a.settings
	kept.Heartbeat, kept.Bounds.Drain, kept.Bounds.Grace = next.Heartbeat, next.Bounds.Drain, next.Bounds.Grace
	_ = a.logger.Log("event", "settings", "heartbeat", next.Heartbeat, "drain", next.Bounds.Drain, "grace", next.Bounds.Grace,
		"needs_restart", kept != next)
	a.heartbeat.Store(int64(next.Heartbeat))
	a.grace.Store(int64(next.Bounds.Grace))
	a.drain.Store(int64(next.Bounds.Drain))
}
