package encoder

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTruncatedFrame guards against a frame that broke off being taken for a whole message or for the end of a stream.
func TestTruncatedFrame(t *testing.T) {
	for _, size := range []int{1, trustedLength + 1} {
		var frame bytes.Buffer
		require.NoError(t, Write(&frame, State{Encoded: make([]byte, size)}))
		m, err := Read(bytes.NewReader(frame.Bytes()))
		require.NoError(t, err)
		require.Len(t, m.(State).Encoded, size)
		for _, cut := range []int{frameHeader, frame.Len() - 1} {
			_, err := Read(bytes.NewReader(frame.Bytes()[:cut]))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}
