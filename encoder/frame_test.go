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

// TestResponseStatus guards against an answer of another process whose status isn't one of HTTP, which would be passed on or
// end the handling of the request with a panic.
func TestResponseStatus(t *testing.T) {
	for status, valid := range map[int]bool{-1: false, 0: false, 99: false, 101: false, 200: true, 599: true, 600: false, 999: false} {
		var frame bytes.Buffer
		require.NoError(t, Write(&frame, Response{Outcome: Answered, Status: status}))
		_, err := Read(&frame)
		require.Equal(t, valid, err == nil, "status %d: %v", status, err)
	}
	var frame bytes.Buffer
	require.NoError(t, Write(&frame, Response{Outcome: NotRun}))
	_, err := Read(&frame)
	require.NoError(t, err)
}

// TestResponseFieldNames guards against an answer of another process, perhaps of an earlier version, in which the name of a
// field holds a blank: the field may have been meant to delimit the body.
func TestResponseFieldNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"X-Y": true, "x_y~": true, "": false, "X Y": false, "Content-Length ": false, " X": false, "X\t": false, "X\x00": false, "X:": false,
	} {
		var frame bytes.Buffer
		require.NoError(t, Write(&frame, Response{Outcome: Answered, Status: 200, Header: map[string][]string{name: {"1"}}}))
		_, err := Read(&frame)
		require.Equal(t, valid, err == nil, "name %q: %v", name, err)
	}
}
