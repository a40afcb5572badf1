package encoder

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTruncatedFrame guards against a truncated frame that is read as a whole message or as the end of the stream.
func TestTruncatedFrame(t *testing.T) {
	for _, size := range []int{1, maxPreallocatedBytes + 1} {
		var frame bytes.Buffer
		require.NoError(t, Write(&frame, State{Encoded: make([]byte, size)}))
		m, err := Read(bytes.NewReader(frame.Bytes()))
		require.NoError(t, err)
		require.Len(t, m.(State).Encoded, size)
		for _, cut := range []int{frameHeaderBytes, frame.Len() - 1} {
			_, err := Read(bytes.NewReader(frame.Bytes()[:cut]))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}
