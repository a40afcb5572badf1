package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/follower"
	"hibiscusline/validator"
)

// epochTracker checks that the version of the configuration and the epochs of all assignments never decrease.
type epochTracker struct {
	version applier.Offset
	epochs  map[string]map[string]applier.Offset
}

func (et *epochTracker) check(tf *testFleet) {
	tf.Helper()
	tf.viewState(func(s *applier.State) {
		require.GreaterOrEqual(tf, s.Version, et.version)
		et.version = s.Version
		for service, ranges := range s.Assignments {
			if et.epochs[service] == nil {
				et.epochs[service] = map[string]applier.Offset{}
			}
			require.NotEmpty(tf, ranges)
			for _, a := range ranges {
				require.GreaterOrEqual(tf, a.Epoch, et.epochs[service][a.Range.String()])
				et.epochs[service][a.Range.String()] = a.Epoch
			}
		}
	})
}

// TestAssignmentsSurvive guards against the loss of assignments and configurations when responses of the log are lost,
// records expire, and every process is replaced.
func TestAssignmentsSurvive(t *testing.T) {
	tf := startTestFleet(t, time.Millisecond, map[string]int{fenced: 4})
	tracker := &epochTracker{epochs: map[string]map[string]applier.Offset{}}
	tracker.check(tf)
	require.NoError(tf, tf.Log.Change(func(s *emulator.LogSettings) { s.LoseProbability, s.RetainCount = 0.5, 40 }))
	stop := tf.startLoad()
	for _, n := range tf.Nodes {
		before, err := n.Status(tf.ctx)
		require.NoError(tf, err)
		require.NoError(tf, n.Kill())
		require.NoError(tf, n.Start())
		// The next process may be a guardian of this one. Killing it before the take-over would lose both at once.
		tf.await("take-over", func() bool {
			present := true
			tf.viewState(func(s *applier.State) { _, present = s.Members[before.Member] })
			return !present
		})
		require.NoError(tf, tf.AwaitReady(tf.ctx))
		after, err := n.Status(tf.ctx)
		require.NoError(tf, err)
		require.GreaterOrEqual(tf, after.Applied, before.Applied)
		tracker.check(tf)
	}
	tf.awaitAnswer(tf.Nodes[0], fenced, "order-1", nil)
	tf.checkInvariants(stop())
}

// TestRetentionPassesInOutage guards against a log that stays empty after an outage longer than its retention period:
// the running processes must write the state again, and an operator must be able to read it.
func TestRetentionPassesInOutage(t *testing.T) {
	tf := startTestFleet(t, time.Millisecond, map[string]int{fenced: 12})
	tracker := &epochTracker{epochs: map[string]map[string]applier.Offset{}}
	tracker.check(tf)
	tf.setLogOutage(emulator.Refuse)
	require.NoError(tf, tf.Log.Change(func(s *emulator.LogSettings) { s.RetainCount = 1 }))
	// The log drops expired records only when it is accessed, and nothing accesses it during the outage.
	require.Greater(tf, tf.Log.Read(Stream, 1, 1).First, uint64(1), "the log has not dropped any records")
	require.NoError(tf, tf.Nodes[3].Kill())
	require.NoError(tf, tf.Nodes[3].Start())
	tf.await("state from a peer", func() bool {
		status, err := tf.Nodes[3].Status(tf.ctx)
		return err == nil && status.Version == tracker.version
	})
	// Peers send nothing to a process that they don't know, so the new one must query the peers in its settings.
	newcomer, err := tf.Add(Service{Name: fenced, Slots: 12, Connections: 110}, "a")
	require.NoError(tf, err)
	tf.await("state from a peer in the settings", func() bool {
		status, err := newcomer.Status(tf.ctx)
		return err == nil && status.Version == tracker.version
	})
	tf.awaitAnswer(newcomer, fenced, "order-1", nil)
	// A new process can't become a member during the outage, but callers can use it as an entry.
	tf.awaitAnswer(tf.Nodes[3], fenced, "order-1", nil)
	tf.setLogOutage(emulator.NoOutage)
	require.NoError(tf, tf.Log.Change(func(s *emulator.LogSettings) { s.RetainCount = 0 }))
	tf.await("checkpoint", func() bool {
		_, err := tf.State(tf.ctx)
		return err == nil
	})
	tracker.check(tf)
	require.NoError(tf, tf.AwaitReady(tf.ctx))
	tf.checkInvariants()
}

// TestConfigurationNeverReverts guards against two accepted proposals with the same base version, versions that
// decrease, and processes that miss a configuration because the log was slow or down, they were restarted meanwhile, or
// they can reach only their peers.
func TestConfigurationNeverReverts(t *testing.T) {
	tf := startTestFleet(t, time.Millisecond, map[string]int{fenced: 4})
	require.NoError(tf, tf.Log.Change(func(s *emulator.LogSettings) {
		s.LoseProbability, s.AppendDelay = 0.7, validator.Duration(50*time.Millisecond)
	}))
	tf.Nodes[2].BlackholeLog(true)
	var version applier.Offset
	for round := range 5 {
		tf.viewState(func(s *applier.State) { version = s.Version })
		if round == 1 {
			tf.setLogOutage(emulator.Refuse)
			require.NoError(tf, tf.Nodes[1].Kill())
			require.NoError(tf, tf.Nodes[1].Start())
			time.AfterFunc(time.Second, func() { tf.setLogOutage(emulator.NoOutage) })
		}
		results := make(chan applier.Result, 2)
		for i, operator := range []string{"liis", "tormi"} {
			go func() {
				c := testFleetConfiguration()
				c.Ranks["order"] = validator.Rank{Floor: 0.3, LatencyTarget: validator.Duration(time.Duration(100+10*round+i) * time.Millisecond)}
				result, err := appender.Commit(tf.ctx, tf.Client, &follower.Follower{}, appender.NewEnvelope(applier.Propose{Author: operator, Base: version, Configuration: c}))
				if err != nil {
					tf.Error(err)
				}
				results <- result
			}()
		}
		first, second := <-results, <-results
		require.NotEqual(tf, first.Accepted, second.Accepted, "%+v %+v", first, second)
		accepted := first.Offset
		if second.Accepted {
			accepted = second.Offset
		}
		highest := map[*Node]applier.Offset{}
		tf.await("configuration applied by every process", func() bool {
			everywhere := true
			for _, n := range tf.Nodes {
				status, err := n.Status(tf.ctx)
				if err != nil {
					return false
				}
				require.GreaterOrEqual(tf, status.Version, highest[n])
				highest[n] = status.Version
				everywhere = everywhere && status.Version == accepted
			}
			return everywhere
		})
	}
}
