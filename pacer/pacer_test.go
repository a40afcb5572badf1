package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/pacer"
)

const (
	// link is 12 Mbit/s in bytes per second.
	link     = 12e6 / 8
	download = 90_000
)

// TestLargeMessagesTakeTurns guards against downloads that fill the queue of a slow link, where small responses then wait
// behind them: never is more than one on the link.
func TestLargeMessagesTakeTurns(t *testing.T) {
	p := pacer.New(link)
	require.True(t, p.Arrive(0, 1, download))
	for id := uint64(2); id <= 20; id++ {
		require.False(t, p.Arrive(0, id, download))
	}
	require.True(t, p.Arrive(0, 100, 2000), "small messages don't wait")
	ends := p.Span(download)
	for id := uint64(2); id <= 20; id++ {
		wake, waits := p.Wake()
		require.True(t, waits)
		require.Equal(t, ends, wake)
		_, early := p.Next(wake - 1)
		require.False(t, early)
		next, found := p.Next(wake)
		require.True(t, found)
		require.Equal(t, id, next, "in the order of arrival")
		ends += p.Span(download)
	}
	_, waits := p.Wake()
	require.False(t, waits)
	require.InDelta(t, 20*download/(link*0.85), ends.Seconds(), 0.001)
}

// TestBacklog guards against requests that are admitted although the responses before theirs fill the link until their
// callers have gone.
func TestBacklog(t *testing.T) {
	p := pacer.New(link)
	require.Zero(t, p.Backlog(0))
	p.Expect(5 * download)
	require.InDelta(t, float64(5*p.Span(download)), float64(p.Backlog(0)), 5)
	p.Expect(-5 * download)
	p.Arrive(0, 1, download)
	p.Arrive(0, 2, download)
	require.Equal(t, 2*p.Span(download), p.Backlog(0))
	require.Equal(t, 2*p.Span(download)-time.Millisecond, p.Backlog(time.Millisecond))
	p.Leave(2)
	require.Equal(t, p.Span(download)-time.Millisecond, p.Backlog(time.Millisecond))
	require.Zero(t, p.Backlog(time.Minute))
}

// TestNoLimit guards against waits on instances whose link is no limit.
func TestNoLimit(t *testing.T) {
	p := pacer.New(0)
	for id := range uint64(100) {
		require.True(t, p.Arrive(0, id, 10*download))
	}
	p.Expect(download)
	require.Zero(t, p.Backlog(0))
}
