package sidecar

import (
	"context"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/executor"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// A process that has just started may not know of a leaving that an earlier process of its name has acknowledged. That nobody
// tells it of one shows nothing if those that keep it can't be reached or have started again. Until a leaving is excluded, the
// server is unconfirmed: it gets neither requests nor grants.

const (
	// doubtTime is how long the heartbeats of a server don't confirm it, after other sidecars were asked for leavings and after
	// each answer of the server that it leaves or fails. Within it, each sidecar that can be reached tells the leavings that it
	// knows in its sync requests.
	doubtTime = 3 * time.Second
	// doubtPause is the pause between two health checks of an unconfirmed server, and longDoubtPause that for one that leaves or
	// fails, or whose heartbeats count again.
	doubtPause     = 100 * time.Millisecond
	longDoubtPause = time.Second
)

// excludesLeaving reports whether no earlier process of this name can have acknowledged a leaving of an incarnation that this
// process doesn't know. The caller holds mu.
func (a *Sidecar) excludesLeaving(incarnation assigner.Incarnation) bool {
	switch {
	case !a.leavingsKnown:
		return false
	case a.predecessor.Name == "":
		// Nobody has a record of an earlier process.
		return true
	}
	return a.notLeaving == incarnation || a.reportersExcludeLeaving(incarnation)
}

// confirmServer lets an unconfirmed server be used if it is believed or a leaving that this process doesn't know is excluded. The
// caller holds mu.
func (a *Sidecar) confirmServer(believed bool) {
	s := &a.server
	if !s.unconfirmed || !believed && !a.excludesLeaving(s.incarnation) {
		return
	}
	s.unconfirmed = false
	_ = a.logger.Log("event", "server_confirmed", "instance", s.incarnation.Instance)
	a.confirmGrants()
	a.updateExecutor()
	wake(a.callWake)
}

// believeHeartbeat confirms the server by one of its heartbeats. One that says ready counts only if neither other sidecars nor the
// server itself have said otherwise for a time. The caller holds mu.
func (a *Sidecar) believeHeartbeat(now time.Duration, h platform.BackendHeartbeat) {
	if !a.server.unconfirmed || h.Incarnation != a.server.incarnation {
		return
	}
	a.confirmServer(h.Draining || a.leavingsKnown && now > a.doubtUntil)
	if a.server.unconfirmed {
		wake(a.doubtWake)
	}
}

// settleDoubt asks an unconfirmed server by health checks whether it leaves.
func (a *Sidecar) settleDoubt(ctx context.Context) {
	for {
		select {
		case <-a.doubtWake:
		case <-ctx.Done():
			return
		}
		for pause, again := a.askUnconfirmedServer(ctx); again && timer.Sleep(ctx, pause); {
			pause, again = a.askUnconfirmedServer(ctx)
		}
	}
}

// askUnconfirmedServer sends a health check to the server if it is unconfirmed once other sidecars were asked. It reports whether
// the server still is, and how long to wait before the next one.
func (a *Sidecar) askUnconfirmedServer(ctx context.Context) (time.Duration, bool) {
	a.mu.Lock()
	s, known := a.server, a.leavingsKnown
	a.mu.Unlock()
	if !known || !s.unconfirmed || !s.state.Running() {
		return 0, false
	}
	identity := a.executor.Identify(ctx, a.serviceOf(s.service).HealthPath, identifyTimeout)
	a.observeHealth(s.incarnation, identity)
	a.mu.Lock()
	defer a.mu.Unlock()
	if identity.Health == platform.LeavingOrFailing || timer.Now() > a.doubtUntil {
		return longDoubtPause, a.server.unconfirmed
	}
	return doubtPause, a.server.unconfirmed
}

// observeHealth takes the answer of the server to a health check for its own word on whether an incarnation leaves.
func (a *Sidecar) observeHealth(incarnation assigner.Incarnation, identity executor.Identity) {
	if identity.Instance != incarnation.Instance {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch identity.Health {
	case platform.Serving:
		a.notLeaving = incarnation
		if a.server.incarnation == incarnation {
			a.confirmServer(false)
		}
	case platform.LeavingOrFailing:
		a.doubtUntil = timer.Now() + doubtTime
	case platform.UnknownHealth:
	}
}

// reportersExcludeLeaving reports whether enough of the sidecars that may have kept a leaving of an incarnation have run since an
// earlier process of this name used that server: they would know of the leaving. The caller holds mu.
func (a *Sidecar) reportersExcludeLeaving(incarnation assigner.Incarnation) bool {
	if a.leavingSources == 0 {
		// A process that is the only member acknowledges only what the store has.
		members := a.registrar.View().Members
		_, known := members[a.settings.Name]
		return known && len(members) == 1
	}
	unsure := a.leavingSources - a.reporters[incarnation]
	return unsure < min(minLeavingReplicas, a.leavingSources)
}

// endUseOfLeftServer starts the drain of a server whose leaving another process acknowledged. When that was is unknown,
// so the drain time counts as over. The caller holds mu.
func (a *Sidecar) endUseOfLeftServer() {
	s := &a.server
	if s.state != registrar.Ready || !a.registrar.View().HasLeft(a.settings.Name, s.incarnation) {
		return
	}
	s.drainOver, s.unconfirmed = true, false
	a.startDraining(timer.Now())
	a.confirmGrants()
	a.updateExecutor()
}
