package emulator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/recorder"
	_ "hibiscusline/seeder"
)

// TestLogReads guards against wrong offsets: a reader that trusts them would apply a record twice or skip one.
func TestLogReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLog(LogConfig{Settings: LogSettings{RetainCount: rapid.IntRange(0, 8).Draw(t, "retain")}})
		total := rapid.IntRange(0, 30).Draw(t, "total")
		for i := range total {
			require.EqualValues(t, i+1, l.Append("s", fmt.Appendf(nil, "record %d", i+1)))
		}
		from := rapid.Uint64Range(1, 35).Draw(t, "from")
		limit := rapid.IntRange(1, 10).Draw(t, "limit")
		reply := l.Read("s", from, limit)
		require.EqualValues(t, total+1, reply.Next)
		require.Equal(t, min(max(from, reply.First), reply.Next), reply.Start)
		require.Len(t, reply.Records, min(limit, int(reply.Next-reply.Start)))
		for i, record := range reply.Records {
			require.Equal(t, fmt.Sprintf("record %d", reply.Start+uint64(i)), string(record))
		}
	})
}

// TestLogFaults guards against faults that don't act as documented: an append whose response is lost must leave its
// record in the log, and a refused append must not.
func TestLogFaults(t *testing.T) {
	l := NewLog(LogConfig{})
	server := httptest.NewServer(l)
	defer server.Close()
	post := func(path, body string) (int, error) {
		status, _, err := call(t, server.URL, path, body, nil)
		return status, err
	}
	control := func(body string, want int) {
		status, err := post("/control", body)
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
	control(`{"lose_answers":1}`, http.StatusOK)
	_, err := post("/streams/s/records", "one")
	require.Error(t, err)
	control(`{"down":"refuse"}`, http.StatusOK)
	status, err := post("/streams/s/records", "refused")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	control(`{"down":"sideways"}`, http.StatusBadRequest)
	control(`{"unknown":1}`, http.StatusBadRequest)
	control(`{"down":"none"}`, http.StatusOK)
	response, err := http.Get(server.URL + "/streams/s/records?from=1&limit=10")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var reply recorder.ReadReply
	require.NoError(t, cbor.Unmarshal(body, &reply))
	require.Equal(t, recorder.ReadReply{First: 1, Next: 2, Start: 1, Records: [][]byte{[]byte("one")}}, reply)
}
