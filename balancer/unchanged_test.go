package balancer

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// TestUnchanged guards against other choices for services whose servers don't say how slow they are. The sum of the choices is
// that of the release before the estimates.
func TestUnchanged(t *testing.T) {
	c := NewChooser(ChooserConfig{Seed: 21, LocalZoneBias: 0.4})
	c.SetZoneWeights(map[string]int{"a": 3, "b": 1, "c": 1})
	servers, candidates := newServers(7)
	candidates[2].Age, candidates[4].ReportedInFlight = 2*time.Second, 9
	servers[3].service, servers[5].fails = 90*time.Millisecond, true
	sum := fnv.New64a()
	picked := make([]int, len(servers))
	runServers(c, servers, candidates, 10, func() {
		for i, s := range servers {
			if s.picked > picked[i] {
				_, _ = sum.Write([]byte{byte(applier.MemberID(i + 1))})
			}
			picked[i] = s.picked
		}
	})
	require.Equal(t, uint64(0xbbdcb3f3996a9cf0), sum.Sum64())
}
