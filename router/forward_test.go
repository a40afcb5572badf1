package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/validator"
)

// scriptedExchanger returns prepared responses to the attempts of one request, in order.
type scriptedExchanger struct {
	responses []encoder.Response
	members   []applier.MemberID
}

func (s *scriptedExchanger) Exchange(_ context.Context, a Attempt) (encoder.Response, ResponseBody) {
	response := s.responses[len(s.members)]
	s.members = append(s.members, a.Member.ID)
	if response.Outcome != encoder.Answered {
		return response, nil
	}
	return response, io.NopCloser(strings.NewReader("done"))
}

// firstUntried chooses the first member that was not tried.
type firstUntried struct{}

func (firstUntried) Pick(_ string, members []applier.Member, tried []applier.MemberID) (applier.MemberID, bool) {
	return members[min(len(tried), len(members)-1)].ID, true
}
func (firstUntried) Started(string, applier.MemberID)                                   {}
func (firstUntried) Finished(string, applier.MemberID, encoder.Response, time.Duration) {}

type unlimitedBudget struct{}

func (unlimitedBudget) Observe(bool) {}
func (unlimitedBudget) Retry() bool  { return true }

func newTestFollower(t *testing.T) *follower.Follower {
	f := &follower.Follower{}
	records := []applier.Record{applier.Propose{Author: "liis", Configuration: validator.Configuration{
		Services: map[string]validator.Service{
			"archive": {MaxRequestTime: validator.Duration(time.Second)},
			"desk":    {Keyed: true, InitialRanges: 1, MaxRequestTime: validator.Duration(time.Second)},
		},
		Ranks: map[string]validator.Rank{"order": {LatencyTarget: validator.Duration(time.Second)}},
		Rules: []validator.Rule{
			{Name: "archive", Service: "archive", Rank: "order"}, {Name: "desk", Service: "desk", Rank: "order"},
		},
		Policy: validator.Policy{Operators: []string{"liis"}},
	}}}
	for i := range 3 {
		service := "archive"
		if i == 2 {
			service = "desk"
		}
		records = append(records, applier.Join{Member: applier.Member{ID: applier.MemberID(i + 1), Service: service}})
	}
	b := follower.Batch{FirstRetained: 1, Next: applier.Offset(len(records) + 1), Start: 1}
	for i, r := range records {
		data, err := applier.Encode(applier.Envelope{ID: fmt.Sprint(i), Record: r})
		require.NoError(t, err)
		b.Records = append(b.Records, data)
	}
	_, err := f.Ingest(b)
	require.NoError(t, err)
	return f
}

// TestAttempts guards the outcome that a caller receives: a call with an attempt of unknown outcome never ends as not
// run, a non-repeatable request is never sent again after such an attempt, and a request that an overloaded member
// refused is sent to another one.
func TestAttempts(t *testing.T) {
	answered := encoder.Response{Outcome: encoder.Answered, Status: http.StatusOK, Length: 4}
	lost := encoder.Response{Outcome: encoder.Unknown, Reason: encoder.PeerUnreachable}
	overloaded := encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Overloaded}
	moving := encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Moving}
	poison := encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Poison}
	for _, c := range []struct {
		name, service, idempotency string
		responses                  []encoder.Response
		attempts                   int
		outcome                    encoder.Outcome
	}{
		{"answered", "archive", "", []encoder.Response{answered}, 1, encoder.Answered},
		{"overload elsewhere", "archive", "", []encoder.Response{overloaded, answered}, 2, encoder.Answered},
		{"overload of the owner", "desk", "", []encoder.Response{overloaded}, 1, encoder.NotRun},
		{"moving", "desk", "order-1", []encoder.Response{moving, answered}, 2, encoder.Answered},
		{"lost, repeatable", "desk", "", []encoder.Response{lost, answered}, 2, encoder.Answered},
		{"lost, not repeatable", "desk", "order-1", []encoder.Response{lost}, 1, encoder.Unknown},
		{"lost and refused", "desk", "", []encoder.Response{lost, poison}, 2, encoder.Unknown},
		{"refused", "desk", "order-1", []encoder.Response{poison}, 1, encoder.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedExchanger{responses: c.responses}
			rt := New(Config{
				Follower: newTestFollower(t), Exchanger: s, Chooser: firstUntried{}, RetryBudget: unlimitedBudget{},
				Backoff: func(int) time.Duration { return time.Millisecond }, DefaultTimeout: 10 * time.Second,
				LookUpParent: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(),
			})
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/items", nil)
			request.Header.Set(HeaderService, c.service)
			if c.service == "desk" {
				request.Header.Set(HeaderKey, "bolt-1")
			}
			if c.idempotency != "" {
				request.Header.Set(HeaderIdempotencyKey, c.idempotency)
			}
			response := httptest.NewRecorder()
			rt.ServeHTTP(response, request)
			require.Equal(t, c.outcome.String(), response.Header().Get(HeaderOutcome), response.Body.String())
			require.Len(t, s.members, c.attempts)
		})
	}
}

// TestUnknownServiceWhileBehind guards against a final refusal of a service that records which this process lacks may have added.
func TestUnknownServiceWhileBehind(t *testing.T) {
	f := newTestFollower(t)
	var announced applier.Offset
	rt := New(Config{
		Follower: f, Metrics: metrics.NewSet(), DefaultTimeout: time.Second, Announced: func() applier.Offset { return announced },
	})
	for _, c := range []struct {
		announced applier.Offset
		status    int
	}{
		{0, http.StatusNotFound}, {f.Applied(), http.StatusNotFound}, {f.Applied() + 1, http.StatusServiceUnavailable},
	} {
		announced = c.announced
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/items", nil)
		request.Header.Set(HeaderService, "new")
		response := httptest.NewRecorder()
		rt.ServeHTTP(response, request)
		require.Equal(t, c.status, response.Code)
		require.Equal(t, encoder.NotRun.String(), response.Header().Get(HeaderOutcome))
	}
}

// countingBudget allows a number of retries and counts the successful first attempts.
type countingBudget struct{ retries, successes int }

func (b *countingBudget) Observe(success bool) {
	if success {
		b.successes++
	}
}

func (b *countingBudget) Retry() bool {
	b.retries--
	return b.retries >= 0
}

// TestErrorResponses guards against a caller that receives the error response of one failing server while others are
// healthy, against error responses that are lost or replaced when no retry is allowed, and against failures that add
// to the retry budget.
func TestErrorResponses(t *testing.T) {
	responseWith := func(status int) encoder.Response {
		return encoder.Response{Outcome: encoder.Answered, Status: status, Length: 4}
	}
	for _, c := range []struct {
		name, service, method string
		retries               int
		statuses              []int
		status, successes     int
	}{
		{"another member", "archive", "GET", 1, []int{500, 200}, 200, 0},
		{"no budget", "archive", "GET", 0, []int{500}, 500, 0},
		{"shed without budget", "archive", "GET", 0, []int{503}, 503, 0},
		{"all fail", "archive", "GET", 1, []int{502, 504}, 504, 0},
		{"the request's own fault", "archive", "GET", 1, []int{404}, 404, 1},
		{"not supported", "archive", "GET", 1, []int{501}, 501, 1},
		{"not repeatable", "archive", "POST", 1, []int{500}, 500, 0},
		{"one owner", "desk", "GET", 1, []int{500}, 500, 0},
		{"good", "archive", "GET", 1, []int{200}, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, b := &scriptedExchanger{}, &countingBudget{retries: c.retries}
			for _, status := range c.statuses {
				s.responses = append(s.responses, responseWith(status))
			}
			rt := New(Config{
				Follower: newTestFollower(t), Exchanger: s, Chooser: firstUntried{}, RetryBudget: b,
				Backoff: func(int) time.Duration { return time.Millisecond }, DefaultTimeout: 10 * time.Second,
				LookUpParent: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(),
			})
			request := httptest.NewRequestWithContext(t.Context(), c.method, "/items", nil)
			request.Header.Set(HeaderService, c.service)
			if c.service == "desk" {
				request.Header.Set(HeaderKey, "bolt-1")
			}
			response := httptest.NewRecorder()
			rt.ServeHTTP(response, request)
			require.Equal(t, encoder.Answered.String(), response.Header().Get(HeaderOutcome))
			require.Equal(t, c.status, response.Code)
			require.Equal(t, "done", response.Body.String())
			require.Len(t, s.members, len(c.statuses))
			require.Equal(t, c.successes, b.successes)
		})
	}
}

// TestRetryTooLate guards against a response without a reason when the deadline passes before an error response is
// retried.
func TestRetryTooLate(t *testing.T) {
	s := &scriptedExchanger{responses: []encoder.Response{{
		Outcome: encoder.Answered, Status: http.StatusInternalServerError, Length: 4,
	}}}
	rt := New(Config{
		Follower: newTestFollower(t), Exchanger: s, Chooser: firstUntried{}, RetryBudget: unlimitedBudget{},
		Backoff: func(int) time.Duration { return time.Minute }, DefaultTimeout: 100 * time.Millisecond,
		LookUpParent: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(),
	})
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/items", nil)
	request.Header.Set(HeaderService, "archive")
	response := httptest.NewRecorder()
	rt.ServeHTTP(response, request)
	require.Equal(t, encoder.Unknown.String(), response.Header().Get(HeaderOutcome))
	require.Equal(t, encoder.DeadlineExceeded.String(), response.Header().Get(HeaderReason))
}

// disconnectingExchanger is an Exchanger whose caller disconnects while the member works.
type disconnectingExchanger struct{ disconnect func() }

func (d disconnectingExchanger) Exchange(ctx context.Context, _ Attempt) (encoder.Response, ResponseBody) {
	d.disconnect()
	<-ctx.Done()
	return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.PeerUnreachable}, nil
}

// reasonRecorder records the reason that the Chooser received for the last attempt.
type reasonRecorder struct {
	firstUntried
	reason encoder.Reason
}

func (rr *reasonRecorder) Finished(_ string, _ applier.MemberID, r encoder.Response, _ time.Duration) {
	rr.reason = r.Reason
}

// TestCallerDisconnects guards against members that are charged with failures because callers disconnect.
func TestCallerDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	chooser := &reasonRecorder{}
	rt := New(Config{
		Follower: newTestFollower(t), Exchanger: disconnectingExchanger{disconnect: cancel}, Chooser: chooser,
		RetryBudget: unlimitedBudget{},
		Backoff:     func(int) time.Duration { return time.Millisecond }, DefaultTimeout: 10 * time.Second,
		LookUpParent: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(),
	})
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/items", nil)
	request.Header.Set(HeaderService, "archive")
	rt.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, encoder.Cancelled, chooser.reason)
}
