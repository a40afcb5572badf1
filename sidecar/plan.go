package sidecar

import (
	"context"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// planInterval is how often the assignment is checked when nothing changes.
	planInterval = 250 * time.Millisecond
	// planDelayPerMember is how long a sidecar waits before it makes a change, for each sidecar ahead of it in the
	// order of names.
	planDelayPerMember = 300 * time.Millisecond
	// rebalanceInterval is how often an owner of keys compares its load with that of the others.
	rebalanceInterval = 1500 * time.Millisecond
	// rebalanceCooldown is the additional wait after slices were moved, until the reported loads reflect it.
	rebalanceCooldown = 2 * time.Second
	// settleDelay is the time without new records after which the first table is created.
	settleDelay = 700 * time.Millisecond
	// suspectAfter is how long an owner must be unreachable before it is suspected.
	suspectAfter = 1200 * time.Millisecond
	// suspectMargin is added to the wait for the end of a suspect's lease. It covers clock differences between instances
	// other than drift.
	suspectMargin = 300 * time.Millisecond
	// clockDrift is the largest assumed ratio of the clock rate of a sidecar that waits for the end of a suspect's lease
	// to the clock rate of the suspect.
	clockDrift = 1.02
)

// planLoop changes the assignment of the keys of this sidecar's service when a change is due.
func (a *Sidecar) planLoop(ctx context.Context) {
	var changeDue, rebalanceDue time.Duration
	for ctx.Err() == nil {
		select {
		case <-a.planWake:
		case <-time.After(planInterval):
		case <-ctx.Done():
			return
		}
		if a.stopping.Load() || !a.keyed() {
			continue
		}
		a.writeClaims(ctx)
		a.refute(ctx)
		if now := timer.Now(); now >= rebalanceDue {
			rebalanceDue = now + rebalanceInterval
			if a.rebalance(ctx) {
				rebalanceDue += rebalanceCooldown
			}
		}
		next, reason := a.nextTable(a.registrar.View())
		if next == nil {
			changeDue = 0
			continue
		}
		now := timer.Now()
		if changeDue == 0 {
			changeDue = now + time.Duration(a.planPosition())*planDelayPerMember
		}
		if now < changeDue {
			continue
		}
		changeDue = 0
		err := a.changeTable(ctx, reason, func(v *registrar.View, _ *assigner.Table) *assigner.Table {
			next, _ := a.nextTable(v)
			return next
		})
		if err != nil && !timer.Sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

func (a *Sidecar) keyed() bool {
	routes := a.forwarder.Routes()
	return routes != nil && routes.Services[a.settings.Service].Keyed
}

// planPosition returns the number of sidecars that make a change before this one. A sidecar whose own server's
// incarnation has ended goes first, since it knows this first-hand.
func (a *Sidecar) planPosition() int {
	v := a.registrar.View()
	if own, t := v.Members[a.settings.Name], v.Tables[a.settings.Service]; t != nil {
		for _, o := range t.Owners {
			if o.Member == own.Name && (o.Incarnation != own.Incarnation || own.State == registrar.Ended) {
				return 0
			}
		}
	}
	position := 0
	for _, m := range v.ByService[a.settings.Service] {
		if m.Name == a.settings.Name {
			break
		}
		if m.State == registrar.Ready && !m.Stopping && a.peers.DownFor(m.Peer) == 0 {
			position++
		}
	}
	return position
}

// nextTable returns the table that should replace the current one and the reason, or nil if none is due.
func (a *Sidecar) nextTable(v *registrar.View) (*assigner.Table, string) {
	service := a.settings.Service
	t := v.Tables[service]
	a.applyMu.Lock()
	settled := timer.Now()-a.lastRecordAt > settleDelay && timer.Now()-a.started > 2*settleDelay
	a.applyMu.Unlock()
	unreadable := v.Unreadable(registrar.TableKey(service))
	if t == nil && (unreadable || !settled) {
		// Behind an unreadable record there may be a table whose fencing tokens must not be given out again.
		return nil, ""
	}
	if unreadable {
		return t.Clone(), "unreadable record"
	}
	if t != nil && t.Era < v.Era {
		return a.openTable(v, t), "open era"
	}
	if t != nil {
		if s, due := a.unreachableOwner(v, t); due {
			return assigner.Suspect(t, s), "suspect " + s
		}
	}
	if t != nil && t.Settling && timer.Now() > a.settledAt() {
		return assigner.Settle(t), "settle"
	}
	return assigner.Plan(t, a.planView(v)), "plan"
}

func (a *Sidecar) planView(v *registrar.View) assigner.PlanInput {
	service := a.settings.Service
	view := assigner.PlanInput{
		Service: service, Era: v.Era, LeaseTerm: a.maxLease(),
		SuspectedFor: func(s assigner.Suspicion) time.Duration {
			a.applyMu.Lock()
			defer a.applyMu.Unlock()
			since, known := a.suspectedSince[suspicionKey{service, s}]
			if !known {
				return 0
			}
			return timer.Now() - since
		},
	}
	cold := a.coldOwners(service)
	for _, m := range v.ByService[service] {
		evacuated := a.isEvacuated(m.Zone)
		returning, restored := a.returnsFrom(m.Zone)
		view.Candidates = append(view.Candidates, assigner.Candidate{
			Owner: m.Owner(), Usable: m.State == registrar.Ready && !m.Stopping && !evacuated,
			Ended: m.State == registrar.Ended, Leaving: m.State == registrar.Draining,
			Evacuated: evacuated && m.State == registrar.Ready, Returning: returning, Restored: restored,
			Unreachable: m.Name != a.settings.Name && a.peers.DownFor(m.Peer) > 0,
			Cold:        cold[m.Name],
		})
	}
	return view
}

// unreachableOwner returns an unsuspected owner of keys whose sidecar is unreachable or unknown.
func (a *Sidecar) unreachableOwner(v *registrar.View, t *assigner.Table) (string, bool) {
	for _, o := range t.Owners {
		if o.Member == a.settings.Name || t.Suspected(o.Member) {
			continue
		}
		m, known := v.Members[o.Member]
		if known && (m.Incarnation != o.Incarnation || a.peers.DownFor(m.Peer) < suspectAfter) {
			continue
		}
		return o.Member, true
	}
	return "", false
}

// writeClaims writes the claims of this process that the table of a new era lacks.
func (a *Sidecar) writeClaims(ctx context.Context) {
	v := a.registrar.View()
	t := v.Tables[a.settings.Service]
	if t == nil || t.Era < v.Era || a.applyClaims(t) == nil {
		return
	}
	a.metrics.count("hibiscus_claims_written_total")
	_ = a.changeTable(ctx, "claim", func(_ *registrar.View, t *assigner.Table) *assigner.Table {
		if t == nil {
			return nil
		}
		return a.applyClaims(t)
	})
}

// refute removes a suspicion of this sidecar from the table.
func (a *Sidecar) refute(ctx context.Context) {
	t := a.registrar.View().Tables[a.settings.Service]
	if t == nil || assigner.Refute(t, a.settings.Name) == nil {
		return
	}
	_ = a.changeTable(ctx, "refute", func(_ *registrar.View, t *assigner.Table) *assigner.Table {
		if t == nil {
			return nil
		}
		return assigner.Refute(t, a.settings.Name)
	})
}

// rebalance marks slices to move to less loaded owners, unless earlier moves are still in progress. It reports whether
// it did.
func (a *Sidecar) rebalance(ctx context.Context) bool {
	v := a.registrar.View()
	t := v.Tables[a.settings.Service]
	own, known := v.Members[a.settings.Name]
	if t == nil || !known || own.State != registrar.Ready || a.isEvacuated(own.Zone) {
		return false
	}
	self := own.Owner()
	loads := []assigner.Load{{Owner: self, Offered: a.executor.Load().Offered}}
	offeredLoads := a.forwarder.Loads(a.settings.Service)
	cold := a.forwarder.Cold(a.settings.Service)
	for _, m := range v.ByService[a.settings.Service] {
		offered, recent := offeredLoads[m.Name]
		if recent && m.Name != own.Name && m.State == registrar.Ready && !m.Stopping && !a.isEvacuated(m.Zone) {
			loads = append(loads, assigner.Load{Owner: m.Owner(), Offered: offered, Cold: cold[m.Name]})
		}
	}
	for i := range t.Slices {
		if o, _ := t.OwnerOf(i); o == self && t.Slices[i].Target != 0 {
			return false
		}
	}
	moves := assigner.Rebalance(t, self, a.executor.KeyRates(len(t.Slices), t.Width()), loads)
	if len(moves) == 0 {
		return false
	}
	_ = a.logger.Log("event", "rebalance", "slices", len(moves), "offered", loads[0].Offered, "known", len(loads))
	err := a.changeTable(ctx, "rebalance", func(_ *registrar.View, t *assigner.Table) *assigner.Table {
		if t == nil {
			return nil
		}
		return assigner.SetTargets(t, self, moves)
	})
	return err == nil
}
