package daemon

import (
	"context"
	"net/netip"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

// waitForPeer waits until another member responds, if there is one. It returns false if the process should no longer
// join.
//
// A process that can't reach its peers may still be able to read the log and append to it. If it joined, it would be
// assigned the ranges of the next lost owner, and no member could take them over, because the new member has no
// guardians yet.
func (d *Daemon) waitForPeer(ctx context.Context, n *incarnation) bool {
	const interval = 200 * time.Millisecond
	began := timer.Now()
	for !n.leaving.Load() && !d.draining.Load() {
		peers := d.samplePeers()
		// A connection from a peer shows that both directions work; the members in the state may all be lost.
		// Connections accepted before the wait don't count: they may be older than the network failure for which this
		// process was removed.
		if len(peers) == 0 || d.transport.LastAccepted() > began || d.anyReachable(ctx, peers) {
			return !n.leaving.Load() && !d.draining.Load()
		}
		d.metrics.GetOrCreateCounter("hibiscus_joins_without_peer_total").Inc()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
	}
	return false
}

// samplePeers returns the addresses of a few other members, followed by the peers from the settings, which may also be
// waiting to join. It returns none if the state has no other member.
func (d *Daemon) samplePeers() (peers []netip.AddrPort) {
	const maxSampled = 3
	own := d.address()
	d.state.View(func(s *applier.State) {
		// Map iteration order is random, so unresponsive members are not selected forever.
		for _, m := range s.Members {
			if m.Address != own {
				peers = append(peers, m.Address)
			}
			if len(peers) == maxSampled {
				return
			}
		}
	})
	if len(peers) == 0 {
		return nil
	}
	for _, peer := range d.config.Settings.Peers {
		if peer != own {
			peers = append(peers, peer)
		}
	}
	return peers
}

// anyReachable reports whether one of the peers responds. A response shows that both directions of the network work.
func (d *Daemon) anyReachable(ctx context.Context, peers []netip.AddrPort) bool {
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() {
			_, err := call[encoder.Records](ctx, d, reachablePeer.Answer(), peer, encoder.Fetch{From: d.state.Applied() + 1})
			results <- err
		}()
	}
	for range peers {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}
