package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform"
	"hibiscusline/waiter"
)

// TestOneSlowAnswer guards against a read that is repeated late, after its answer was lost, because one answer before it, or
// one of another topic, was slow.
func TestOneSlowAnswer(t *testing.T) {
	a := newIdleSidecar()
	read := storeRead{topic: platform.ConfigurationTopic, promise: a.promises.configuration, hold: a.promises.configuration.Hold()}
	usual := a.hedge(read)
	for range 2 {
		a.latencies.record(platform.RecordsTopic, time.Second)
	}
	a.latencies.record(read.topic, time.Second)
	require.Equal(t, usual.Overdue, a.hedge(read).Overdue)
	a.latencies.record(read.topic, time.Second)
	require.Greater(t, a.hedge(read).Overdue, usual.Overdue, "the store is slow")
	a.latencies.record(read.topic, time.Millisecond)
	require.Equal(t, usual.Overdue, a.hedge(read).Overdue)
	read.hold = waiter.Hold{}
	require.Equal(t, a.promises.configuration.HedgeBy(0, 0).Overdue, a.hedge(read).Overdue)
}
