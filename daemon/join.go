package daemon

import (
	"context"
	"net/netip"
	"time"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/timer"
)

// awaitPeer waits until another member answers, if there is one. It reports false when the process need not join any more.
// A process that is cut off from its peers may still read the log and append to it. As a new member it would be given the
// ranges of the next lost owner, and nobody could take them over, because it has no guardians yet.
func (d *Daemon) awaitPeer(ctx context.Context, n *incarnation) bool {
	const interval = 200 * time.Millisecond
	began := timer.Now()
	for !n.leaving.Load() && !d.draining.Load() {
		peers := d.somePeers()
		// A peer that connects meanwhile shows that both directions are open. The members of the state may all be lost. A
		// connection from before the wait may be older than the cut for which this process was removed.
		if len(peers) == 0 || d.transport.LastAccepted() > began || d.anyAnswers(ctx, peers) {
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

// somePeers returns the addresses of a few members at other addresses than this process, and those of the settings, which
// may be of processes that wait to join too. It returns none when the state has no other member.
func (d *Daemon) somePeers() (peers []netip.AddrPort) {
	const count = 3
	own := d.address()
	d.state.View(func(s *applier.State) {
		// The order of a map differs each time, so that members that don't answer are not asked for ever.
		for _, m := range s.Members {
			if m.Address != own {
				peers = append(peers, m.Address)
			}
			if len(peers) == count {
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

// anyAnswers reports whether one of the peers answers. An answer shows that both directions are open.
func (d *Daemon) anyAnswers(ctx context.Context, peers []netip.AddrPort) bool {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan error, len(peers))
	for _, peer := range peers {
		go func() {
			_, err := ask[encoder.Records](ctx, d, peer, encoder.Fetch{From: d.state.Applied() + 1})
			answers <- err
		}()
	}
	for range peers {
		if err := <-answers; err == nil {
			return true
		}
	}
	return false
}
