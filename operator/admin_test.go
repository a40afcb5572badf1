package operator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadAll guards against a response without end that is cut at the limit and taken for a whole one.
func TestReadAll(t *testing.T) {
	data, err := readAll(strings.NewReader("four"), 4)
	require.NoError(t, err)
	require.Equal(t, "four", string(data))
	_, err = readAll(strings.NewReader("fives"), 4)
	require.ErrorContains(t, err, "longer than 4 bytes")
}
