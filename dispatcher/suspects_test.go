package dispatcher

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// TestSuspicionExpires guards against a request that stays refused forever after its backend servers have been
// repaired. The list of suspects in the log doesn't expire and is merged repeatedly.
func TestSuspicionExpires(t *testing.T) {
	s := newSuspects(1)
	s.Tracker = quarantiner.NewTracker(quarantiner.Config{Member: 1, Expiry: time.Nanosecond})
	const fingerprint = 7
	var state applier.State
	for i := range 2 {
		record, isNew, _ := s.crash(s.Start(fingerprint))
		require.True(t, isNew)
		state.Apply(applier.Offset(i+1), applier.Envelope{ID: strconv.Itoa(i), Record: record})
	}
	require.Equal(t, quarantiner.Refuse, s.Verdict(timer.Now(), fingerprint, nil))
	for range 3 {
		s.Merge(timer.Now(), state.Suspects)
	}
	require.NotEqual(t, quarantiner.Refuse, s.Verdict(timer.Now(), fingerprint, nil))
}
