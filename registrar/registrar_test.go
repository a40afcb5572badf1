package registrar_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
)

func memberEntry(t *testing.T, name string, epoch, offset uint64) registrar.Entry {
	t.Helper()
	m := registrar.Member{
		Name: name, Epoch: epoch, Zone: "zone-a", Peer: netip.MustParseAddrPort("10.0.0.1:7100"), Service: "stock",
		State: registrar.Ready, Slots: 12, Incarnation: assigner.Incarnation{Instance: "i-" + name, Born: 5},
	}
	data, err := m.Encode()
	require.NoError(t, err)
	return registrar.Entry{Key: registrar.MemberKey(name), Offset: offset, Value: data}
}

// TestNewestWins guards against a copy that reverts to an older record that arrives late, from the store or from
// another process.
func TestNewestWins(t *testing.T) {
	r := registrar.New()
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 3, 9)}, 10))
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 2, 4), memberEntry(t, "b", 1, 5)}, 6))
	v := r.View()
	require.EqualValues(t, 3, v.Members["a"].Epoch)
	require.Contains(t, v.Members, "b")
	require.EqualValues(t, 10, v.End)
	require.NoError(t, r.Apply([]registrar.Entry{{Key: registrar.MemberKey("a"), Offset: 10}}, 11))
	require.NotContains(t, r.View().Members, "a")
	require.Contains(t, v.Members, "a", "a view is immutable")
	require.Len(t, r.View().ByService["stock"], 1)
}

// TestUnreadable guards against a malformed record that prevents other records from being applied.
func TestUnreadable(t *testing.T) {
	r := registrar.New()
	err := r.Apply([]registrar.Entry{
		{Key: registrar.TableKey("stock"), Offset: 0, Value: []byte("junk")},
		{Key: "other/x", Offset: 1, Value: []byte("x")},
		memberEntry(t, "a", 1, 2),
	}, 3)
	require.ErrorContains(t, err, "table/stock")
	require.ErrorContains(t, err, "other/x")
	require.Contains(t, r.View().Members, "a")
}

// TestEntriesSince guards against a process that sends another one fewer records than it lacks.
func TestEntriesSince(t *testing.T) {
	r := registrar.New()
	require.NoError(t, r.Apply([]registrar.Entry{
		memberEntry(t, "a", 1, 0), memberEntry(t, "b", 1, 1), memberEntry(t, "a", 2, 2),
	}, 3))
	list := r.EntriesSince(1)
	require.Len(t, list, 2)
	require.EqualValues(t, 1, list[0].Offset)
	require.EqualValues(t, 2, list[1].Offset)
}

// TestGap guards against a conditional update based on an end offset below which records were never read: the own
// record of a process may be appended after records of others that it has not read yet.
func TestGap(t *testing.T) {
	r := registrar.New()
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 1, 0)}, 1))
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "b", 1, 3)}, 0))
	require.EqualValues(t, 1, r.View().End)
	require.Contains(t, r.View().Members, "b")
	_, beforeEnd := r.View().MemberBeforeEnd("b")
	require.False(t, beforeEnd, "a process must not act on its own record before it has read all earlier records")
	require.NoError(t, r.Apply(nil, 4))
	_, beforeEnd = r.View().MemberBeforeEnd("b")
	require.True(t, beforeEnd)
}
