package sidecar

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"hibiscusline/assigner"
	"hibiscusline/carrier"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// A leaving of the backend server is acknowledged once it outlives this process: it is in the store, or other sidecars
// keep it and return it to a process of this name that starts again.

const (
	leavingsPath = "/leavings"
	// leavingStoreWait is how long an acknowledgement waits for the store before other sidecars are asked to keep the
	// leaving. The server waits one second for the acknowledgement.
	leavingStoreWait = 400 * time.Millisecond
	// leavingReplicas is the number of sidecars that are asked to keep a leaving, and minLeavingReplicas that of those
	// that must have it, if there are as many.
	leavingReplicas    = 5
	minLeavingReplicas = 2
	// leavingSources is the number of sidecars that are asked first for leavings after a start. It exceeds leavingReplicas,
	// since members may have joined or been unreachable meanwhile.
	leavingSources = 8
)

// secureLeaving makes the leaving of the server outlive this process. It reports false if neither the store nor enough
// other sidecars have it; the leaving must then not be acknowledged.
func (a *Sidecar) secureLeaving(ctx context.Context, incarnation assigner.Incarnation) bool {
	l := registrar.Leaving{Member: a.settings.Name, Incarnation: incarnation}
	a.addLeavings([]registrar.Leaving{l}, "server")
	secured := func() bool {
		replicated := a.replicated.Load()
		return replicated != nil && *replicated == l || a.registrar.View().RecordedLeaving(l.Member, l.Incarnation)
	}
	if a.storeHealth.downFor() == 0 {
		a.waitUntil(ctx, leavingStoreWait, secured)
	}
	if secured() {
		return true
	}
	if !a.replicateLeaving(ctx, l) {
		a.metrics.count("hibiscus_leavings_unsecured_total")
		_ = a.logger.Log("event", "leaving_unsecured", "instance", incarnation.Instance, "store_down_ms", a.storeHealth.downFor().Milliseconds())
		return false
	}
	a.replicated.Store(&l)
	return true
}

// replicateLeaving sends a leaving to other sidecars and reports whether enough of them have it.
func (a *Sidecar) replicateLeaving(ctx context.Context, l registrar.Leaving) bool {
	body, err := registrar.EncodeLeavings([]registrar.Leaving{l})
	if err != nil {
		return false
	}
	asked, count := 0, 0
	peers := a.leavingPeers(func(m registrar.Member) bool { return !m.Stopping && a.peers.DownFor(m.Peer) == 0 })
	a.exchangeInRounds(ctx, leavingRounds{members: peers, first: leavingReplicas, body: body}, func(_ registrar.Member, r *carrier.Response) bool {
		asked++
		if r != nil {
			count++
		}
		return count >= minLeavingReplicas
	})
	_ = a.logger.Log("event", "leaving_replicated", "instance", l.Incarnation.Instance, "asked", asked, "have", count)
	return count > 0 && count >= min(minLeavingReplicas, len(a.registrar.View().Members)-1)
}

// fetchLeavings asks other sidecars for the leavings of the server that an earlier process of this name acknowledged.
// Until then the server gets no requests. It asks more of them until enough have answered, since those asked first may be gone.
func (a *Sidecar) fetchLeavings() {
	var f leavingAnswers
	peers := a.leavingPeers(func(registrar.Member) bool { return true })
	a.exchangeInRounds(context.Background(), leavingRounds{members: peers, first: leavingSources}, f.add)
	_ = a.logger.Log("event", "leavings_fetched", "asked", f.asked, "answers", f.answers, "sources", f.sources, "leavings", len(f.leavings))
	a.addLeavings(f.leavings, "sidecars")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavingsKnown, a.leavingSources, a.reporters = true, f.sources, f.reporters
	a.doubtUntil = timer.Now() + doubtTime
	a.resumeServer()
	a.confirmServer(false)
	a.updateExecutor()
	wake(a.publishWake)
	wake(a.doubtWake)
}

// leavingAnswers collects the answers to the question for leavings.
type leavingAnswers struct {
	asked, answers int
	// sources is the number of sidecars that may have kept a leaving: those that answered, and those that didn't although they
	// haven't stopped as planned.
	sources   int
	leavings  []registrar.Leaving
	reporters map[assigner.Incarnation]int
}

// add adds the answer of a member, or nil, and reports whether there are enough answers.
func (f *leavingAnswers) add(m registrar.Member, r *carrier.Response) bool {
	f.asked++
	// One that stops as planned tells its leavings to others before.
	if r != nil || !m.Stopping {
		f.sources++
	}
	if r != nil {
		f.addResponse(r)
	}
	return f.answers >= leavingReplicas
}

func (f *leavingAnswers) addResponse(r *carrier.Response) {
	list, err := registrar.DecodeLeavings(r.Body)
	if err != nil {
		return
	}
	f.answers++
	f.leavings = append(f.leavings, list...)
	text, err := url.QueryUnescape(r.Header.Get(readyField))
	if err != nil {
		return
	}
	if incarnation, found := decodeIncarnation(text); found {
		if f.reporters == nil {
			f.reporters = map[assigner.Incarnation]int{}
		}
		f.reporters[incarnation]++
	}
}

// serveLeavings keeps leavings of another sidecar's server, or returns those that this one keeps, and those of others that the
// store lacks: the sidecar that asks may have kept them before it was started again.
func (a *Sidecar) serveLeavings(q *carrier.Request, member string) *carrier.Response {
	if q.Method == http.MethodPost {
		list, err := registrar.DecodeLeavings(q.Body)
		if err != nil {
			return carrier.NewResponse(http.StatusBadRequest, err.Error())
		}
		_ = a.logger.Log("event", "leavings_kept", "member", member, "leavings", len(list))
		a.addLeavings(list, member)
	}
	v := a.registrar.View()
	list := v.LeavingsOf(member)
	for _, l := range v.UnrecordedLeavings() {
		if l.Member != member {
			list = append(list, l)
		}
	}
	data, err := registrar.EncodeLeavings(list)
	if err != nil {
		return carrier.NewResponse(http.StatusInternalServerError, err.Error())
	}
	header := http.Header{}
	if report := a.reportOf(member); report != "" {
		header.Set(readyField, report)
	}
	return &carrier.Response{Status: http.StatusOK, Header: header, Body: data}
}

// addLeavings stores leavings and applies them to the server of this sidecar.
func (a *Sidecar) addLeavings(list []registrar.Leaving, source string) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	added := a.registrar.AddLeavings(list)
	for _, l := range added {
		_ = a.logger.Log("event", "leaving_known", "member", l.Member, "instance", l.Incarnation.Instance, "source", source)
	}
	if len(added) == 0 {
		return
	}
	a.mu.Lock()
	a.endUseOfLeftServer()
	a.mu.Unlock()
	a.updates.send()
	wake(a.planWake)
	wake(a.publishWake)
	wake(a.leavingWake)
}
