package sidecar

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

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
	// leavingTimeout bounds one exchange of leavings with another sidecar.
	leavingTimeout = 300 * time.Millisecond
	// leavingReplicas is the number of sidecars that are asked to keep a leaving, and minLeavingReplicas that of those
	// that must have it, if there are as many.
	leavingReplicas    = 5
	minLeavingReplicas = 2
	// leavingSources is the number of sidecars that are asked for leavings after a start. It exceeds leavingReplicas,
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
	replicas := a.leavingPeers(leavingReplicas, func(m registrar.Member) bool {
		return !m.Stopping && a.peers.DownFor(m.Peer) == 0
	})
	count := a.exchangeLeavings(ctx, replicas, body, func(*carrier.Response) error { return nil })
	_ = a.logger.Log("event", "leaving_replicated", "instance", l.Incarnation.Instance, "asked", len(replicas), "have", count)
	return count > 0 && count >= min(minLeavingReplicas, len(a.registrar.View().Members)-1)
}

// fetchLeavings asks other sidecars for the leavings of the server that an earlier process of this name acknowledged.
// Until then the server gets no requests.
func (a *Sidecar) fetchLeavings() {
	sources := a.leavingPeers(leavingSources, func(registrar.Member) bool { return true })
	var list []registrar.Leaving
	reporters := map[assigner.Incarnation]int{}
	answers := a.exchangeLeavings(context.Background(), sources, nil, func(r *carrier.Response) error {
		fetched, err := registrar.DecodeLeavings(r.Body)
		if err != nil {
			return err
		}
		list = append(list, fetched...)
		if text, err := url.QueryUnescape(r.Header.Get(readyField)); err == nil {
			if incarnation, found := decodeIncarnation(text); found {
				reporters[incarnation]++
			}
		}
		return nil
	})
	_ = a.logger.Log("event", "leavings_fetched", "asked", len(sources), "answers", answers, "leavings", len(list))
	a.addLeavings(list, "sidecars")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavingsKnown, a.leavingSources, a.reporters = true, len(sources), reporters
	a.resumeServer()
	a.updateExecutor()
	wake(a.publishWake)
}

// leavingPeers returns the addresses of up to a number of other sidecars. The order depends on their names and that of
// this one only, so that a process finds those that its predecessor asked.
func (a *Sidecar) leavingPeers(limit int, usable func(registrar.Member) bool) []netip.AddrPort {
	weight := func(m registrar.Member) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(a.settings.Name + "\x00" + m.Name)) // It never returns an error.
		return h.Sum64()
	}
	var members []registrar.Member
	for name, m := range a.registrar.View().Members {
		if name != a.settings.Name && usable(m) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(x, y registrar.Member) int {
		if weight(x) < weight(y) {
			return -1
		}
		return 1
	})
	var list []netip.AddrPort
	for _, m := range members[:min(limit, len(members))] {
		list = append(list, m.Peer)
	}
	return list
}

// exchangeLeavings sends leavings, if there are any, to other sidecars at once or asks them for those of this one. It
// passes their responses to read, one at a time, and returns the number of those that it accepts.
func (a *Sidecar) exchangeLeavings(
	ctx context.Context, peers []netip.AddrPort, body []byte, read func(*carrier.Response) error,
) int {
	bound := a.promises.acknowledgement.Bound(leavingTimeout)
	results := make(chan *carrier.Response, len(peers))
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	for _, peer := range peers {
		go func() {
			r, err := a.peers.ExchangeUntracked(ctx, peer, bound, &carrier.Request{
				Method: method, Target: leavingsPath + "?" + url.Values{"member": {a.settings.Name}}.Encode(),
				Host: peer.String(), Header: http.Header{}, Body: body,
			})
			if err == nil && r.Status != http.StatusOK {
				err = errors.Errorf("status %d", r.Status)
			}
			if err != nil {
				_ = a.logger.Log("event", "leavings_failed", "peer", peer, "error", err)
				r = nil
			}
			results <- r
		}()
	}
	count := 0
	for range peers {
		if r := <-results; r != nil && read(r) == nil {
			count++
		}
	}
	return count
}

// serveLeavings keeps leavings of another sidecar's server, or returns those that this one keeps.
func (a *Sidecar) serveLeavings(q *carrier.Request, member string) *carrier.Response {
	if q.Method == http.MethodPost {
		list, err := registrar.DecodeLeavings(q.Body)
		if err != nil {
			return carrier.NewResponse(http.StatusBadRequest, err.Error())
		}
		a.addLeavings(list, member)
	}
	data, err := registrar.EncodeLeavings(a.registrar.View().LeavingsOf(member))
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
}

// endUseOfLeftServer starts the drain of a server whose leaving another process acknowledged. When that was is unknown,
// so the drain time counts as over. The caller holds mu.
func (a *Sidecar) endUseOfLeftServer() {
	s := &a.server
	if s.state != registrar.Ready || !a.registrar.View().HasLeft(a.settings.Name, s.incarnation) {
		return
	}
	s.drainOver = true
	a.startDraining(timer.Now())
	a.updateExecutor()
}
