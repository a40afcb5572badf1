package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// TestColdZone guards against requests that wait for, or are refused by, the servers of an availability zone that came back
// cold while the servers of other zones finish them sooner, under a load of 1000 requests a second on 20 servers.
func TestColdZone(t *testing.T) {
	var servers []*server
	var candidates []Candidate
	for i := range 20 {
		servers = append(servers, &server{service: 100 * time.Millisecond})
		c := Candidate{ID: memberID(i), Zone: "b", Slots: 9, Age: time.Hour, ReportAge: -1}
		if i < 10 {
			c.Zone, c.ColdWait = "a", 100*time.Millisecond
		}
		candidates = append(candidates, c)
	}
	c := NewChooser(ChooserConfig{LocalZoneBias: 0.4, Seed: 1})
	runServers(c, servers, candidates, 3, func() {})
	cold := 0
	for _, s := range servers[:10] {
		cold += s.picked
	}
	require.Less(t, cold, 60, "2 of 100 go to cold servers without room")
	for i := range candidates[:10] {
		candidates[i].ColdWait = 0
	}
	before := cold
	runServers(c, servers, candidates, 3, func() {})
	cold = 0
	for _, s := range servers[:10] {
		cold += s.picked
	}
	require.Greater(t, cold-before, 1200, "warm again, they get their share")
}

// TestOneServerWithRoom guards against the choice of a cold server without room because the sample holds no other.
func TestOneServerWithRoom(t *testing.T) {
	var candidates []Candidate
	for i := range 30 {
		candidates = append(candidates, Candidate{ID: memberID(i), Zone: "a", Slots: 9, Age: time.Hour, ReportAge: -1, ColdWait: time.Second})
	}
	candidates[17].ColdWait = 0
	c := NewChooser(ChooserConfig{Seed: 1})
	for range 100 {
		id, found := c.Pick(time.Hour, candidates, "a")
		require.True(t, found)
		require.Equal(t, memberID(17), id)
	}
}

func memberID(i int) applier.MemberID { return applier.MemberID(i + 1) }
