package soaker

import (
	"fmt"
	"syscall"
	"time"

	"hibiscusline/disruptor"
	"hibiscusline/platform"
)

// faultKind injects a fault and returns its label, or an empty string if it did nothing.
type faultKind func(*node, time.Duration) string

// faultKinds returns the kinds of which the series of faults consist.
func (s *soakRun) faultKinds() []faultKind {
	return []faultKind{
		s.killProcess, s.stopProcess, s.pauseProcess, s.reloadSettings, s.delayFromPeers, s.blackholePeers,
		s.dropToPeers, s.resetPeers, s.blackholeStore, s.resetStore, s.failStore, s.loseStoreResponses,
		s.dropStoreHistory, s.crashServer, s.drainServer, s.publishConfiguration, s.killAll, s.loseAllResponses,
		s.forgetReads, s.silenceStore, s.silenceAll, s.goBack,
	}
}

// unansweredReadKinds returns the kinds after which the reads that wait at the store are never answered at any process.
func (s *soakRun) unansweredReadKinds() []faultKind {
	return []faultKind{s.forgetReads, s.silenceAll, s.publishUnanswered}
}

// injectFault injects a random fault at a random node. Its repair runs in the background, so that faults overlap. It does
// nothing if the node's process or server would need to be free for the fault and isn't.
func (s *soakRun) injectFault(kinds []faultKind) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	label := kinds[s.rng.IntN(len(kinds))](n, duration)
	if label == "" {
		return
	}
	s.faults++
	fmt.Fprintf(s.config.Output, "%s %s %s %v\n", time.Now().Format(clockFormat), n.settings.Name, label, duration)
}

// inject injects a fault of a node, or of the store if n is nil, and repairs it in the background after a time.
func (s *soakRun) inject(n *node, after time.Duration, fault, repair func()) {
	s.touch.begin(n)
	fault()
	s.repairs.Go(func() {
		time.Sleep(after)
		repair()
		s.touch.end(n)
	})
}

// injectOnce injects a fault that needs no repair.
func (s *soakRun) injectOnce(n *node, fault func()) {
	s.touch.begin(n)
	fault()
	s.touch.end(n)
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
	s.inject(n, duration/2, n.kill, func() { s.restart(n) })
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
	s.inject(n, 0, func() { n.signal(syscall.SIGTERM) }, func() {
		n.wait()
		s.restart(n)
	})
	return "stopped"
}

func (s *soakRun) pauseProcess(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	s.inject(n, duration, func() { n.signal(syscall.SIGSTOP) }, func() {
		n.signal(syscall.SIGCONT)
		n.release()
	})
	return "paused"
}

// reloadSettings is not a fault: the process stays in touch.
func (s *soakRun) reloadSettings(n *node, _ time.Duration) string {
	n.signal(syscall.SIGHUP)
	return "settings reload requested"
}

func (s *soakRun) delayFromPeers(n *node, duration time.Duration) string {
	s.inject(n, duration, func() {
		n.peerProxy.SetFaults(disruptor.Upstream, disruptor.Faults{Latency: 100 * time.Millisecond, Jitter: 50 * time.Millisecond})
	}, func() { n.peerProxy.SetFaults(disruptor.Upstream, disruptor.Faults{}) })
	return "data from peers delayed"
}

func (s *soakRun) blackholePeers(n *node, duration time.Duration) string {
	s.inject(n, duration, func() { n.peerProxy.Blackhole(true) }, func() { n.peerProxy.Blackhole(false) })
	return "connections from peers blackholed"
}

func (s *soakRun) dropToPeers(n *node, duration time.Duration) string {
	s.inject(n, duration, func() { n.peerProxy.SetFaults(disruptor.Downstream, disruptor.Faults{Cut: true}) },
		func() { n.peerProxy.SetFaults(disruptor.Downstream, disruptor.Faults{}) })
	return "data to peers dropped"
}

func (s *soakRun) resetPeers(n *node, _ time.Duration) string {
	s.injectOnce(n, n.peerProxy.Reset)
	return "connections from peers reset"
}

func (s *soakRun) blackholeStore(n *node, duration time.Duration) string {
	s.inject(n, duration, func() { n.storeProxy.Blackhole(true) }, func() { n.storeProxy.Blackhole(false) })
	return "connections to the store blackholed"
}

func (s *soakRun) resetStore(n *node, _ time.Duration) string {
	s.injectOnce(n, n.storeProxy.Reset)
	return "connections to the store reset"
}

func (s *soakRun) failStore(_ *node, duration time.Duration) string {
	s.inject(nil, duration, func() { s.store.SetDown(true) }, func() { s.store.SetDown(false) })
	return "store down"
}

func (s *soakRun) loseStoreResponses(_ *node, duration time.Duration) string {
	s.inject(nil, duration/2, func() { s.store.SetDropResponses(true) }, func() { s.store.SetDropResponses(false) })
	return "store loses responses"
}

func (s *soakRun) dropStoreHistory(*node, time.Duration) string {
	s.injectOnce(nil, s.store.Compact)
	return "store drops its history"
}

// maxStoreLoss is the longest time of whose records a store that comes back from an older copy lacks.
const maxStoreLoss = 4 * time.Second

// goBack lets the store come back without the newest records of the processes. The operator's configurations, which are written
// again, stay.
func (s *soakRun) goBack(_ *node, duration time.Duration) string {
	loss := min(duration, maxStoreLoss)
	s.injectOnce(nil, func() { s.store.GoBack(loss, platform.ConfigurationTopic) })
	return "store came back from an older copy"
}

func (s *soakRun) loseAllResponses(_ *node, duration time.Duration) string {
	s.inject(nil, duration, func() { s.store.SetLoseResponses(true) }, func() { s.store.SetLoseResponses(false) })
	return "store responses lost on open connections"
}

// publishUnanswered publishes a configuration while the responses to all reads get lost.
func (s *soakRun) publishUnanswered(n *node, duration time.Duration) string {
	s.loseAllResponses(n, duration)
	if err := s.publish(); err != nil {
		return err.Error()
	}
	return "new configuration published while store responses are lost"
}

func (s *soakRun) forgetReads(*node, time.Duration) string {
	s.injectOnce(nil, s.store.ForgetReads)
	return "store forgets the reads that wait"
}

func (s *soakRun) silenceStore(n *node, _ time.Duration) string {
	s.injectOnce(n, n.storeProxy.Silence)
	return "connections to the store silenced"
}

func (s *soakRun) silenceAll(*node, time.Duration) string {
	for _, n := range s.nodes {
		s.silenceStore(n, 0)
	}
	return "all connections to the store silenced"
}

func (s *soakRun) crashServer(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	s.inject(n, duration, n.stopServer, func() {
		n.startServer()
		n.release()
	})
	return "backend server ended"
}

func (s *soakRun) drainServer(n *node, duration time.Duration) string {
	if !n.tryClaim() {
		return ""
	}
	s.inject(n, 2*time.Second+duration, n.server.Drain, func() {
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
