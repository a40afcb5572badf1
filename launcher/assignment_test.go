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

// ledgerOfEpochs checks that what the log has assigned and put in force is never taken back.
type ledgerOfEpochs struct {
	version applier.Offset
	epochs  map[string]map[string]applier.Offset
}

func (l *ledgerOfEpochs) check(w *trial) {
	w.Helper()
	w.state(func(s *applier.State) {
		require.GreaterOrEqual(w, s.Version, l.version)
		l.version = s.Version
		for service, ranges := range s.Assignments {
			if l.epochs[service] == nil {
				l.epochs[service] = map[string]applier.Offset{}
			}
			require.NotEmpty(w, ranges)
			for _, a := range ranges {
				require.GreaterOrEqual(w, a.Epoch, l.epochs[service][a.Range.String()])
				l.epochs[service][a.Range.String()] = a.Epoch
			}
		}
	})
}

// TestAssignmentsSurvive guards against assignments and configurations that are forgotten when answers of the log are lost,
// records expire, and every process is replaced.
func TestAssignmentsSurvive(t *testing.T) {
	w := startTrial(t, time.Millisecond, map[string]int{fenced: 4})
	l := &ledgerOfEpochs{epochs: map[string]map[string]applier.Offset{}}
	l.check(w)
	require.NoError(w, w.Log.Change(func(s *emulator.LogSettings) { s.LoseProbability, s.RetainCount = 0.5, 40 }))
	stop := w.load()
	for _, n := range w.Nodes {
		before, err := n.Status(w.ctx)
		require.NoError(w, err)
		require.NoError(w, n.Kill())
		require.NoError(w, n.Start())
		// A process replaced before the last one was taken over could guard that one, and both would be lost at once.
		w.await("take-over", func() bool {
			present := true
			w.state(func(s *applier.State) { _, present = s.Members[before.Member] })
			return !present
		})
		require.NoError(w, w.AwaitReady(w.ctx))
		after, err := n.Status(w.ctx)
		require.NoError(w, err)
		require.GreaterOrEqual(w, after.Applied, before.Applied)
		l.check(w)
	}
	w.awaitAnswer(w.Nodes[0], fenced, "order-1", nil)
	w.judge(stop())
}

// TestRetentionPassesInOutage guards against an empty log after an outage longer than its retention: the live processes
// must write the state again, and an operator must be able to read it.
func TestRetentionPassesInOutage(t *testing.T) {
	w := startTrial(t, time.Millisecond, map[string]int{fenced: 12})
	l := &ledgerOfEpochs{epochs: map[string]map[string]applier.Offset{}}
	l.check(w)
	w.logOutage(emulator.Refuse)
	require.NoError(w, w.Log.Change(func(s *emulator.LogSettings) { s.RetainCount = 1 }))
	// The log drops records when it is used, and in the outage nobody uses it.
	require.Greater(w, w.Log.Read(Stream, 1, 1).First, uint64(1), "records that the log has dropped")
	require.NoError(w, w.Nodes[3].Kill())
	require.NoError(w, w.Nodes[3].Start())
	w.await("state from a peer", func() bool {
		status, err := w.Nodes[3].Status(w.ctx)
		return err == nil && status.Version == l.version
	})
	// Peers send nothing to a process that they don't know, so it must ask those of its settings.
	newcomer, err := w.Add(Service{Name: fenced, Slots: 12, Connections: 110}, "a")
	require.NoError(w, err)
	w.await("state from a peer of the settings", func() bool {
		status, err := newcomer.Status(w.ctx)
		return err == nil && status.Version == l.version
	})
	w.awaitAnswer(newcomer, fenced, "order-1", nil)
	// A newcomer can't be a member during the outage, but callers can use it.
	w.awaitAnswer(w.Nodes[3], fenced, "order-1", nil)
	w.logOutage(emulator.NoOutage)
	require.NoError(w, w.Log.Change(func(s *emulator.LogSettings) { s.RetainCount = 0 }))
	w.await("checkpoint", func() bool {
		_, err := w.State(w.ctx)
		return err == nil
	})
	l.check(w)
	require.NoError(w, w.AwaitReady(w.ctx))
	w.judge()
}

// TestConfigurationNeverReverts guards against two winners of a race, versions that go back, and processes that miss a
// configuration because the log was slow or down, they were restarted meanwhile, or they can reach only their peers.
func TestConfigurationNeverReverts(t *testing.T) {
	w := startTrial(t, time.Millisecond, map[string]int{fenced: 4})
	require.NoError(w, w.Log.Change(func(s *emulator.LogSettings) {
		s.LoseProbability, s.AppendDelay = 0.7, validator.Duration(50*time.Millisecond)
	}))
	w.Nodes[2].CutLog(true)
	var version applier.Offset
	for round := range 5 {
		w.state(func(s *applier.State) { version = s.Version })
		if round == 1 {
			w.logOutage(emulator.Refuse)
			require.NoError(w, w.Nodes[1].Kill())
			require.NoError(w, w.Nodes[1].Start())
			time.AfterFunc(time.Second, func() { w.logOutage(emulator.NoOutage) })
		}
		results := make(chan applier.Result, 2)
		for i, operator := range []string{"liis", "tormi"} {
			go func() {
				c := trialConfiguration()
				c.Ranks["order"] = validator.Rank{Floor: 0.3, LatencyTarget: validator.Duration(time.Duration(100+10*round+i) * time.Millisecond)}
				result, err := appender.Commit(w.ctx, w.Client, &follower.Follower{}, appender.NewEnvelope(applier.Propose{Author: operator, Base: version, Configuration: c}))
				if err != nil {
					w.Error(err)
				}
				results <- result
			}()
		}
		first, second := <-results, <-results
		require.NotEqual(w, first.Accepted, second.Accepted, "%+v %+v", first, second)
		accepted := first.Offset
		if second.Accepted {
			accepted = second.Offset
		}
		highest := map[*Node]applier.Offset{}
		w.await("configuration in force everywhere", func() bool {
			everywhere := true
			for _, n := range w.Nodes {
				status, err := n.Status(w.ctx)
				if err != nil {
					return false
				}
				require.GreaterOrEqual(w, status.Version, highest[n])
				highest[n] = status.Version
				everywhere = everywhere && status.Version == accepted
			}
			return everywhere
		})
	}
}
