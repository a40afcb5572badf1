package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/follower"
	"hibiscusline/timer"
)

func (tf *testFleet) commitRecord(r applier.Record) {
	tf.Helper()
	result, err := appender.Commit(tf.ctx, tf.Client, &follower.Follower{}, appender.NewEnvelope(r))
	require.NoError(tf, err)
	require.True(tf, result.Accepted, result.Reason)
}

// ownedIn returns the number of ranges that members in a zone own or have yet to release.
func (tf *testFleet) ownedIn(zone string) (count int) {
	tf.viewState(func(s *applier.State) {
		for _, m := range s.MembersOf("") {
			if m.Zone == zone {
				count += len(s.Owned(m.ID)) + len(s.Unreleased(m.ID))
			}
		}
	})
	return count
}

// TestEvacuatedZone guards against a backend server that gets requests later than 5 s after the evacuation of its zone,
// also one whose process was restarted meanwhile, against requests that fail although other zones can serve them, against
// requests that wait although all zones are evacuated, and against a zone that stays unused after its restoration.
func TestEvacuatedZone(t *testing.T) {
	const bound = 5 * time.Second
	tf := startTestFleet(t, 5*time.Millisecond, map[string]int{fenced: 4, unfenced: 4, unkeyed: 4})
	zoneOf := map[string]string{}
	var restarted *Node
	for _, n := range tf.Nodes {
		zoneOf[n.Name] = n.Settings.Zone
		if n.Settings.Zone == "a" && n.Service == unkeyed {
			restarted = n
		}
	}
	startedIn := func(zone string, after time.Duration) (count int) {
		for _, e := range tf.Ledger.Report().Executions {
			if zoneOf[e.Server] == zone && e.Start > after {
				count++
			}
		}
		return count
	}
	stop := tf.startLoad()
	tf.await("requests and ranges in the zone", func() bool { return startedIn("a", 0) > 100 && tf.ownedIn("a") > 0 })
	tf.commitRecord(applier.Evacuate{Zone: "a", Operator: "liis"})
	acknowledged := timer.Now()
	tf.await("ranges out of the zone", func() bool { return tf.ownedIn("a") == 0 })
	moved := timer.Now() - acknowledged
	time.Sleep(acknowledged + bound - timer.Now())
	report := stop()
	t.Logf("%d requests in the zone after the evacuation, ranges moved after %s", startedIn("a", acknowledged), moved)
	for _, s := range report.Streams {
		require.Zero(t, s.NotRun+s.Unknown, "%s: %+v", s.Name, s.Counts)
	}
	// The entries may be any processes, those of the zone among them.
	stop = tf.startLoad()
	require.NoError(t, restarted.Kill())
	require.NoError(t, restarted.Start())
	time.Sleep(2 * bound)
	during := stop()
	require.Zero(t, startedIn("a", acknowledged+bound))
	require.Zero(t, tf.ownedIn("a"))

	for _, zone := range []string{"b", "c", "d"} {
		tf.commitRecord(applier.Evacuate{Zone: zone, Operator: "tormi"})
	}
	for _, service := range []string{fenced, unkeyed} {
		entry := tf.otherNode(service)
		tf.await("refusal at once", func() bool {
			began := time.Now()
			a := tf.sendRequest(tf.ctx, entry, service, "order-1", "/items", "")
			return a.outcome == "not_run" && a.reason == "evacuated" && time.Since(began) < time.Second
		})
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		tf.commitRecord(applier.Restore{Zone: zone, Operator: "tormi"})
	}
	restored := timer.Now()
	stop = tf.startLoad()
	tf.await("requests and ranges in the restored zone", func() bool {
		return startedIn("a", restored) > 100 && tf.ownedIn("a") > 0
	})
	tf.checkInvariants(report, during, stop())
}
