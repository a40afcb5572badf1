package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/executor"
	"hibiscusline/matcher"
	"hibiscusline/registrar"
)

// TestColdRefusals guards against requests that go, one hop each, to a cold server that has just refused one as urgent, and
// against more urgent ones that are refused for it without being asked for.
func TestColdRefusals(t *testing.T) {
	const now = time.Minute
	c := coldServers{}
	cold := executor.Load{Slots: 9, ColdFor: 2 * time.Second, ColdRoom: -3}
	c.record("a", now, 2, executor.Result{
		Outcome: executor.NotRun, Reason: executor.DeadlineTooClose, RetryAfter: 700 * time.Millisecond, Load: cold,
	})
	e, refused := c.lookUp("a", now+time.Millisecond, 2)
	require.True(t, refused)
	r := e.result(now + time.Millisecond)
	require.Equal(t, executor.NotRun, r.Outcome)
	require.Equal(t, 699*time.Millisecond, r.RetryAfter, "by the rate and the backlog")
	_, refused = c.lookUp("a", now, 3)
	require.True(t, refused, "a less urgent one")
	_, refused = c.lookUp("a", now, 1)
	require.False(t, refused, "a more urgent one")
	_, refused = c.lookUp("a", now+maxColdRefusal, 2)
	require.False(t, refused, "the member is asked again")
	c.record("a", now, 2, executor.Result{Outcome: executor.Answered, Load: executor.Load{Slots: 9}})
	require.Empty(t, c, "warm")
}

// TestColdRoom guards against entries that together send a cold server a multiple of its rate because each believes the
// reported room alone, and against entries that never ask again.
func TestColdRoom(t *testing.T) {
	f := New(Config{Member: "entry"})
	p := &forwardedRequest{forwarder: f, service: f.service("stock")}
	p.match.Service = matcher.Service{Name: "stock", ColdTime: 3 * time.Second, ColdRate: 16}
	m := registrar.Member{Name: "a"}
	const now = time.Minute
	p.service.ages["a"] = knownServer{since: now - time.Hour}
	require.Zero(t, p.coldWait(now, m, 10), "a server that has been there for long is warm")
	p.service.ages["a"] = knownServer{since: now}
	require.Positive(t, p.coldWait(now, m, 10), "a server that has just started")
	p.service.cold.record("a", now, 0, executor.Result{Load: executor.Load{Slots: 9, ColdFor: 2 * time.Second, ColdRoom: 1.5}})
	require.Zero(t, p.coldWait(now, m, 10))
	sent := 0
	for at := now + time.Duration(0); at < now+time.Second; at += 10 * time.Millisecond {
		if p.coldWait(at, m, 10) == 0 {
			p.service.cold.send("a", at)
			sent++
		}
	}
	require.InDelta(t, 3, sent, 1, "the reported room and a tenth of the rate")
	require.Zero(t, p.coldWait(now+2*time.Second, m, 10), "warm again")
}
