package granter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/granter"
)

// eraFixture returns a granter that holds all slices of a table under token 5, with a lease from 10 s on, and that table.
func eraFixture() (*granter.Granter, *assigner.Table) {
	server := assigner.Incarnation{Instance: "i", Born: 1}
	t := &assigner.Table{
		Service: "stock", LastToken: 5, Slices: make([]assigner.Slice, 64),
		Owners: []assigner.Owner{{Member: "a", Incarnation: server}, {Member: "b", Incarnation: assigner.Incarnation{Instance: "j", Born: 1}}},
	}
	for i := range t.Slices {
		t.Slices[i] = assigner.Slice{Owner: 1, Token: 5}
	}
	g := granter.New(granter.Config{Member: "a", LeaseTerm: 12 * time.Second, HoldTime: 8 * time.Second, MaxHold: 10 * time.Second})
	g.Heartbeat(9*time.Second, granter.Heartbeat{Incarnation: server, Sequence: 1})
	g.Observe(t, 10*time.Second)
	return g, t
}

// older returns a copy of a table in which the first slice still belongs to the other owner.
func older(t *assigner.Table) *assigner.Table {
	c := t.Clone()
	c.Slices[0] = assigner.Slice{Owner: 2, Token: 4}
	return c
}

// TestLeaseNeedsOpenedTable guards against a lease that is renewed by a table of an earlier era, which a late append may still
// replace.
func TestLeaseNeedsOpenedTable(t *testing.T) {
	g, table := eraFixture()
	g.Enter(12*time.Second, 1)
	g.Observe(table.Clone(), 13*time.Second)
	require.Equal(t, 22*time.Second, g.LeaseEnd())
	g.Observe(assigner.Open(table, 1), 14*time.Second)
	require.Equal(t, 26*time.Second, g.LeaseEnd())
}

// TestHoldsUntilClaimsAreWritten guards against an owner that drops what it holds because the store's older copy doesn't say so.
func TestHoldsUntilClaimsAreWritten(t *testing.T) {
	g, table := eraFixture()
	g.Enter(12*time.Second, 1)
	opened := assigner.Open(older(table), 1)
	g.Observe(opened, 13*time.Second)
	require.Equal(t, 22*time.Second, g.LeaseEnd(), "the table doesn't agree with the claims")
	response, _ := g.Heartbeat(14*time.Second, granter.Heartbeat{Incarnation: g.Incarnation(), Sequence: 2})
	require.Len(t, response.Grants, 1)
	require.Zero(t, response.Grants[0].First)
	claims := g.Unwritten(opened)
	require.Equal(t, []assigner.Claim{{Slice: 0, Token: 5}}, claims)
	g.Observe(assigner.ApplyClaims(opened, table.Owners[0], claims), 15*time.Second)
	require.Equal(t, 27*time.Second, g.LeaseEnd())
}

// TestNoGrantOfUnclaimed guards against grants of slices that the store's older copy gives back to their former owner.
func TestNoGrantOfUnclaimed(t *testing.T) {
	g, table := eraFixture()
	g.Observe(older(table), 11*time.Second)
	g.Enter(12*time.Second, 1)
	opened := assigner.Open(table, 1)
	for read, expected := range map[*assigner.Table]uint16{opened: 1, assigner.Settle(opened): 0} {
		h, _ := eraFixture()
		h.Observe(older(table), 11*time.Second)
		h.Enter(12*time.Second, 1)
		h.Observe(read, 13*time.Second)
		response, _ := h.Heartbeat(14*time.Second, granter.Heartbeat{Incarnation: h.Incarnation(), Sequence: 2})
		require.Equal(t, expected<<10, response.Grants[0].First)
	}
}

// TestLargeTokensFit guards against a response to a heartbeat that exceeds 4 KiB because the tokens of a later era are longer.
func TestLargeTokensFit(t *testing.T) {
	g, table := eraFixture()
	table = assigner.Open(table, 200)
	table.Settling = false
	table.Slices = make([]assigner.Slice, 280)
	for i := range table.Slices {
		table.LastToken++
		table.Slices[i] = assigner.Slice{Owner: 1, Token: table.LastToken}
	}
	g.Observe(table, 13*time.Second)
	response, _ := g.Heartbeat(14*time.Second, granter.Heartbeat{Incarnation: g.Incarnation(), Sequence: 2})
	require.Len(t, response.Grants, 280)
}

// TestNoClaimOfEarlierIncarnation guards against a server that is started again while the store's records settle, and that gets the
// keys of its earlier life under the token that this one had.
func TestNoClaimOfEarlierIncarnation(t *testing.T) {
	g, table := eraFixture()
	g.Enter(12*time.Second, 1)
	opened := assigner.Open(older(table), 1)
	require.Len(t, g.Unwritten(opened), 1)
	g.Heartbeat(13*time.Second, granter.Heartbeat{Incarnation: assigner.Incarnation{Instance: "i", Born: 2}, Sequence: 1})
	require.Empty(t, g.Unwritten(opened))
	require.Zero(t, g.ClaimCount())
	g.Observe(opened, 14*time.Second)
	require.Equal(t, 26*time.Second, g.LeaseEnd(), "nothing is left to disagree with")
}
