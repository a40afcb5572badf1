package leaser

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeMessage guards against lease messages that make the decoder panic, or that change on a second encoding.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		Renew{Version: 1, Sequence: 2},
		Promise{Sequence: 3},
		Refusal{Version: 1, Sequence: 2, Reason: Unwilling},
		AttestRequest{Member: 1, Version: 2},
		Attestation{Member: 1, Version: 2},
		ReplaceRequest{},
	} {
		data, err := EncodeMessage(m)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte{0xa1, 0x01, 0x18, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		encoded, err := EncodeMessage(m)
		require.NoError(t, err)
		again, err := DecodeMessage(encoded)
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}
