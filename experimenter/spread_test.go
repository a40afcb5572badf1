package experimenter

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// TestFairShareTimeout guards against an experiment that waits forever for ranges that never move, because
// max_moves_per_minute is 0, and against an error that doesn't name the cause and a member without its share.
func TestFairShareTimeout(t *testing.T) {
	service := httptest.NewServer(emulator.NewLog(emulator.LogConfig{}))
	defer service.Close()
	address, err := netip.ParseAddrPort(strings.TrimPrefix(service.URL, "http://"))
	require.NoError(t, err)
	f := &launcher.Fleet{Client: appender.New(appender.Config{Address: address, Stream: launcher.Stream})}
	defer f.Client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, record := range []applier.Record{
		applier.Propose{Author: "liis", Configuration: validator.Configuration{
			Services: map[string]validator.Service{
				"stock": {Keyed: true, InitialRanges: 8, MaxRequestTime: validator.Duration(time.Second), Placement: "still"},
			},
			Ranks:      map[string]validator.Rank{"stock": {LatencyTarget: validator.Duration(time.Second)}},
			Rules:      []validator.Rule{{Name: "stock", Service: "stock", Rank: "stock"}},
			Placements: map[string]validator.Placement{"still": {}},
			Policy:     validator.Policy{Operators: []string{"liis"}},
		}},
		applier.Join{Member: applier.Member{ID: 1, Name: "first", Zone: "a", Service: "stock", Slots: 1}},
		applier.Join{Member: applier.Member{ID: 2, Name: "second", Zone: "b", Service: "stock", Slots: 1}},
	} {
		_, err := f.Client.Append(ctx, appender.NewEnvelope(record))
		require.NoError(t, err)
	}
	err = awaitFairShares(ctx, f, 300*time.Millisecond)
	require.ErrorContains(t, err, "member second of service stock owns 0 of 8 ranges")
	require.ErrorContains(t, err, "max_moves_per_minute is 0")
}
