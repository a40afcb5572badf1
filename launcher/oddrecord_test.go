package launcher

import (
	"bytes"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// TestOddRecords guards against records of another writer of the log that make processes exit, or after which they follow
// the log no longer.
func TestOddRecords(t *testing.T) {
	b := startBadInputFleet(t)
	join := func(m applier.Member) []byte {
		data, err := applier.Encode(applier.Envelope{ID: "odd", Record: applier.Join{Member: m}})
		require.NoError(t, err)
		return data
	}
	for name, record := range map[string][]byte{
		"nested":        append(bytes.Repeat([]byte{0x81}, 100_000), 0x80),
		"empty":         {},
		"no record":     []byte("odd"),
		"no address":    join(applier.Member{ID: 1, Name: "odd-1", Service: "pattern-archive"}),
		"no port":       join(applier.Member{ID: 2, Name: "odd-2", Service: "pattern-archive", Address: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 1}),
		"large numbers": join(applier.Member{ID: math.MaxUint64, Name: "odd-3", Service: "nowhere", Slots: math.MaxInt, GuardianVersion: math.MaxUint64, Joined: math.MaxUint64}),
		"no slots":      join(applier.Member{ID: 4, Name: "odd-4", Service: "pattern-archive", Slots: math.MinInt}),
	} {
		b.Log.Append(Stream, record)
		time.Sleep(300 * time.Millisecond)
		for _, n := range b.Nodes {
			require.True(t, n.Running(), "%s: %s", name, n.Name)
		}
		response, body := b.order(b.Nodes[0])
		require.Equal(t, "true", response.Header.Get("Hibiscus-Replayed"), "%s: %s", name, body)
		require.Eventually(t, func() bool {
			response, _ := b.send(b.Nodes[1], http.MethodGet, "/echo", map[string]string{"Hibiscus-Service": "pattern-archive"}, "")
			return response.Header.Get("Hibiscus-Outcome") == "answered"
		}, 10*time.Second, 50*time.Millisecond, name)
	}
	last := b.Log.Append(Stream, []byte("odd"))
	for _, n := range b.Nodes {
		require.Eventually(t, func() bool {
			status, err := n.Status(t.Context())
			return err == nil && uint64(status.Applied) >= last
		}, 10*time.Second, 50*time.Millisecond, "%s follows the log", n.Name)
	}
}
