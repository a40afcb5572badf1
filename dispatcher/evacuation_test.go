package dispatcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/hasher"
	"hibiscusline/timer"
	"hibiscusline/validator"
)

type unlimitedLease struct{}

func (unlimitedLease) ValidUntil() time.Duration { return timer.Now() + time.Hour }

// responseSink keeps the head of a response.
type responseSink struct{ encoder.Response }

func (s *responseSink) Respond(r encoder.Response) error {
	s.Response = r
	return nil
}
func (*responseSink) Write(data []byte) (int, error) { return len(data), nil }

// evacuationFixture is a dispatcher of the keyed service desk, or of the service archive, in zone east. The service has
// another member in zone west.
type evacuationFixture struct {
	*testing.T
	*Dispatcher
	state   *follower.Follower
	service string
}

func newEvacuationFixture(t *testing.T, service string) *evacuationFixture {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(hold) })
	f := &evacuationFixture{T: t, state: &follower.Follower{}, service: service}
	f.apply(applier.Propose{Author: "liis", Configuration: validator.Configuration{
		Services: map[string]validator.Service{
			"archive": {MaxRequestTime: validator.Duration(time.Minute)},
			"desk":    {Keyed: true, InitialRanges: 1, MaxRequestTime: validator.Duration(time.Minute)},
		},
		Ranks: map[string]validator.Rank{"order": {LatencyTarget: validator.Duration(time.Second)}},
		Rules: []validator.Rule{
			{Name: "archive", Service: "archive", Rank: "order"}, {Name: "desk", Service: "desk", Rank: "order"},
		},
		Policy: validator.Policy{Operators: []string{"liis"}},
	}})
	f.apply(applier.Join{Member: applier.Member{ID: 1, Service: service, Zone: "east"}})
	f.apply(applier.Join{Member: applier.Member{ID: 2, Service: service, Zone: "west"}})
	f.Dispatcher = New(Config{
		State: f.state, Lease: unlimitedLease{}, Self: func() applier.MemberID { return 1 }, Zone: "east", Service: service,
		Admission: admitter.Config{
			Slots: 1, QueueLimit: 10, Ranks: []admitter.Rank{{Name: "order", Target: time.Second}},
		},
		Connections: 10, Metrics: metrics.NewSet(),
	})
	f.SetBackend(netip.MustParseAddrPort(server.Listener.Addr().String()), 1, 10)
	return f
}

func (f *evacuationFixture) apply(r applier.Record) {
	next := f.state.Applied() + 1
	data, err := applier.Encode(applier.Envelope{ID: fmt.Sprint(next), Record: r})
	require.NoError(f, err)
	_, err = f.state.Ingest(follower.Batch{FirstRetained: 1, Next: next + 1, Start: next, Records: [][]byte{data}})
	require.NoError(f, err)
	if f.Dispatcher != nil {
		f.Refresh()
	}
}

func (f *evacuationFixture) send(path string) encoder.Response {
	head := encoder.Request{
		Service: f.service, Method: http.MethodGet, Path: path, Rank: "order", Remaining: 20 * time.Second, Target: 1,
	}
	if f.service == "desk" {
		head.Keyed, head.Key, head.Position = true, "bolt", hasher.KeyPosition("bolt")
	}
	sink := &responseSink{}
	require.NoError(f, f.Serve(f.Context(), head, strings.NewReader(""), sink))
	return sink.Response
}

func (f *evacuationFixture) requireServed() {
	f.Helper()
	require.Equal(f, encoder.Answered, f.send("/").Outcome)
}

func (f *evacuationFixture) requireRefused() {
	f.Helper()
	r := f.send("/")
	require.Equal(f, encoder.NotRun, r.Outcome)
	require.Equal(f, encoder.Evacuated, r.Reason)
}

// TestEvacuatedBackend guards against a backend server in an evacuated zone that gets requests: without a key at once,
// with one after the grace, and at once if its process was started after the evacuation.
func TestEvacuatedBackend(t *testing.T) {
	unkeyed := newEvacuationFixture(t, "archive")
	unkeyed.requireServed()
	unkeyed.apply(applier.Evacuate{Zone: "west", Operator: "liis"})
	unkeyed.requireServed()
	unkeyed.apply(applier.Evacuate{Zone: "east", Operator: "liis"})
	unkeyed.requireRefused()
	unkeyed.apply(applier.Restore{Zone: "east", Operator: "liis"})
	unkeyed.requireServed()

	keyed := newEvacuationFixture(t, "desk")
	keyed.requireServed()
	for range 2 {
		keyed.apply(applier.Evacuate{Zone: "east", Operator: "liis"})
		keyed.requireServed()
		require.InDelta(t, evacuationGrace, keyed.evacuation.until-timer.Now(), float64(time.Second))
		keyed.evacuation.until = timer.Now()
		keyed.requireRefused()
		keyed.apply(applier.Restore{Zone: "east", Operator: "liis"})
		keyed.requireServed()
	}
	keyed.apply(applier.Evacuate{Zone: "west", Operator: "liis"})
	keyed.apply(applier.Evacuate{Zone: "east", Operator: "liis"})
	keyed.apply(applier.Evict{Member: 1, Operator: "liis"})
	keyed.apply(applier.Evict{Member: 2, Operator: "liis"})
	keyed.config.Self = func() applier.MemberID { return 3 }
	keyed.apply(applier.Join{Member: applier.Member{ID: 3, Service: "desk", Zone: "east"}})
	require.True(t, keyed.evacuated(true))
}

// TestEvacuationWhileQueued guards against a request that waited for a slot when its zone was evacuated and is then run
// there, and against the end of the one that ran.
func TestEvacuationWhileQueued(t *testing.T) {
	f := newEvacuationFixture(t, "archive")
	responses := make(chan encoder.Response, 2)
	go func() { responses <- f.send("/hold") }()
	require.Eventually(t, func() bool { return f.Load().Running == 1 }, 5*time.Second, time.Millisecond)
	go func() { responses <- f.send("/") }()
	require.Eventually(t, func() bool { return f.Load().Queued == 1 }, 5*time.Second, time.Millisecond)
	f.apply(applier.Evacuate{Zone: "east", Operator: "liis"})
	require.Empty(t, responses)
	f.SetBackend(f.address, 2, 10)
	waiting := <-responses
	require.Equal(t, encoder.NotRun, waiting.Outcome)
	require.Equal(t, encoder.Evacuated, waiting.Reason)
	require.Equal(t, 1, f.Load().Running)
}
