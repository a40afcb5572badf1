package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
)

// TestLeavingIsNoReturn guards against a server whose leaving another process acknowledged and that is used again when
// its record, written before, is read later.
func TestLeavingIsNoReturn(t *testing.T) {
	left := assigner.Incarnation{Instance: "i-a", Born: 5}
	l := registrar.Leaving{Member: "a", Incarnation: left}
	r := registrar.New()
	require.Equal(t, []registrar.Leaving{l}, r.AddLeavings([]registrar.Leaving{l}))
	require.Empty(t, r.AddLeavings([]registrar.Leaving{l}), "it is known already")
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 1, 0), memberEntry(t, "b", 1, 1)}, 2))
	require.Equal(t, registrar.Draining, r.View().Members["a"].State)
	require.Equal(t, registrar.Ready, r.View().Members["b"].State)
	require.Equal(t, registrar.Draining, r.View().ByService["stock"][0].State)
	stored, found := r.View().StoredMember("a")
	require.True(t, found)
	require.Equal(t, registrar.Ready, stored.State, "the process must see that the store doesn't have the leaving")
	require.False(t, r.View().RecordedLeaving("a", left))
	require.Equal(t, []registrar.Leaving{l}, r.View().LeavingsOf("a"))
	require.Empty(t, r.View().LeavingsOf("b"))
	// The record of a restarted process.
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 2, 2)}, 3))
	require.Equal(t, registrar.Draining, r.View().Members["a"].State)
}

// TestLeavingEndsWithIncarnation guards against a leaving that keeps the next incarnation of a server from being used.
func TestLeavingEndsWithIncarnation(t *testing.T) {
	left := assigner.Incarnation{Instance: "i-a", Born: 4}
	r := registrar.New()
	r.AddLeavings([]registrar.Leaving{{Member: "a", Incarnation: left}})
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 1, 0)}, 1))
	require.Equal(t, registrar.Ready, r.View().Members["a"].State)
	require.Empty(t, r.View().LeavingsOf("a"))
	require.True(t, r.View().RecordedLeaving("a", left), "the record names a later incarnation")
	require.False(t, r.View().HasLeft("a", assigner.Incarnation{Instance: "i-a", Born: 5}))
}

// TestDecodeLeavings guards against a message of another party that excludes servers it doesn't name.
func TestDecodeLeavings(t *testing.T) {
	good := []registrar.Leaving{{Member: "a", Incarnation: assigner.Incarnation{Instance: "i", Born: 5}}}
	data, err := registrar.EncodeLeavings(good)
	require.NoError(t, err)
	list, err := registrar.DecodeLeavings(data)
	require.NoError(t, err)
	require.Equal(t, good, list)
	for name, l := range map[string]registrar.Leaving{
		"no_member":   {Incarnation: assigner.Incarnation{Instance: "i", Born: 5}},
		"no_instance": {Member: "a", Incarnation: assigner.Incarnation{Born: 5}},
		"no_start":    {Member: "a", Incarnation: assigner.Incarnation{Instance: "i"}},
	} {
		data, err := registrar.EncodeLeavings([]registrar.Leaving{l})
		require.NoError(t, err, name)
		_, err = registrar.DecodeLeavings(data)
		require.ErrorContains(t, err, "missing", name)
	}
	_, err = registrar.DecodeLeavings([]byte("junk"))
	require.Error(t, err)
}

// TestUnrecordedLeavings guards against a leaving that nobody else is told although the store lacks it, and against one that is
// told for ever.
func TestUnrecordedLeavings(t *testing.T) {
	l := registrar.Leaving{Member: "a", Incarnation: assigner.Incarnation{Instance: "i-a", Born: 5}}
	r := registrar.New()
	r.AddLeavings([]registrar.Leaving{l, {Member: "elsewhere", Incarnation: l.Incarnation}})
	require.Empty(t, r.View().UnrecordedLeavings(), "no record says that these servers may be used")
	require.NoError(t, r.Apply([]registrar.Entry{memberEntry(t, "a", 1, 0)}, 1))
	require.Equal(t, []registrar.Leaving{l}, r.View().UnrecordedLeavings())
	stored, found := r.View().StoredMember("a")
	require.True(t, found)
	stored.State = registrar.Draining
	data, err := stored.Encode()
	require.NoError(t, err)
	require.NoError(t, r.Apply([]registrar.Entry{{Key: registrar.MemberKey("a"), Offset: 1, Value: data}}, 2))
	require.Empty(t, r.View().UnrecordedLeavings())
}
