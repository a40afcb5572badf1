package router

import (
	"context"
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
)

// pair answers the attempts at two members. The attempt at the first one hangs until it is released or cancelled.
type pair struct {
	release   chan encoder.Response
	second    encoder.Response
	sent      chan applier.MemberID
	cancelled chan struct{}
}

func (p *pair) Exchange(ctx context.Context, m applier.Member, _ encoder.Request, _ Body) (encoder.Response, ResponseBody) {
	p.sent <- m.ID
	answer := p.second
	if m.ID == 1 || m.Service == "desk" {
		select {
		case answer = <-p.release:
		case <-ctx.Done():
			close(p.cancelled)
			return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.PeerUnreachable}, nil
		}
	}
	if answer.Outcome != encoder.Answered {
		return answer, nil
	}
	return answer, io.NopCloser(strings.NewReader("done"))
}

// TestHedge guards against a request that waits for a member that hangs while others are idle, against second attempts of
// requests that must not or need not have one, and against an uncertain attempt that is reported as not run.
func TestHedge(t *testing.T) {
	good := encoder.Response{Outcome: encoder.Answered, Status: http.StatusOK, Length: 4}
	failed := encoder.Response{Outcome: encoder.Answered, Status: http.StatusInternalServerError, Length: 4}
	lost := encoder.Response{Outcome: encoder.Unknown, Reason: encoder.PeerUnreachable}
	poison := encoder.Response{Outcome: encoder.NotRun, Reason: encoder.Poison}
	for _, c := range []struct {
		name, service, method, body string
		latency                     time.Duration
		retries                     int
		second                      encoder.Response
		// released is the answer of the first member after the second one's, or none.
		released encoder.Response
		attempts int
		outcome  encoder.Outcome
		status   int
	}{
		{"second answers", "archive", "GET", "", time.Millisecond, 1, good, encoder.Response{}, 2, encoder.Answered, 200},
		{"second fails", "archive", "GET", "", time.Millisecond, 1, failed, good, 2, encoder.Answered, 200},
		{"both fail", "archive", "GET", "", time.Millisecond, 1, poison, lost, 2, encoder.Unknown, 504},
		{"no budget", "archive", "GET", "", time.Millisecond, 0, good, good, 1, encoder.Answered, 200},
		{"slow service", "archive", "GET", "", time.Second, 1, good, good, 1, encoder.Answered, 200},
		{"not repeatable", "archive", "POST", "", time.Millisecond, 1, good, good, 1, encoder.Answered, 200},
		{"with a body", "archive", "GET", "x", time.Millisecond, 1, good, good, 1, encoder.Answered, 200},
		{"one owner", "desk", "GET", "", time.Millisecond, 1, good, good, 1, encoder.Answered, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &pair{
				release: make(chan encoder.Response, 1), second: c.second, sent: make(chan applier.MemberID, 2), cancelled: make(chan struct{}),
			}
			rt := New(Config{
				State: testState(t), Exchanger: p, Chooser: firstUntried{}, Budget: &countedBudget{retries: c.retries},
				Backoff: func(int) time.Duration { return time.Millisecond }, DefaultTimeout: 20 * time.Second,
				Parents: func(string) (Parent, bool) { return Parent{}, false }, Metrics: metrics.NewSet(), ReplayLimit: 1 << 10,
			})
			for range hedgeSamples {
				rt.hedges.observe(c.service, c.latency)
			}
			request := httptest.NewRequestWithContext(t.Context(), c.method, "/items", strings.NewReader(c.body))
			request.Header.Set(HeaderService, c.service)
			if c.service == "desk" {
				request.Header.Set(HeaderKey, "bolt-1")
			}
			response, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				rt.ServeHTTP(response, request)
			}()
			for range c.attempts {
				<-p.sent
			}
			if c.released.Outcome != encoder.Unknown || c.released.Reason != encoder.NoReason {
				p.release <- c.released
			} else {
				<-p.cancelled
			}
			<-done
			require.Empty(t, p.sent)
			require.Equal(t, c.outcome.String(), response.Header().Get(HeaderOutcome))
			require.Equal(t, c.status, response.Code)
		})
	}
}

// TestHedgeDelay guards against a delay that is far from the latency that 95% of the attempts keep.
func TestHedgeDelay(t *testing.T) {
	h := &hedges{}
	for i := range 20000 {
		h.observe("archive", time.Duration(i*7919%1000)*time.Millisecond)
	}
	delay, useful := h.delay("archive", 10*time.Second)
	require.True(t, useful)
	require.InDelta(t, 950, delay.Milliseconds(), 100)
	_, useful = h.delay("archive", 3*time.Second)
	require.False(t, useful)
	_, useful = h.delay("other", 10*time.Second)
	require.False(t, useful)
}
