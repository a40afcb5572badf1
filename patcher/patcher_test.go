package patcher_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/patcher"
)

// document returns a document with many similar entries, one of which has another value.
func document(version, changed, value int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version %08x\n", version)
	for i := range 1600 {
		v := 250 + i%7
		if i == changed {
			v = value
		}
		fmt.Fprintf(&b, "route r%d host h%d.example prefix /p%x/ kind idempotent timeout %dms service s%d attempts 2 priority %d\n", i, i%9, i*2654435761%99991, v, i%3, i%4)
	}
	return []byte(b.String())
}

// TestPatch guards against a patch from which another document results, and against one that is nearly as large as the
// document although little has changed.
func TestPatch(t *testing.T) {
	base, next := document(7, 0, 1), document(8, 900, 777)
	patch, err := patcher.Encode(base, next)
	require.NoError(t, err)
	got, err := patcher.Decode(base, patch, 1<<20)
	require.NoError(t, err)
	require.True(t, bytes.Equal(next, got))
	require.Less(t, len(patch), 1<<10)
	whole, err := patcher.Encode(nil, next)
	require.NoError(t, err)
	got, err = patcher.Decode(nil, whole, 1<<20)
	require.NoError(t, err)
	require.True(t, bytes.Equal(next, got))
	require.Less(t, len(whole), len(next)/4)
}

// TestOddPatch guards against a document that results from a patch of another base, and against a small patch that fills
// the memory.
func TestOddPatch(t *testing.T) {
	base, next := document(7, 0, 1), document(8, 900, 777)
	patch, err := patcher.Encode(base, next)
	require.NoError(t, err)
	for name, other := range map[string][]byte{"other": document(6, 5, 2), "none": nil} {
		_, err = patcher.Decode(other, patch, 1<<20)
		require.Error(t, err, name)
	}
	_, err = patcher.Decode(base, patch[:len(patch)/2], 1<<20)
	require.Error(t, err)
	_, err = patcher.Decode(base, []byte("no patch"), 1<<20)
	require.Error(t, err)
	bomb, err := patcher.Encode(nil, make([]byte, 64<<20))
	require.NoError(t, err)
	require.Less(t, len(bomb), 64<<10)
	_, err = patcher.Decode(nil, bomb, 8<<20)
	require.Error(t, err)
}

// FuzzDecode guards against a panic on the bytes of another process.
func FuzzDecode(f *testing.F) {
	base := []byte("version 1 route a route b")
	patch, err := patcher.Encode(base, []byte("version 2 route a route c"))
	require.NoError(f, err)
	f.Add(patch)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = patcher.Decode(base, data, 1<<16) // Only a panic is a failure.
	})
}
