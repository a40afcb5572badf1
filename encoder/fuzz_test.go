package encoder

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/deduper"
	"hibiscusline/hasher"
)

// FuzzRead guards against frames that make Read panic, and against messages that Read accepts but Write can't encode
// again.
func FuzzRead(f *testing.F) {
	for _, m := range []Message{
		Request{
			Service: "s", Key: "k", Keyed: true, Position: 7, Method: "GET", Path: "/",
			Header: map[string][]string{"A": {"b", "c"}}, Remaining: time.Second, Length: -1,
		},
		Response{Outcome: Answered, Status: 200, Length: 3, Load: Load{Running: 1, Rate: 2.5, Offered: 3.5}},
		Fetch{From: math.MaxUint64},
		Records{Start: 1, Records: [][]byte{{1}, {}}, Trimmed: true},
		State{Encoded: []byte{1}},
		ReplicateRows{Owner: 1, Rows: []deduper.Row{{}}, Complete: Complete},
		RowsQuery{Owner: 1, Range: hasher.Full()},
		Rows{Complete: true},
		Offer{Service: "stock"},
		Transfer{From: 1, Ranges: []hasher.Range{{High: 1}}, Epoch: 1},
		Ack{Refused: "no"},
		StateQuery{},
	} {
		var buffer bytes.Buffer
		require.NoError(f, Write(&buffer, m))
		f.Add(buffer.Bytes())
		f.Add(buffer.Bytes()[:buffer.Len()-1])
	}
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0, 0})
	f.Add(append([]byte{1, 0, 0, 0, 9}, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var first, second bytes.Buffer
		require.NoError(t, Write(&first, m))
		again, err := Read(bytes.NewReader(first.Bytes()))
		require.NoError(t, err)
		require.NoError(t, Write(&second, again))
		// The order of map keys in the encoded form is not deterministic.
		require.Equal(t, first.Len(), second.Len())
	})
}

// FuzzDecodeDatagram guards against datagrams that make the decoder panic, and against datagrams that it accepts but
// that can't be encoded again.
func FuzzDecodeDatagram(f *testing.F) {
	for _, d := range []Datagram{{}, {From: 1, Applied: math.MaxUint64, Lease: []byte{1, 2}, Load: &Load{Rate: math.Inf(1)}}} {
		data, err := EncodeDatagram(d)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDatagram(data)
		if err != nil {
			return
		}
		encoded, err := EncodeDatagram(d)
		require.NoError(t, err)
		again, err := DecodeDatagram(encoded)
		require.NoError(t, err)
		require.True(t, bytes.Equal(d.Lease, again.Lease))
		require.Equal(t, d.From, again.From)
		require.Equal(t, d.Applied, again.Applied)
	})
}
