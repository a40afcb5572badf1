package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
)

// ingest applies further records to a follower.
func ingest(t *testing.T, f *follower.Follower, records ...applier.Record) {
	for _, r := range records {
		next := f.Applied() + 1
		data, err := applier.Encode(applier.Envelope{ID: fmt.Sprint("later ", next), Record: r})
		require.NoError(t, err)
		_, err = f.Ingest(follower.Batch{FirstRetained: 1, Next: next + 1, Start: next, Records: [][]byte{data}})
		require.NoError(t, err)
	}
}

// TestEvacuatedZones guards against an entry that sends requests without a key to servers of an evacuated zone, against
// requests that wait for their deadlines although all zones of their service are evacuated, and against a key whose owner
// isn't asked while it can still move.
func TestEvacuatedZones(t *testing.T) {
	f := newTestFollower(t)
	// Members 1 and 2 of the archive and 3 of the desk are in a zone without a name.
	ingest(t, f,
		applier.Join{Member: applier.Member{ID: 4, Service: "archive", Zone: "east"}},
		applier.Join{Member: applier.Member{ID: 5, Service: "desk", Zone: "east"}})
	answered := encoder.Response{Outcome: encoder.Answered, Status: http.StatusOK, Length: 4}
	refused := encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Evacuated}
	send := func(service string, responses ...encoder.Response) (*httptest.ResponseRecorder, []applier.MemberID) {
		s := &scriptedExchanger{responses: responses}
		rt := New(Config{
			Follower: f, Exchanger: s, Chooser: firstUntried{}, RetryBudget: unlimitedBudget{},
			Backoff: func(int) time.Duration { return time.Millisecond }, DefaultTimeout: 10 * time.Second,
			LookUpParent: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(),
		})
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/items", nil)
		request.Header.Set(HeaderService, service)
		if service == "desk" {
			request.Header.Set(HeaderKey, "bolt-1")
		}
		response := httptest.NewRecorder()
		started := time.Now()
		rt.ServeHTTP(response, request)
		require.Less(t, time.Since(started), 5*time.Second, "waited for the deadline")
		return response, s.members
	}
	_, members := send("archive", answered)
	require.Equal(t, []applier.MemberID{1}, members)
	_, members = send("archive", refused, answered)
	require.Equal(t, []applier.MemberID{1, 2}, members, "an entry that knows of no evacuation")

	ingest(t, f, applier.Join{Member: applier.Member{ID: 6, Service: "archive", Zone: "west"}}, applier.Evacuate{Zone: "east", Operator: "liis"},
		applier.Drain{Member: 1}, applier.Drain{Member: 2})
	_, members = send("archive", answered)
	require.Equal(t, []applier.MemberID{6}, members)

	ingest(t, f, applier.Evacuate{Zone: "west", Operator: "liis"})
	response, members := send("archive")
	require.Empty(t, members)
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Equal(t, encoder.NotRun.String(), response.Header().Get(HeaderOutcome))
	require.Equal(t, encoder.Evacuated.String(), response.Header().Get(HeaderReason))
	require.Equal(t, "1", response.Header().Get("Retry-After"))

	ingest(t, f, applier.Leave{Member: 1}, applier.Move{
		Service: "desk", From: 3, To: 5, Ranges: nil, // rejected: the key stays in the zone without a name
	})
	_, members = send("desk", refused, answered)
	require.Equal(t, []applier.MemberID{3, 3}, members)

	ingest(t, f, applier.Restore{Zone: "east", Operator: "liis"}, applier.Drain{Member: 3}, applier.Evict{Member: 3, Operator: "liis"})
	_, members = send("desk", answered)
	require.Equal(t, []applier.MemberID{5}, members)
	ingest(t, f, applier.Join{Member: applier.Member{ID: 7, Service: "desk", Zone: "west"}}, applier.Evacuate{Zone: "east", Operator: "liis"})
	response, members = send("desk")
	require.Empty(t, members)
	require.Equal(t, encoder.Evacuated.String(), response.Header().Get(HeaderReason))

	ingest(t, f, applier.Restore{Zone: "west", Operator: "liis"})
	_, members = send("desk", refused, answered)
	require.Equal(t, []applier.MemberID{5, 5}, members, "the key can move to the west")
}
