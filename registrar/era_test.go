package registrar_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
)

func tableEntry(t *testing.T, era, offset uint64) registrar.Entry {
	t.Helper()
	table := &assigner.Table{Service: "stock", Era: era, LastToken: 1, Slices: make([]assigner.Slice, 64)}
	value, err := table.Encode()
	require.NoError(t, err)
	return registrar.Entry{Key: registrar.TableKey("stock"), Offset: offset, Value: value}
}

// TestTableBehindMark guards against a table that was built in an earlier era, landed in this one because the offsets agree, and
// replaces that of the era.
func TestTableBehindMark(t *testing.T) {
	mark := registrar.Entry{Key: registrar.EraKey, Offset: 5, Value: registrar.EncodeEra(2)}
	r := registrar.New()
	require.NoError(t, r.Enter([]registrar.Entry{tableEntry(t, 1, 4), mark}, registrar.Position{Era: 2, Offset: 6}))
	require.EqualValues(t, 1, r.View().Tables["stock"].Era, "what stands before the mark is the copy's")
	require.NoError(t, r.Apply([]registrar.Entry{tableEntry(t, 2, 6)}, 7))
	require.Error(t, r.Apply([]registrar.Entry{tableEntry(t, 1, 7)}, 8))
	require.EqualValues(t, 2, r.View().Tables["stock"].Era)
	require.True(t, r.View().Unreadable(registrar.TableKey("stock")), "the table must be written again")

	r = registrar.New()
	require.Error(t, r.Enter([]registrar.Entry{tableEntry(t, 1, 7), mark}, registrar.Position{Era: 2, Offset: 8}))
	require.Nil(t, r.View().Tables["stock"])
}

// TestEnterKeepsLeavings guards against a server whose leaving was acknowledged and that is used again because the store has lost
// the record.
func TestEnterKeepsLeavings(t *testing.T) {
	m := registrar.Member{
		Name: "a", Epoch: 1, Service: "stock", Peer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: assigner.Incarnation{Instance: "i", Born: 1}, State: registrar.Draining,
	}
	encoded := func(m registrar.Member) []byte {
		value, err := m.Encode()
		require.NoError(t, err)
		return value
	}
	r := registrar.New()
	require.NoError(t, r.Apply([]registrar.Entry{{Key: registrar.MemberKey("a"), Offset: 9, Value: encoded(m)}}, 10))
	m.State = registrar.Ready
	older := registrar.Entry{Key: registrar.MemberKey("a"), Offset: 2, Value: encoded(m)}
	require.NoError(t, r.Enter([]registrar.Entry{older}, registrar.Position{Era: 1, Offset: 3}))
	require.Equal(t, registrar.Position{Era: 1, Offset: 3}, r.View().Position())
	require.Equal(t, registrar.Draining, r.View().Members["a"].State)
}
