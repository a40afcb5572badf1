package experimenter

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCapacityPage guards against a page whose figures don't follow from the output that it quotes, because the page
// was edited by hand or the computation was changed without writing the page again.
func TestCapacityPage(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```json\n")
	require.True(t, found)
	output, _, found := strings.Cut(rest, "```")
	require.True(t, found)
	var again bytes.Buffer
	require.NoError(t, WriteCapacity(&again, []byte(output)))
	require.Equal(t, string(page), again.String())
	require.Error(t, WriteCapacity(&again, []byte("{}")))
}

// TestSlopeOf guards against a wrong line fit, from which all estimates of the page are computed.
func TestSlopeOf(t *testing.T) {
	points := []NodeCosts{{X: 1, CPUPercent: 5}, {X: 2, CPUPercent: 7}, {X: 4, CPUPercent: 11}}
	s := slopeOf(points, func(c NodeCosts) float64 { return c.CPUPercent })
	require.InDelta(t, 3, s.Base, 1e-9)
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.Equal(t, Slope{Base: 5}, slopeOf(points[:1], func(c NodeCosts) float64 { return c.CPUPercent }))
}
