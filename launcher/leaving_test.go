package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/timer"
)

// TestLeavingServer guards against new work at a backend server that leaves: normally, when the record of its leaving
// can't be written because the log, or the way to it, is lost, and when its announcement never reaches the process beside
// it, which then learns of it from the server's health report or, if that lags, from its silence.
func TestLeavingServer(t *testing.T) {
	const limit = 3 * time.Second
	for name, begin := range map[string]func(w *trial, n *Node){
		"announced":         func(*trial, *Node) {},
		"log down":          func(w *trial, _ *Node) { w.logOutage(emulator.Refuse) },
		"cut from the log":  func(_ *trial, n *Node) { n.BlackholeLog(true) },
		"announcement lost": func(_ *trial, n *Node) { n.BlackholeAnnouncements(true) },
		"announcement lost, log down": func(w *trial, n *Node) {
			n.BlackholeAnnouncements(true)
			w.logOutage(emulator.Refuse)
		},
		"announcement lost, health lags": func(w *trial, n *Node) {
			n.BlackholeAnnouncements(true)
			require.NoError(w, n.Server.Change(func(s *emulator.ServerSettings) { s.HealthLags = true }))
		},
		"announcement lost, health lags, log down": func(w *trial, n *Node) {
			n.BlackholeAnnouncements(true)
			require.NoError(w, n.Server.Change(func(s *emulator.ServerSettings) { s.HealthLags = true }))
			w.logOutage(emulator.Refuse)
		},
	} {
		for _, service := range []string{fenced, unkeyed} {
			t.Run(name+" "+service, func(t *testing.T) {
				w := startTrial(t, 5*time.Millisecond, map[string]int{fenced: 3, unkeyed: 3})
				stop := w.load()
				leaving := w.other(service)
				// The silence of a server is noticed last when it begins right after an announcement.
				announced := leaving.Server.Counts().Announcements
				w.await("announcement", func() bool { return leaving.Server.Counts().Announcements > announced })
				begin(w, leaving)
				left := timer.Now()
				leaving.Server.Drain()
				time.Sleep(limit + time.Second)
				w.logOutage(emulator.NoOutage)
				leaving.BlackholeLog(false)
				leaving.BlackholeAnnouncements(false)
				report := stop()
				for _, e := range w.Ledger.Report().Executions {
					if e.Server == leaving.Name {
						require.Less(w, e.Start-left, limit, "%+v", e)
					}
				}
				w.judge(report)
			})
		}
	}
}
