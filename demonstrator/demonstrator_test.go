package demonstrator

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/launcher"
)

// TestRun guards against a demo in which an event doesn't happen, a rank is not served or a promise is broken.
func TestRun(t *testing.T) {
	var progress bytes.Buffer
	summary, err := Run(t.Context(), Config{Duration: MinDuration, Seed: 1, Progress: &progress})
	require.NoError(t, err, progress.String())
	var table bytes.Buffer
	require.NoError(t, summary.Write(&table))
	require.Zero(t, summary.Broken(), table.String())
	require.Len(t, summary.Users, 2)
	for _, event := range []string{"becomes hot", "moved the hot key", "gracefully", "and left", "lost", "have other owners"} {
		require.Equal(t, 2, bytes.Count(progress.Bytes(), []byte(event)), "%s in\n%s", event, progress.String())
	}
}

// TestBrokenPromises guards against a demo that reports success although the reports of its load contain violations.
func TestBrokenPromises(t *testing.T) {
	counts := generator.Counts{Sent: 4, Answered: 0, Unknown: 1, Mismatched: 2, Truncated: 3}
	rank := generator.RankReport{Rank: "order", Summary: generator.Summary{Counts: counts}}
	d := &userDemo{
		fleet: &launcher.Fleet{Ledger: emulator.NewLedger(1)},
		mainReport: generator.Report{
			Ranks: []generator.RankReport{rank}, NotRunIDsDropped: 4,
			Streams: []generator.StreamReport{{Series: []generator.Point{{At: 1, Unknown: 5}, {At: 3, Unknown: 7}}}},
		},
		entryReport: generator.Report{Ranks: []generator.RankReport{rank}},
	}
	d.stopStart, d.stopEnd = 0, 2e9
	u := d.summarize()
	broken := map[string]uint64{}
	for _, c := range u.Checks {
		broken[c.Promise] = c.Broken
	}
	require.EqualValues(t, 4, broken["a caller gets its own answer (crossed)"])
	require.EqualValues(t, 6, broken["an answer is complete or cut visibly (truncated)"])
	require.EqualValues(t, 6, broken["a graceful stop cuts nothing in flight (cut)"])
	require.EqualValues(t, 1, broken["every rank is served (ranks without an answer)"])
	require.EqualValues(t, 4, broken["every run was checked (dropped from the ledger)"])
	require.EqualValues(t, 21, Summary{Users: []UserSummary{u}}.Broken())
}
