package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hibiscusline/hasher"
	_ "hibiscusline/seeder"
)

func call(t *testing.T, base, path, body string, headers map[string]string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestServerCrash guards against a poison request that doesn't crash its server, and against a server that doesn't
// restart, stops announcing itself or loses its ledger afterwards.
func TestServerCrash(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	announced := make(chan Announcement, 100)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			announced <- a
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer daemon.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	base := "http://" + listener.Addr().String()
	s := NewServer(ServerConfig{Service: "orders", Name: "a", Router: netip.MustParseAddrPort(daemon.Listener.Addr().String())})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx, listener) }()
	require.Equal(t, Announcement{
		Service: "orders", Address: listener.Addr().String(), Slots: 12, MaxConnections: 130, State: "active",
	}, <-announced)
	_, _, err = call(t, base, "/poison", "x", map[string]string{HeaderRequestID: "1"})
	require.Error(t, err)
	for s.Counts().Announcements < 2 {
		<-announced
	}
	status, body, err := call(t, base, "/bolts", "x", map[string]string{HeaderRequestID: "2"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"request_id":"2"`)
	s.Drain()
	for a := range announced {
		if a.State == "draining" {
			break
		}
	}
	report := s.Ledger().Report()
	require.Len(t, report.Executions, 2)
	require.Equal(t, Crashed, report.Executions[0].Status)
	require.Equal(t, Completed, report.Executions[1].Status)
	cancel()
	require.NoError(t, <-done)
}

// TestServerRefusals guards against a rejected request that runs nevertheless, and against a frozen server that
// responds.
func TestServerRefusals(t *testing.T) {
	s := NewServer(ServerConfig{Service: "orders", Name: "a", Fenced: true, Settings: ServerSettings{Shed: true}})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	expectError := func(status int, reason Failure, headers map[string]string) {
		got, body, err := call(t, server.URL, "/bolts", "x", headers)
		require.NoError(t, err)
		require.Equal(t, status, got, body)
		var response ErrorResponse
		require.NoError(t, json.Unmarshal([]byte(body), &response))
		require.Equal(t, reason, response.Reason)
	}
	full := hasher.Full().String()
	status, _, err := call(t, server.URL, "/bolts", "x", map[string]string{HeaderRange: full, HeaderEpoch: "8"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	expectError(http.StatusConflict, StaleEpoch, map[string]string{HeaderRange: full, HeaderEpoch: "7"})
	expectError(http.StatusBadRequest, BadRequest, map[string]string{HeaderRange: "0-1", HeaderEpoch: "9"})
	expectError(http.StatusGatewayTimeout, DeadlinePassed, map[string]string{HeaderDeadline: "0"})
	for range DefaultSlots {
		s.slots <- struct{}{}
	}
	expectError(http.StatusServiceUnavailable, Shed, nil)
	for range DefaultSlots {
		<-s.slots
	}
	require.Len(t, s.Ledger().Report().Executions, 1)
	s.Freeze()
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/health", nil)
	require.NoError(t, err)
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	s.Thaw()
	status, body, err := call(t, server.URL, "/size/7", "", map[string]string{HeaderRequestID: "ab"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ab\nab\na", body)
}

// TestFence guards against a cache of admitted grants that decides differently from a search of all grants.
func TestFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Fence
		var seen []Grant
		for range rapid.IntRange(1, 40).Draw(t, "grants") {
			low := rapid.Uint64Range(0, 7).Draw(t, "low")
			high := rapid.Uint64Range(low, 7).Draw(t, "high")
			g := Grant{
				Range: hasher.Range{Low: hasher.Position(low), High: hasher.Position(high)},
				Epoch: rapid.Uint64Range(1, 5).Draw(t, "epoch"),
			}
			want := true
			for _, other := range seen {
				overlap := other.Range.Low <= g.Range.High && g.Range.Low <= other.Range.High
				want = want && (!overlap || other.Epoch <= g.Epoch)
			}
			require.Equal(t, want, f.Admit(g))
			if want {
				seen = append(seen, g)
			}
			parsed, err := ParseGrant(g.Range.String(), "5")
			require.NoError(t, err)
			require.Equal(t, g.Range, parsed.Range)
		}
	})
}

// TestCheckInvariants guards against a check that misses a violation, or reports one for a correct handover.
func TestCheckInvariants(t *testing.T) {
	run := func(server, id string, epoch uint64, start, end time.Duration) Execution {
		return Execution{
			Service: "s", Server: server, Key: "k", Range: "r", RequestID: id, IdempotencyKey: "key " + id,
			Epoch: epoch, Start: start, End: end, Status: Completed,
		}
	}
	clean := []Execution{run("a", "1", 1, 0, 10), run("a", "2", 1, 5, 8), run("b", "3", 2, 10, 12)}
	require.True(t, CheckInvariants(clean, []string{"4"}).Empty())
	v := CheckInvariants(append(clean, run("c", "4", 1, 11, 13)), []string{"4"})
	require.Len(t, v.Overlaps, 1)
	require.Len(t, v.Inversions, 1)
	require.Len(t, v.NotRunButRan, 1)
	require.Empty(t, v.Duplicates)
	duplicate := run("b", "5", 2, 20, 21)
	duplicate.IdempotencyKey = "key 1"
	v = CheckInvariants(append(clean, duplicate), nil)
	require.Len(t, v.Duplicates, 1)
	require.Empty(t, v.Overlaps)
	unfinished := run("a", "6", 1, 0, 0)
	unfinished.Status = Running
	require.Len(t, CheckInvariants(append(clean, unfinished), nil).Overlaps, 1)
}
