package generator

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// faultyRouter forwards requests to a backend server and injects the fault that the request's service names.
type faultyRouter struct {
	backend  http.Handler
	mutex    sync.Mutex
	attempts map[string]int
	received map[string]int
}

func (f *faultyRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	f.received[r.Header.Get(emulator.HeaderRequestID)]++
	f.attempts[r.Header.Get(emulator.HeaderIdempotencyKey)]++
	attempts := f.attempts[r.Header.Get(emulator.HeaderIdempotencyKey)]
	f.mutex.Unlock()
	w.Header().Set(headerOutcome, "answered")
	switch r.Header.Get(headerService) {
	case "crossing":
		r.Header.Set(emulator.HeaderRequestID, strings.Repeat("f", 20))
	case "truncating":
		r.URL.Path = "/size/50"
	case "aborting":
		w.Write([]byte("{"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case "cutting":
		panic(http.ErrAbortHandler)
	case "refusing":
		if attempts == 1 {
			w.Header().Set(headerOutcome, "not_run")
			w.Header().Set(headerReason, "moving")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	f.backend.ServeHTTP(w, r)
}

// TestRun guards against faults of the router that the generator doesn't detect, against false reports for a correct
// router, and against requests that the HTTP client resends by itself.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	backend := emulator.NewServer(emulator.ServerConfig{Service: "s", Name: "a"})
	router := &faultyRouter{backend: backend.Handler(), attempts: map[string]int{}, received: map[string]int{}}
	server := httptest.NewServer(router)
	defer server.Close()
	entry := netip.MustParseAddrPort(server.Listener.Addr().String())
	stream := func(service, method, path string) Stream {
		return Stream{
			Name: service + path, Rank: service, Rate: 100, Service: service, Method: method, Path: path, KeyCount: 10, ZipfExponent: 0.9,
			NonRepeatable: method == "POST", Timeout: validator.Duration(time.Minute),
		}
	}
	report, err := Run(t.Context(), Config{
		Entries: []netip.AddrPort{entry, entry}, Duration: validator.Duration(100 * time.Millisecond), Seed: 1,
		Arrivals: Fixed, Retries: 1,
		Streams: []Stream{
			stream("correct", "GET", "/bolts?of=batting"), stream("correct", "POST", "/echo"),
			stream("correct", "GET", "/size/100"), stream("crossing", "GET", "/bolts"),
			stream("crossing", "GET", "/size/100"), stream("truncating", "GET", "/size/100"),
			stream("aborting", "GET", "/bolts"), stream("cutting", "GET", "/bolts"), stream("cutting", "POST", "/orders"),
			stream("refusing", "POST", "/bolts"),
		},
	})
	require.NoError(t, err)
	const sent = 9
	for _, s := range report.Streams {
		want := Counts{Sent: sent, Answered: sent, WithinTarget: sent}
		switch s.Rank {
		case "crossing":
			want.Mismatched = sent
		case "truncating":
			want.Truncated = sent
		case "aborting":
			want.Unknown, want.Answered, want.WithinTarget, want.Aborted = sent, 0, 0, sent
		case "cutting":
			want.Unknown, want.Answered, want.WithinTarget = sent, 0, 0
			if s.Name == "cutting/orders" {
				want.Retried = sent
			}
		case "refusing":
			want.Retried, want.AnsweredByRetry = sent, sent
			require.Equal(t, map[string]uint64{"moving": sent}, s.Reasons)
		}
		s.Statuses, s.Reasons, s.Errors = nil, nil, nil
		require.Equal(t, want, s.Counts, s.Name)
	}
	require.Len(t, report.NotRunIDs, sent)
	violations := emulator.CheckInvariants(backend.Ledger().Report().Executions, report.NotRunIDs)
	require.True(t, violations.Empty(), "%+v", violations)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for id, times := range router.received {
		require.Equal(t, 1, times, id)
	}
}
