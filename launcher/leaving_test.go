package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/timer"
)

// TestDrainingServer guards against new requests at a draining backend server: without a fault, when the record of its
// state can't be written because the log is down or unreachable, and when its announcement never reaches the process
// beside it. The process then learns of the drain from the server's health report or, if that lags, from the missing
// announcements.
func TestDrainingServer(t *testing.T) {
	const limit = 3 * time.Second
	for name, injectFault := range map[string]func(tf *testFleet, n *Node){
		"announced":         func(*testFleet, *Node) {},
		"log down":          func(tf *testFleet, _ *Node) { tf.setLogOutage(emulator.Refuse) },
		"cut from the log":  func(_ *testFleet, n *Node) { n.BlackholeLog(true) },
		"announcement lost": func(_ *testFleet, n *Node) { n.BlackholeAnnouncements(true) },
		"announcement lost, log down": func(tf *testFleet, n *Node) {
			n.BlackholeAnnouncements(true)
			tf.setLogOutage(emulator.Refuse)
		},
		"announcement lost, health lags": func(tf *testFleet, n *Node) {
			n.BlackholeAnnouncements(true)
			require.NoError(tf, n.Server.Change(func(s *emulator.ServerSettings) { s.HealthLags = true }))
		},
		"announcement lost, health lags, log down": func(tf *testFleet, n *Node) {
			n.BlackholeAnnouncements(true)
			require.NoError(tf, n.Server.Change(func(s *emulator.ServerSettings) { s.HealthLags = true }))
			tf.setLogOutage(emulator.Refuse)
		},
		// The change of the settings makes the server announce that it is active. The pause lets it send that, and the
		// announcement arrives when the fault ends, after the drain was noticed.
		"active announcement held back, health lags, log down": func(tf *testFleet, n *Node) {
			n.BlackholeAnnouncements(true)
			require.NoError(tf, n.Server.Change(func(s *emulator.ServerSettings) { s.HealthLags = true }))
			tf.setLogOutage(emulator.Refuse)
			time.Sleep(50 * time.Millisecond)
		},
	} {
		for _, service := range []string{fenced, unkeyed} {
			t.Run(name+" "+service, func(t *testing.T) {
				tf := startTestFleet(t, 5*time.Millisecond, map[string]int{fenced: 3, unkeyed: 3})
				stop := tf.startLoad()
				draining := tf.otherNode(service)
				// Missing announcements take longest to detect if the fault begins right after an announcement.
				announced := draining.Server.Counts().Announcements
				tf.await("announcement", func() bool { return draining.Server.Counts().Announcements > announced })
				injectFault(tf, draining)
				drainedAt := timer.Now()
				draining.Server.Drain()
				time.Sleep(limit + time.Second)
				tf.setLogOutage(emulator.NoOutage)
				draining.BlackholeLog(false)
				draining.BlackholeAnnouncements(false)
				report := stop()
				for _, e := range tf.Ledger.Report().Executions {
					if e.Server == draining.Name {
						require.Less(tf, e.Start-drainedAt, limit, "%+v", e)
					}
				}
				tf.checkInvariants(report)
			})
		}
	}
}
