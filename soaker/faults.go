package soaker

import (
	"fmt"
	"syscall"
	"time"

	"hibiscusline/disruptor"
)

// injectFault injects a random fault at a random node. Its repair runs in the background, so that faults overlap. It does
// nothing if the node's process or server would need to be free for the fault and isn't.
func (s *soakRun) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	// Each injects a fault and returns its label, or an empty string if it did nothing.
	kinds := []func(*node, time.Duration) string{
		s.killProcess, s.stopProcess, s.pauseProcess, s.reloadSettings, s.delayFromPeers, s.blackholePeers,
		s.dropToPeers, s.resetPeers, s.blackholeStore, s.resetStore, s.failStore, s.loseStoreResponses,
		s.dropStoreHistory, s.crashServer, s.drainServer, s.publishConfiguration, s.killAll,
	}
	label := kinds[s.rng.IntN(len(kinds))](n, duration)
	if label == "" {
		return
	}
	s.faults++
	fmt.Fprintf(s.config.Output, "%s %s %s %v\n", time.Now().Format("15:04:05.000"), n.settings.Name, label, duration)
}

// scheduleRepair runs a repair in the background after a delay.
func (s *soakRun) scheduleRepair(after time.Duration, repair func()) {
	s.repairs.Go(func() {
		time.Sleep(after)
		repair()
	})
}

// tryClaim reserves a node's process and server for one fault until release. It reports false if another fault of them
// is active.
func (n *node) tryClaim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faultActive {
		return false
	}
	n.faultActive = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultActive = false
}

// restart starts a node's process again and releases the node. A failure is not returned: the check of the recovery
// finds the keys that are not served.
func (s *soakRun) restart(n *node) {
	if err := n.start(); err != nil {
		fmt.Fprintln(s.config.Output, "failed to restart a process:", err)
	}
	n.release()
}

func (s *soakRun) killProcess(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	n.kill()
	s.scheduleRepair(duration/2, func() { s.restart(n) })
	return "killed"
}

func (s *soakRun) killAll(*node, time.Duration) string {
	for _, n := range s.nodes {
		s.killProcess(n, time.Second)
	}
	return "all killed"
}

func (s *soakRun) stopProcess(n *node, _ time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	n.signal(syscall.SIGTERM)
	s.scheduleRepair(0, func() {
		n.wait()
		s.restart(n)
	})
	return "stopped"
}

func (s *soakRun) pauseProcess(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	n.signal(syscall.SIGSTOP)
	s.scheduleRepair(duration, func() {
		n.signal(syscall.SIGCONT)
		n.release()
	})
	return "paused"
}

func (s *soakRun) reloadSettings(n *node, _ time.Duration) string {
	n.signal(syscall.SIGHUP)
	return "settings reload requested"
}

func (s *soakRun) delayFromPeers(n *node, duration time.Duration) string {
	n.peerProxy.SetFaults(disruptor.Upstream, disruptor.Faults{Latency: 100 * time.Millisecond, Jitter: 50 * time.Millisecond})
	s.scheduleRepair(duration, func() { n.peerProxy.SetFaults(disruptor.Upstream, disruptor.Faults{}) })
	return "data from peers delayed"
}

func (s *soakRun) blackholePeers(n *node, duration time.Duration) string {
	n.peerProxy.Blackhole(true)
	s.scheduleRepair(duration, func() { n.peerProxy.Blackhole(false) })
	return "connections from peers blackholed"
}

func (s *soakRun) dropToPeers(n *node, duration time.Duration) string {
	n.peerProxy.SetFaults(disruptor.Downstream, disruptor.Faults{Cut: true})
	s.scheduleRepair(duration, func() { n.peerProxy.SetFaults(disruptor.Downstream, disruptor.Faults{}) })
	return "data to peers dropped"
}

func (s *soakRun) resetPeers(n *node, _ time.Duration) string {
	n.peerProxy.Reset()
	return "connections from peers reset"
}

func (s *soakRun) blackholeStore(n *node, duration time.Duration) string {
	n.storeProxy.Blackhole(true)
	s.scheduleRepair(duration, func() { n.storeProxy.Blackhole(false) })
	return "connections to the store blackholed"
}

func (s *soakRun) resetStore(n *node, _ time.Duration) string {
	n.storeProxy.Reset()
	return "connections to the store reset"
}

func (s *soakRun) failStore(_ *node, duration time.Duration) string {
	s.store.SetDown(true)
	s.scheduleRepair(duration, func() { s.store.SetDown(false) })
	return "store down"
}

func (s *soakRun) loseStoreResponses(_ *node, duration time.Duration) string {
	s.store.SetDropResponses(true)
	s.scheduleRepair(duration/2, func() { s.store.SetDropResponses(false) })
	return "store loses responses"
}

func (s *soakRun) dropStoreHistory(*node, time.Duration) string {
	s.store.Compact()
	return "store drops its history"
}

func (s *soakRun) crashServer(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	n.stopServer()
	s.scheduleRepair(duration, func() {
		n.startServer()
		n.release()
	})
	return "backend server ended"
}

func (s *soakRun) drainServer(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	n.server.Drain()
	s.scheduleRepair(2*time.Second+duration, func() {
		n.stopServer()
		n.startServer()
		n.release()
	})
	return "backend server draining"
}

func (s *soakRun) publishConfiguration(*node, time.Duration) string {
	if err := s.publish(); err != nil {
		return err.Error()
	}
	return "new configuration published"
}
