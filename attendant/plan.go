package attendant

import (
	"context"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// planInterval is how often the assignment is looked at when nothing changes.
	planInterval = 250 * time.Millisecond
	// planTurn is the time that a process waits for each process before it in the order of names to make a change.
	planTurn = 300 * time.Millisecond
	// rebalanceInterval is how often an owner of keys compares its load with that of the others.
	rebalanceInterval = 1500 * time.Millisecond
	// rebalanceSettle is the further wait after slices were given away, until the loads show it.
	rebalanceSettle = 2 * time.Second
	// settleTime is the time without new records after which the first table is made.
	settleTime = 700 * time.Millisecond
	// suspectAfter is the time for which an owner is unreachable before it is suspected.
	suspectAfter = 1200 * time.Millisecond
	// suspectMargin covers what clocks of different instances differ in beyond their rates.
	suspectMargin = 300 * time.Millisecond
	// clockDrift is how much faster than the suspect's the clock of the process that waits for the end of its lease may run.
	clockDrift = 1.02
)

// planLoop changes the assignment of the keys of the process's own service when it is due.
func (a *Attendant) planLoop(ctx context.Context) {
	var due, rebalance time.Duration
	for ctx.Err() == nil {
		select {
		case <-a.changed:
		case <-time.After(planInterval):
		case <-ctx.Done():
			return
		}
		if a.stopping.Load() || !a.keyed() {
			continue
		}
		a.refute(ctx)
		if now := timer.Now(); now >= rebalance {
			rebalance = now + rebalanceInterval
			if a.rebalance(ctx) {
				rebalance += rebalanceSettle
			}
		}
		next, why := a.nextTable(a.registrar.View())
		if next == nil {
			due = 0
			continue
		}
		now := timer.Now()
		if due == 0 {
			due = now + time.Duration(a.turn())*planTurn
		}
		if now < due {
			continue
		}
		due = 0
		err := a.changeTable(ctx, why, func(v *registrar.View, _ *assigner.Table) *assigner.Table {
			next, _ := a.nextTable(v)
			return next
		})
		if err != nil && !timer.Sleep(ctx, storePause) {
			return
		}
	}
}

func (a *Attendant) keyed() bool {
	routes := a.forwarder.Routes()
	return routes != nil && routes.Services[a.settings.Service].Keyed
}

// turn is the place of the process in the order in which processes make changes.
// The one whose own server's incarnation has ended comes first, since it knows.
func (a *Attendant) turn() int {
	v := a.registrar.View()
	if own, t := v.Members[a.settings.Name], v.Tables[a.settings.Service]; t != nil {
		for _, o := range t.Owners {
			if o.Member == own.Name && (o.Incarnation != own.Incarnation || own.State == registrar.Ended) {
				return 0
			}
		}
	}
	turn := 0
	for _, m := range v.ByService[a.settings.Service] {
		if m.Name == a.settings.Name {
			break
		}
		if m.State == registrar.Ready && !m.Stopping && a.peers.DownFor(m.Peer) == 0 {
			turn++
		}
	}
	return turn
}

// nextTable returns the table that is due, or nil, and why.
func (a *Attendant) nextTable(v *registrar.View) (*assigner.Table, string) {
	service := a.settings.Service
	t := v.Tables[service]
	a.applying.Lock()
	settled := timer.Now()-a.lastNew > settleTime && timer.Now()-a.started > 2*settleTime
	a.applying.Unlock()
	if t == nil && !settled {
		return nil, ""
	}
	if t != nil {
		if s, due := a.suspicion(v, t); due {
			return assigner.Suspect(t, s), "suspect " + s
		}
	}
	return assigner.Plan(t, a.planView(v)), "plan"
}

func (a *Attendant) planView(v *registrar.View) assigner.PlanInput {
	service := a.settings.Service
	view := assigner.PlanInput{
		Service: service, LeaseTerm: time.Duration(clockDrift*float64(leaseTerm(a.bounds.MaxHold))) + suspectMargin,
		SuspectedFor: func(s assigner.Suspicion) time.Duration {
			a.applying.Lock()
			defer a.applying.Unlock()
			since, known := a.suspected[suspicionKey{service, s}]
			if !known {
				return 0
			}
			return timer.Now() - since
		},
	}
	for _, m := range v.ByService[service] {
		view.Candidates = append(view.Candidates, assigner.Candidate{
			Owner: m.Owner(), Usable: m.State == registrar.Ready && !m.Stopping,
			Ended: m.State == registrar.Ended, Leaving: m.State == registrar.Draining,
			Unreachable: m.Name != a.settings.Name && a.peers.DownFor(m.Peer) > 0,
		})
	}
	return view
}

// suspicion returns the member of whom a suspicion is due: an owner of keys whose process can't be reached or is unknown.
func (a *Attendant) suspicion(v *registrar.View, t *assigner.Table) (string, bool) {
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

// refute removes a suspicion of this process.
func (a *Attendant) refute(ctx context.Context) {
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

// rebalance marks slices that should move to less loaded owners, unless earlier moves are still under way. It reports whether it did.
func (a *Attendant) rebalance(ctx context.Context) bool {
	v := a.registrar.View()
	t := v.Tables[a.settings.Service]
	own, known := v.Members[a.settings.Name]
	if t == nil || !known || own.State != registrar.Ready {
		return false
	}
	self := own.Owner()
	loads := []assigner.Load{{Owner: self, Offered: a.gate.Load().Offered}}
	offers := a.forwarder.Loads(a.settings.Service)
	for _, m := range v.ByService[a.settings.Service] {
		offered, recent := offers[m.Name]
		if recent && m.Name != own.Name && m.State == registrar.Ready && !m.Stopping {
			loads = append(loads, assigner.Load{Owner: m.Owner(), Offered: offered})
		}
	}
	for i := range t.Slices {
		if o, _ := t.OwnerOf(i); o == self && t.Slices[i].Target != 0 {
			return false
		}
	}
	moves := assigner.Rebalance(t, self, a.gate.KeyRates(len(t.Slices), t.Width()), loads)
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
