package sidecar

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/granter"
	"hibiscusline/timer"
)

// TestCallOfEarlierIncarnation guards against a grant of an earlier incarnation of the server that is sent over a connection
// which a heartbeat of its successor, under the same id, has permitted: the successor would hold keys under a token that
// another holder had. Traces of TestLateGrants showed this order.
func TestCallOfEarlierIncarnation(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	t.Cleanup(server.Close)
	a := newIdleSidecar()
	a.settings.Backend = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	earlier, now := assigner.Incarnation{Instance: "i-0", Born: 1}, timer.Now()
	a.granter = granter.New(granter.Config{
		Member: "x", LeaseTerm: time.Minute, HoldTime: 5 * time.Second, MaxHold: 10 * time.Second, ByCalls: true, Started: now,
	})
	a.granter.Observe(&assigner.Table{
		Service: "stock", LastToken: 7, Owners: []assigner.Owner{{Member: "x", Incarnation: earlier}},
		Slices: []assigner.Slice{{Owner: 1, Token: 7}},
	}, now)
	_, _ = a.granter.Heartbeat(now, granter.Heartbeat{Incarnation: earlier, Sequence: 1})
	calls := a.granter.Calls(now, 1)
	require.Len(t, calls, 1)
	successor := assigner.Incarnation{Instance: "i-0", Born: 2}
	_, _ = a.granter.Heartbeat(now, granter.Heartbeat{Incarnation: successor, Sequence: 1})
	for _, what := range []string{"a new connection", "a kept connection"} {
		outcome, _, err := a.exchangeCall(t.Context(), calls[0])
		require.Equal(t, granter.NotSent, outcome, "%s: %v", what, err)
		require.Zero(t, received.Load(), what)
	}
}
