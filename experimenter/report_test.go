package experimenter

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReport guards against a report that can't read the results that the experiments print, or that leaves parts of
// them out, and against a malformed result that is skipped.
func TestReport(t *testing.T) {
	directory := t.TempDir()
	write := func(name string, result any) {
		data, err := json.Marshal(result)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(directory, name), append([]byte("earlier line\n"), data...), 0o600))
	}
	series := map[string][]seriesPoint{"order": {{At: 0, P99: 3}, {At: 0.5, P99: 4}}}
	write("flood.json", floodResult{Experiment: "flood", Missed: []string{"one target"}, Customers: []floodCustomer{{
		Customer: "vatilaane", Policy: floodRun{Series: series, Cases: []floodCaseResult{
			{floodCase: floodCase{Flooded: []string{"pattern"}, Times: 5}, OrdersKept: 0.987},
		}},
	}}})
	write("hotkey.json", scenarioResult{Experiment: "hotkey", Customers: []scenarioCustomer{{
		Customer: "karri_ridge", Policy: scenarioRun{Series: series, Figures: map[string]float64{"imbalance_00": 1.2}},
	}}})
	write("other.json", map[string]string{"experiment": "overhead"})
	path, err := Report(directory)
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, part := range []string{"Missed: one target", "0.987", "All targets met", "flood-vatilaane-kept.png", "hotkey-karri_ridge-imbalance.png"} {
		require.Contains(t, string(page), part)
	}
	require.FileExists(t, filepath.Join(directory, "flood-vatilaane-policy-latency.png"))
	require.FileExists(t, filepath.Join(directory, "hotkey-karri_ridge-imbalance.png"))
	require.NoError(t, os.WriteFile(filepath.Join(directory, "bad.json"), []byte("{"), 0o600))
	_, err = Report(directory)
	require.ErrorContains(t, err, "bad.json")
}
