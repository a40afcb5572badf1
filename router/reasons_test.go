package router

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/encoder"
)

// TestReasonsAreDocumented checks that the table in the callers' guide has every reason, in the order of the enum,
// with its actual status and retry behaviour.
func TestReasonsAreDocumented(t *testing.T) {
	data, err := os.ReadFile("../docs/callers.md")
	require.NoError(t, err)
	var documented []string
	_, table, found := strings.Cut(string(data), "| reason | status | tried again |")
	require.True(t, found)
	table, _, _ = strings.Cut(table, "\n\n")
	for line := range strings.Lines(table) {
		cells := strings.Split(line, " | ")
		if strings.HasPrefix(line, "| `") {
			require.Len(t, cells, 5, line)
			documented = append(documented, strings.Join(cells[:3], " | "))
		}
	}
	var actual []string
	for r := encoder.NoReason; !strings.HasPrefix(r.String(), "Reason("); r++ {
		status := strconv.Itoa(statusOf(encoder.NotRun, r))
		if unknown := strconv.Itoa(statusOf(encoder.Unknown, r)); unknown != status {
			status += ", unknown " + unknown
		}
		again := "no"
		if r.Transient() {
			again = "yes"
		}
		actual = append(actual, "| `"+r.String()+"` | "+status+" | "+again)
	}
	require.Equal(t, actual, documented)
}
