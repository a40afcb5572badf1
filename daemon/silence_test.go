package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/follower"
	"hibiscusline/loader"
)

// TestLogIsReadAfterPeersFallSilent guards against a process that receives nothing from its peers any more and reads the log itself only
// when a new configuration should have been in force.
func TestLogIsReadAfterPeersFallSilent(t *testing.T) {
	const (
		members = 60
		tested  = 16
		// inForceTime is a target of docs/design.md, and spreadTime is for the way of the record to the log.
		inForceTime = 4 * time.Second
		spreadTime  = 300 * time.Millisecond
	)
	service := emulator.NewLog(emulator.LogConfig{})
	server := httptest.NewServer(service)
	defer server.Close()
	settings := loader.DefaultDaemonSettings()
	settings.Zone, settings.Log.Stream = "a", "test"
	var err error
	settings.Log.Address, err = netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	for id := range members {
		record, err := applier.Encode(appender.NewEnvelope(applier.Join{Member: applier.Member{
			ID: applier.MemberID(id + 1), Name: fmt.Sprint(id), Zone: "a", Service: "desk", Slots: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}}))
		require.NoError(t, err)
		service.Append("test", record)
	}
	known := service.Read("test", 1, members)
	record, err := applier.Encode(appender.NewEnvelope(applier.Settle{Member: 1}))
	require.NoError(t, err)
	service.Append("test", record)
	ctx, cancel := context.WithCancel(t.Context())
	var tests sync.WaitGroup
	for i := range tested {
		d := New(Config{Settings: settings, Logger: log.NewNopLogger()})
		_, err = d.state.Ingest(follower.Batch{FirstRetained: 1, Next: members + 1, Start: 1, Records: known.Records})
		require.NoError(t, err)
		require.EqualValues(t, members, d.state.Applied())
		d.started, d.current = time.Now(), &incarnation{id: applier.MemberID(members - i)}
		// The processes receive the last message of a peer at different times within a second.
		tests.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / tested)
			d.lastHeard.Store(int64(time.Since(d.started)))
			d.tasks.Go(func() { d.followLog(ctx) })
			time.Sleep(inForceTime - spreadTime)
			if d.state.Applied() != members+1 {
				t.Errorf("process %d has not read the log %s after it last heard from a peer", i, inForceTime-spreadTime)
			}
		})
	}
	tests.Wait()
	cancel()
}
