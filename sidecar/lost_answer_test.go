package sidecar

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// newSidecarOf returns a sidecar that isn't started, whose store is a handler.
func newSidecarOf(t *testing.T, store http.HandlerFunc) *Sidecar {
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	a := newIdleSidecar()
	a.store = platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	return a
}

// TestExpiredAfterLostAnswer guards against a process that waits for an answer that was lost, although the repeated read has
// shown that the records are deleted and that it has to load the newest ones.
func TestExpiredAfterLostAnswer(t *testing.T) {
	t.Parallel()
	a := newSidecarOf(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "0" {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusGone)
	})
	promise := a.promises.configuration
	start := timer.Now()
	_, err := a.readStore(t.Context(), storeRead{topic: platform.ConfigurationTopic, promise: promise, from: 1, hold: promise.Hold()})
	require.ErrorIs(t, err, platform.ErrExpired)
	require.Less(t, timer.Now()-start, promise.Hedge(promise.Hold(), 0).Overdue+300*time.Millisecond)
}

// TestRetryDespiteSilentProcesses guards against a read of the records that is delayed beyond the retry delay of its promise,
// because processes that are asked meanwhile don't answer.
func TestRetryDespiteSilentProcesses(t *testing.T) {
	t.Parallel()
	peer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(peer.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))
	const sidecars = 40 // The delay is random.
	delays := make(chan time.Duration, sidecars)
	for range sidecars {
		a := newIdleSidecar()
		for _, name := range []string{"y", "z"} {
			addMember(t, a, registrar.Member{Name: name, Epoch: 1, Peer: address, Service: "orders", Slots: 1})
		}
		a.storeHealth.failures = 8
		go func() {
			start := timer.Now()
			a.awaitStore(t.Context())
			delays <- timer.Now() - start
		}()
	}
	longest := time.Duration(0)
	for range sidecars {
		longest = max(longest, <-delays)
	}
	require.Less(t, longest, newIdleSidecar().promises.records.Retry()+200*time.Millisecond)
}

// addMember adds a member to the records that a sidecar knows.
func addMember(t *testing.T, a *Sidecar, m registrar.Member) {
	data, err := m.Encode()
	require.NoError(t, err)
	end := a.registrar.View().End
	require.NoError(t, a.registrar.Apply([]registrar.Entry{{Key: registrar.MemberKey(m.Name), Offset: end, Value: data}}, end+1))
}

// TestLostAnswerOfStaleProcess guards against a process that others haven't confirmed the configuration to for as long as it
// may rely on them, and that then waits for a read of its own, whose answer was lost, beyond the bound.
func TestLostAnswerOfStaleProcess(t *testing.T) {
	t.Parallel()
	document := encodedConfiguration(t, 2, 1)
	var reads atomic.Int32
	a := newSidecarOf(t, func(w http.ResponseWriter, r *http.Request) {
		if reads.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(encodeStoreBatch(1, platform.ConfigurationKey, document))
	})
	a.applyConfiguration(encodedConfiguration(t, 1, 1), registrar.Position{}, "test")
	promise := a.promises.configuration
	confirmed := timer.Now() - promise.MaxAge()
	a.configurationAge.Confirm(confirmed)
	a.delegated.Store(true)
	r := configurationRead{loaded: true, next: 1}
	_, err := a.readConfiguration(t.Context(), &r, waiter.Hold{})
	require.NoError(t, err)
	require.EqualValues(t, 2, a.version())
	require.Less(t, timer.Now()-confirmed, promise.Within)
}

// TestLoadForgetsDeletedMembers guards against a member that stays in use at a process that missed the record of its deletion,
// since the store had dropped its history: the newest records lack the keys that were deleted.
func TestLoadForgetsDeletedMembers(t *testing.T) {
	a := newSidecarOf(t, func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(map[string]any{"items": []any{}, "more": false, "end": 6})
		require.NoError(t, err)
		_, _ = w.Write(data)
	})
	address := netip.MustParseAddrPort("127.0.0.1:9")
	for _, name := range []string{"w", "x", "y"} {
		addMember(t, a, registrar.Member{Name: name, Epoch: 1, Peer: address, Service: "orders", Slots: 1})
	}
	late, err := registrar.Member{Name: "z", Epoch: 1, Peer: address, Service: "orders", Slots: 1}.Encode()
	require.NoError(t, err)
	require.NoError(t, a.registrar.Apply([]registrar.Entry{{Key: registrar.MemberKey("z"), Offset: 7, Value: late}}, 0))
	require.NoError(t, a.loadRecords(t.Context()))
	require.Equal(t, []string{"z"}, slices.Collect(maps.Keys(a.registrar.View().Members)))
}

// TestBatchDelayLeavesTimeForLostAnswer guards against a pause after a read that, in a large system, leaves no time for the next
// read when its answer is lost.
func TestBatchDelayLeavesTimeForLostAnswer(t *testing.T) {
	for _, maxHold := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second} {
		a := newIdleSidecar()
		a.bounds.MaxHold = maxHold
		a.promises = newPromises(a.bounds.Configuration, leaseTerm(maxHold))
		var entries []registrar.Entry
		for i := range 200 {
			m := registrar.Member{
				Name: fmt.Sprint(i), Epoch: 1, Peer: netip.MustParseAddrPort("127.0.0.1:9"), Service: "orders", Slots: 1,
			}
			data, err := m.Encode()
			require.NoError(t, err)
			entries = append(entries, registrar.Entry{Key: registrar.MemberKey(m.Name), Offset: uint64(i), Value: data})
		}
		require.NoError(t, a.registrar.Apply(entries, uint64(len(entries))))
		promise := a.promises.records
		require.Less(t, a.batchDelay()+promise.Hedge(a.recordsHold(), 0).Overdue, promise.Within, maxHold)
	}
}
