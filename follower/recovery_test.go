package follower

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// TestInstallStateIgnoresOlderState guards against a lagging peer that sends an older state, with a configuration or an
// owner that has since been replaced.
func TestInstallStateIgnoresOlderState(t *testing.T) {
	var records [][]byte
	for i := range 4 {
		records = append(records, join(t, i+1))
	}
	older, f := &Follower{}, &Follower{}
	_, err := older.Ingest(Batch{FirstRetained: 1, Next: 3, Start: 1, Records: records[:2]})
	require.NoError(t, err)
	encoded, err := older.EncodeState()
	require.NoError(t, err)
	state, err := applier.DecodeState(encoded)
	require.NoError(t, err)
	_, err = f.Ingest(Batch{FirstRetained: 1, Next: 5, Start: 1, Records: records})
	require.NoError(t, err)
	require.False(t, f.InstallState(state))
	require.EqualValues(t, 4, f.Applied())
}

// TestPeerEndsRecovery guards against a process that was disconnected for longer than the log retains records, found no
// checkpoint, and then ignored the missing records that its peers still have.
func TestPeerEndsRecovery(t *testing.T) {
	var records [][]byte
	for i := range 6 {
		data, err := applier.Encode(applier.Envelope{ID: string(rune('a' + i)), Record: applier.Suspect{Member: 1, Fingerprints: []uint64{uint64(i)}}})
		require.NoError(t, err)
		records = append(records, data)
	}
	f := &Follower{}
	_, err := f.Ingest(Batch{FirstRetained: 1, Next: 3, Start: 1, Records: records[:2]})
	require.NoError(t, err)
	// The log retains only records 5 and 6.
	_, err = f.Ingest(Batch{FirstRetained: 5, Next: 7, Start: 5, Records: records[4:]})
	require.NoError(t, err)
	require.EqualValues(t, 2, f.Applied())
	// A peer sends records 3 to 5.
	_, err = f.Ingest(Batch{FirstRetained: 1, Next: 6, Start: 3, Records: records[2:5]})
	require.NoError(t, err)
	require.EqualValues(t, 5, f.Applied())
	require.EqualValues(t, 6, f.NextOffset())
	_, err = f.Ingest(Batch{FirstRetained: 5, Next: 7, Start: 6, Records: records[5:]})
	require.NoError(t, err)
	require.EqualValues(t, 6, f.Applied())
}
