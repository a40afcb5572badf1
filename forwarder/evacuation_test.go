package forwarder

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// TestEvacuatedZoneIsLeft guards against an entry that chooses servers of an evacuated zone, and against one that gives them their
// whole share as soon as the evacuation has ended.
func TestEvacuatedZoneIsLeft(t *testing.T) {
	evacuated, restoredAt := map[string]bool{}, map[string]time.Duration{}
	members := []registrar.Member{}
	for i, zone := range []string{"a", "b"} {
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9+i))
		members = append(members, registrar.Member{Name: zone, Zone: zone, Service: "s", State: registrar.Ready, Slots: 4, Peer: peer})
	}
	view := &registrar.View{ByService: map[string][]registrar.Member{"s": members}}
	f := New(Config{
		Member: "x", Zone: "c", Logger: log.NewNopLogger(), Peers: NewPeers(PeersConfig{}),
		View:       func() *registrar.View { return view },
		Evacuated:  func(zone string) bool { return evacuated[zone] },
		RestoredAt: func(zone string) time.Duration { return restoredAt[zone] },
	})
	service := matcher.Service{Name: "s"}
	picks := func() map[string]int {
		count := map[string]int{}
		for range 1000 {
			p := &forwardedRequest{
				forwarder: f, service: f.service("s"), job: &executor.Job{}, match: matcher.Match{Service: service},
			}
			if m, found := p.pickMember(); found {
				count[m.Name]++
			} else {
				require.True(t, p.evacuated)
			}
		}
		return count
	}
	require.InDelta(t, 500, picks()["a"], 150)
	evacuated["a"] = true
	require.Equal(t, map[string]int{"b": 1000}, picks())
	evacuated["a"], restoredAt["a"] = false, timer.Now()
	require.Less(t, picks()["a"], 250)
	service.ColdRate, restoredAt["a"] = 16, timer.Now()-2*time.Second
	require.InDelta(t, 500, picks()["a"], 150, "the cold rate bounds what reaches these servers")
	service.ColdRate = 0
	require.Less(t, picks()["a"], 350)
	evacuated["a"], evacuated["b"] = true, true
	require.Empty(t, picks())
}
