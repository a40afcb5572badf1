package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/carrier"
	"hibiscusline/executor"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	slowLinkMbps = 10
	slowLinkRate = slowLinkMbps * bytesPerMegabit
)

// newSlowLinkSidecar returns a sidecar that isn't started, on an instance with a slow link.
func newSlowLinkSidecar() *Sidecar {
	a := newIdleSidecar()
	a.link = executor.NewLink(slowLinkRate)
	return a
}

// applyTable applies the table of a service with many slices as the record at an offset.
func (a *Sidecar) applyTable(t *testing.T, offset uint64) {
	t.Helper()
	table := &assigner.Table{Service: "stock", LastToken: 1 << 40}
	for i := range 50 {
		table.Owners = append(table.Owners, assigner.Owner{Member: fmt.Sprint("m", i), Incarnation: assigner.Incarnation{Instance: "i", Born: 1}})
	}
	random := rand.New(rand.NewPCG(offset, 1))
	for range 9000 {
		table.Slices = append(table.Slices, assigner.Slice{Owner: uint16(1 + random.IntN(50)), Token: 1 + random.Uint64N(1<<20)})
	}
	data, err := table.Encode()
	require.NoError(t, err)
	a.apply([]registrar.Entry{{Key: registrar.TableKey("stock"), Offset: offset, Value: data}}, registrar.Position{Offset: offset + 1}, timer.Now())
}

func syncRequest(from uint64, wait time.Duration, document bool) *carrier.Request {
	return &carrier.Request{
		Method: http.MethodGet, Received: timer.Now(), Header: http.Header{},
		Target: fmt.Sprintf("/sync?from=%d&version=0&peer=127.0.0.1:1&wait_ms=%d&document=%t&patches=true", from, wait.Milliseconds(), document),
	}
}

// update is a response to a sync request.
type update struct {
	at    time.Time
	bytes int
	end   uint64
}

// sync sends a request for the records after an offset, as another process does, and returns the response. It asks for a
// document, so the response waits for its turn as long as that takes.
func (a *Sidecar) sync(t *testing.T, from uint64, wait time.Duration) update {
	r := a.serveSync(t.Context(), syncRequest(from, wait, true))
	at := time.Now()
	var n syncResponse
	require.NoError(t, cbor.Unmarshal(r.Body, &n))
	return update{at: at, bytes: len(r.Body), end: n.End}
}

// syncWaiting applies changes of a table while a number of processes wait for news, and returns the responses in the
// order in which they were made.
func (a *Sidecar) syncWaiting(t *testing.T, count int, change func()) []update {
	t.Helper()
	var mu sync.Mutex
	var updates []update
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			u := a.sync(t, 0, maxSyncWait)
			mu.Lock()
			defer mu.Unlock()
			updates = append(updates, u)
		})
	}
	time.Sleep(50 * time.Millisecond)
	change()
	group.Wait()
	slices.SortFunc(updates, func(x, y update) int { return x.at.Compare(y.at) })
	return updates
}

// TestUpdatesTakeTurns guards against a change of the records that is sent to all waiting processes at once: it fills the
// slow link of the instance for half a second, and the requests and the resets of its callers wait behind it, so that
// requests reach servers long after their callers have left (GONE).
func TestUpdatesTakeTurns(t *testing.T) {
	a := newSlowLinkSidecar()
	var start time.Time
	updates := a.syncWaiting(t, 20, func() {
		start = time.Now()
		a.applyTable(t, 1)
	})
	sent := 0
	for _, u := range updates {
		require.EqualValues(t, 2, u.end)
		require.LessOrEqual(t, float64(sent), slowLinkRate*u.at.Sub(start).Seconds(), "the bytes that were passed to the link before a response")
		sent += u.bytes
	}
	require.Greater(t, sent, 200_000)
}

// TestUpdatesAreMadeInTurn guards against processes that wait for the link and then get records that have been replaced
// meanwhile, so that each of them asks again.
func TestUpdatesAreMadeInTurn(t *testing.T) {
	a := newSlowLinkSidecar()
	require.True(t, a.link.Acquire(t.Context(), 2*slowLinkRate))
	updates := a.syncWaiting(t, 20, func() {
		a.applyTable(t, 1)
		time.Sleep(50 * time.Millisecond)
		a.applyTable(t, 2)
	})
	for _, u := range updates {
		require.EqualValues(t, 3, u.end)
	}
}

// TestNoNewsDoesNotWait guards against processes whose leases rest on a response without news that waits for a busy link.
func TestNoNewsDoesNotWait(t *testing.T) {
	a := newSlowLinkSidecar()
	a.applyTable(t, 1)
	require.True(t, a.link.Acquire(t.Context(), 20*slowLinkRate))
	start := time.Now()
	require.EqualValues(t, 2, a.sync(t, 2, 0).end)
	require.Less(t, time.Since(start), 5*time.Second)
}

// TestBusyLinkIsToldInTime guards against a process that holds a request for updates until the requester gives it up,
// since its link is busy: the requester then takes it for lost, and doesn't learn that its configuration is the newest.
func TestBusyLinkIsToldInTime(t *testing.T) {
	a := newSlowLinkSidecar()
	a.applyConfiguration(encodedConfiguration(t, 1, 1), registrar.Position{}, "test")
	a.applyTable(t, 1)
	a.configurationAge.Confirm(timer.Now())
	require.True(t, a.link.Acquire(t.Context(), 20*slowLinkRate))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := a.serveSync(ctx, syncRequest(0, 0, false))
	var n syncResponse
	require.NoError(t, cbor.Unmarshal(r.Body, &n))
	require.Zero(t, n.End)
	require.Empty(t, n.Entries)
	require.Negative(t, n.Age, "the requester's view isn't the newest")
	require.NotEmpty(t, r.Header.Get(ageField))
}
