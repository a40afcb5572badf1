package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/assigner"
	"hibiscusline/carrier"
	"hibiscusline/granter"
	"hibiscusline/platform"
	"hibiscusline/timer"
)

const (
	// maxCalls bounds the grants and releases that are in flight at the same time.
	maxCalls = 32
	// grantTimeout bounds the wait for the answer to a grant, which the server on the same instance gives at once. An owner
	// has about 180 ranges, so that with a longer wait, calls without an answer would hold up the renewal of the others.
	grantTimeout = 150 * time.Millisecond
	// releaseCallTimeout bounds the wait for the answer to a release, which comes when the server's work has ended.
	releaseCallTimeout = 3 * time.Second
	// callGrantShare is the length of a grant by a call as a share of the longest that the platform allows. A grant
	// without an answer may be applied until it would have ended, and delays the move of its keys for so long.
	callGrantShare = 0.5
	// maxCallBody bounds the response to a call, in bytes.
	maxCallBody = 64 << 10
	// maxCallWait bounds the wait for the next call that is due.
	maxCallWait = time.Second
)

var (
	errMayNotConnect      = errors.New("no recent sign of life of the server")
	errEarlierIncarnation = errors.New("the call is for an earlier incarnation of the server")
)

func (a *Sidecar) newGrantPool() *carrier.Pool {
	return carrier.NewPool(carrier.PoolConfig{
		ConnectTimeout: dialTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: maxCalls, MaxBody: maxCallBody,
		MayDial: func(open bool) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.granter.MayConnect(timer.Now(), open) {
				return errMayNotConnect
			}
			return nil
		},
		OnAllClosed: a.loseGrantConnections,
	})
}

// loseGrantConnections records that the server may have ended, since it has closed all connections for grants.
func (a *Sidecar) loseGrantConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granter.ConnectionsLost(timer.Now())
}

func (a *Sidecar) newReleasePool() *carrier.Pool {
	return carrier.NewPool(carrier.PoolConfig{ConnectTimeout: dialTimeout, MaxBody: maxCallBody})
}

// callServer sends the grants and releases that are due to the backend server, and transfers released slices.
func (a *Sidecar) callServer(ctx context.Context) {
	slots := make(chan struct{}, maxCalls)
	for ctx.Err() == nil {
		a.mu.Lock()
		now := timer.Now()
		calls := a.granter.Calls(now, maxCalls-len(slots))
		for _, c := range calls {
			slots <- struct{}{}
			go func() {
				a.call(ctx, c)
				<-slots
				wake(a.callWake)
			}()
		}
		released := a.granter.ReleasedSlices(now)
		owner := assigner.Owner{Member: a.settings.Name, Incarnation: a.server.incarnation}
		wait := min(max(a.granter.NextCallAt(now)-now, 0), maxCallWait)
		a.mu.Unlock()
		if len(released) > 0 {
			go a.releaseSlices(owner, released)
			wait = min(wait, storeRetryDelay)
		}
		timeout := time.NewTimer(wait)
		select {
		case <-a.callWake:
		case <-timeout.C:
		case <-ctx.Done():
		}
		timeout.Stop()
	}
}

// call sends a grant or a release and records its outcome.
func (a *Sidecar) call(ctx context.Context, c granter.Call) {
	start := timer.Now()
	outcome, handover, err := a.exchangeCall(ctx, c)
	now := timer.Now()
	a.mu.Lock()
	a.granter.Finished(now, c, outcome, handover)
	a.mu.Unlock()
	a.metrics.count(`hibiscus_grant_calls_total{call="` + callName(c) + `",outcome="` + outcome.String() + `"}`)
	if _, isGrant := c.(granter.GrantCall); isGrant && outcome == granter.Applied {
		return
	}
	holding := callHolding(c)
	_ = a.logger.Log("event", "grant_call", "call", callName(c), "outcome", outcome, "first", holding.First, "last", holding.Last,
		"token", holding.Token, "ms", (now - start).Milliseconds(), "handover", handover != "", "error", err)
}

func (a *Sidecar) exchangeCall(ctx context.Context, c granter.Call) (granter.Outcome, string, error) {
	q, err := platform.EncodeCall(c, a.settings.Backend.String())
	if err != nil {
		return granter.NotSent, "", err
	}
	pool, timeout := a.grantPool, grantTimeout
	switch c := c.(type) {
	case granter.GrantCall:
		q.SendBy = c.SendBy
	case granter.ReleaseCall:
		// A connection that has carried nothing else can't deliver the answer to an earlier release.
		pool, timeout, q.NewConn = a.releasePool, releaseCallTimeout, true
	}
	q.MaySend = func() error {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.granter.MaySend(c) {
			return errEarlierIncarnation
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := pool.Exchange(ctx, a.settings.Backend, q)
	failed := new(carrier.ExchangeError)
	switch {
	case err == nil:
		outcome, handover := platform.DecodeCallResult(r)
		return outcome, handover, nil
	case !errors.As(err, &failed) || failed.Sent:
		if ctx.Err() == nil && !a.grantPool.HasOpen(a.settings.Backend) {
			a.loseGrantConnections()
		}
		return granter.Unanswered, "", err
	case errors.Is(err, errMayNotConnect):
		return granter.NotConnected, "", err
	}
	return granter.NotSent, "", err
}

func callName(c granter.Call) string {
	if _, isGrant := c.(granter.GrantCall); isGrant {
		return "grant"
	}
	return "release"
}

func callHolding(c granter.Call) granter.Holding {
	switch c := c.(type) {
	case granter.GrantCall:
		return c.Holding
	case granter.ReleaseCall:
		return c.Holding
	}
	return granter.Holding{}
}

// refuseKey records that the server refused a request for a key that it was granted.
func (a *Sidecar) refuseKey(key uint16) {
	a.mu.Lock()
	a.granter.KeyRefused(key)
	a.mu.Unlock()
	wake(a.callWake)
}
