package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/timer"
)

// TestLeavingServer guards against new work at a backend server that leaves: normally, and when the record of its leaving
// can't be written because the log, or the way to it, is lost.
func TestLeavingServer(t *testing.T) {
	const limit = 3 * time.Second
	for name, begin := range map[string]func(w *trial, n *Node){
		"announced":        func(*trial, *Node) {},
		"log down":         func(w *trial, _ *Node) { w.logOutage(emulator.Refuse) },
		"cut from the log": func(_ *trial, n *Node) { n.CutLog(true) },
	} {
		for _, service := range []string{fenced, unkeyed} {
			t.Run(name+" "+service, func(t *testing.T) {
				w := startTrial(t, 5*time.Millisecond, map[string]int{fenced: 3, unkeyed: 3})
				stop := w.load()
				leaving := w.other(service)
				begin(w, leaving)
				left := timer.Now()
				leaving.Server.Drain()
				time.Sleep(limit + time.Second)
				w.logOutage(emulator.NoOutage)
				leaving.CutLog(false)
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
