package sidecar

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/registrar"
)

// leavingTimeout bounds one exchange of leavings with another sidecar.
const leavingTimeout = 300 * time.Millisecond

// leavingPeers returns the usable other sidecars in the order in which they are asked to keep a leaving or for one. Those that
// have stopped as planned come last. Otherwise the order depends on their names and that of this one only, so that a process finds
// those that its predecessor asked.
func (a *Sidecar) leavingPeers(usable func(registrar.Member) bool) []registrar.Member {
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
		switch {
		case x.Stopping == y.Stopping:
			return cmp.Compare(weight(x), weight(y))
		case x.Stopping:
			return 1
		}
		return -1
	})
	return members
}

// leavingRounds are exchanges of leavings with members, with some of them at first and with twice as many in each further round.
type leavingRounds struct {
	members []registrar.Member
	first   int
	// body holds leavings to keep. Without it, the members are asked for those of this process.
	body []byte
}

// exchangeInRounds exchanges leavings until observe, which gets each response, or nil for none, has returned true in a round.
func (a *Sidecar) exchangeInRounds(ctx context.Context, rounds leavingRounds, observe func(registrar.Member, *carrier.Response) bool) {
	enough := false
	unasked := rounds.members
	for size := rounds.first; !enough && len(unasked) > 0; size *= 2 {
		size = min(size, len(unasked))
		a.exchangeLeavings(ctx, unasked[:size], rounds.body, func(m registrar.Member, r *carrier.Response) {
			enough = observe(m, r) || enough
		})
		unasked = unasked[size:]
	}
}

// exchangeLeavings sends leavings, if there are any, to other sidecars at once or asks them for those of this one. It
// passes their responses to observe, one at a time, or nil for one that doesn't respond properly.
func (a *Sidecar) exchangeLeavings(
	ctx context.Context, members []registrar.Member, body []byte, observe func(registrar.Member, *carrier.Response),
) {
	type result struct {
		member   registrar.Member
		response *carrier.Response
	}
	bound := a.promises.acknowledgement.Bound(leavingTimeout)
	results := make(chan result, len(members))
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	for _, m := range members {
		go func() {
			r, err := a.peers.ExchangeUntracked(ctx, m.Peer, bound, &carrier.Request{
				Method: method, Target: leavingsPath + "?" + url.Values{"member": {a.settings.Name}}.Encode(),
				Host: m.Peer.String(), Header: http.Header{}, Body: body,
			})
			if err == nil && r.Status != http.StatusOK {
				err = errors.Errorf("status %d", r.Status)
			}
			if err != nil {
				_ = a.logger.Log("event", "leavings_failed", "peer", m.Peer, "error", err)
				r = nil
			}
			results <- result{m, r}
		}()
	}
	for range members {
		r := <-results
		observe(r.member, r.response)
	}
}
