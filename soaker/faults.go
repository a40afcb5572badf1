package soaker

import (
	"fmt"
	"syscall"
	"time"

	"hibiscusline/disruptor"
)

// fault injects one fault at random. Its repair runs in the background, so that faults overlap.
func (s *soak) fault() {
	s.faults++
	n := s.nodes[s.random.IntN(len(s.nodes))]
	length := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(3*time.Second)))
	kinds := []func(*node, time.Duration) string{
		s.killProcess, s.stopProcess, s.pauseProcess, s.hangUp, s.delayPeers, s.cutPeers, s.cutOneWay, s.resetPeers, s.silenceStore,
		s.resetStore, s.storeDown, s.storeLosesAnswers, s.dropHistory, s.endServer, s.drainServer, s.configure, s.killAll,
	}
	kind := kinds[s.random.IntN(len(kinds))]
	fmt.Fprintf(s.config.Output, "%s %s %s %v\n", time.Now().Format("15:04:05.000"), n.settings.Name, kind(n, length), length)
}

// later runs a repair after a time.
func (s *soak) later(after time.Duration, repair func()) {
	s.repair.Go(func() {
		time.Sleep(after)
		repair()
	})
}

// claim reserves a node's process and server for one fault. It reports false if another one is under way.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// restart starts a node's process again. A failure shows as keys that are never served.
func (s *soak) restart(n *node) {
	if err := n.start(); err != nil {
		fmt.Fprintln(s.config.Output, "restart failed:", err)
	}
	n.release()
}

func (s *soak) killProcess(n *node, length time.Duration) string {
	if n.claim() {
		n.kill()
		s.later(length/2, func() { s.restart(n) })
	}
	return "killed"
}

func (s *soak) killAll(*node, time.Duration) string {
	for _, n := range s.nodes {
		s.killProcess(n, time.Second)
	}
	return "all killed"
}

func (s *soak) stopProcess(n *node, _ time.Duration) string {
	if n.claim() {
		n.signal(syscall.SIGTERM)
		s.later(0, func() {
			n.wait()
			s.restart(n)
		})
	}
	return "stopped"
}

func (s *soak) pauseProcess(n *node, length time.Duration) string {
	if n.claim() {
		n.signal(syscall.SIGSTOP)
		s.later(length, func() {
			n.signal(syscall.SIGCONT)
			n.release()
		})
	}
	return "paused"
}

func (s *soak) hangUp(n *node, _ time.Duration) string {
	n.signal(syscall.SIGHUP)
	return "told to read its settings"
}

func (s *soak) delayPeers(n *node, length time.Duration) string {
	n.peers.Set(disruptor.Upstream, disruptor.Toxics{Latency: 100 * time.Millisecond, Jitter: 50 * time.Millisecond})
	s.later(length, func() { n.peers.Set(disruptor.Upstream, disruptor.Toxics{}) })
	return "peers delayed"
}

func (s *soak) cutPeers(n *node, length time.Duration) string {
	n.peers.Blackhole(true)
	s.later(length, func() { n.peers.Blackhole(false) })
	return "peers cut"
}

func (s *soak) cutOneWay(n *node, length time.Duration) string {
	n.peers.Set(disruptor.Downstream, disruptor.Toxics{Cut: true})
	s.later(length, func() { n.peers.Set(disruptor.Downstream, disruptor.Toxics{}) })
	return "answers to peers cut"
}

func (s *soak) resetPeers(n *node, _ time.Duration) string {
	n.peers.Reset()
	return "peers reset"
}

func (s *soak) silenceStore(n *node, length time.Duration) string {
	n.store.Blackhole(true)
	s.later(length, func() { n.store.Blackhole(false) })
	return "cut from the store"
}

func (s *soak) resetStore(n *node, _ time.Duration) string {
	n.store.Reset()
	return "store connections reset"
}

func (s *soak) storeDown(_ *node, length time.Duration) string {
	s.store.SetDown(true)
	s.later(length, func() { s.store.SetDown(false) })
	return "store down"
}

func (s *soak) storeLosesAnswers(_ *node, length time.Duration) string {
	s.store.SetDropResponses(true)
	s.later(length/2, func() { s.store.SetDropResponses(false) })
	return "store loses answers"
}

func (s *soak) dropHistory(*node, time.Duration) string {
	s.store.Compact()
	return "store drops its history"
}

func (s *soak) endServer(n *node, length time.Duration) string {
	if n.claim() {
		n.endServer()
		s.later(length, func() {
			n.startServer()
			n.release()
		})
	}
	return "server died"
}

func (s *soak) drainServer(n *node, length time.Duration) string {
	if n.claim() {
		n.server.Drain()
		s.later(2*time.Second+length, func() {
			n.endServer()
			n.startServer()
			n.release()
		})
	}
	return "server drains"
}

func (s *soak) configure(*node, time.Duration) string {
	if err := s.publish(); err != nil {
		return err.Error()
	}
	return "configuration changes"
}
