package follower

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
)

// TestPeerEndsRecovery guards against a process that was away longer than the log keeps records, found no checkpoint, and
// then refused the missing records that its peers still have.
func TestPeerEndsRecovery(t *testing.T) {
	var records [][]byte
	for i := range 6 {
		data, err := applier.Encode(applier.Envelope{ID: string(rune('a' + i)), Record: applier.Suspect{Member: 1, Fingerprints: []uint64{uint64(i)}}})
		require.NoError(t, err)
		records = append(records, data)
	}
	f := &Follower{}
	_, err := f.Ingest(Batch{First: 1, Next: 3, Start: 1, Records: records[:2]})
	require.NoError(t, err)
	// The log keeps records 5 and 6 only.
	_, err = f.Ingest(Batch{First: 5, Next: 7, Start: 5, Records: records[4:]})
	require.NoError(t, err)
	require.EqualValues(t, 2, f.Applied())
	// A peer sends records 3 to 5.
	_, err = f.Ingest(Batch{First: 1, Next: 6, Start: 3, Records: records[2:5]})
	require.NoError(t, err)
	require.EqualValues(t, 5, f.Applied())
	require.EqualValues(t, 6, f.NextOffset())
	_, err = f.Ingest(Batch{First: 5, Next: 7, Start: 6, Records: records[5:]})
	require.NoError(t, err)
	require.EqualValues(t, 6, f.Applied())
}
