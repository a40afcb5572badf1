package daemon

import (
	"context"
	"net/netip"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/leaser"
)

// watchState passes changes of the state to the components that depend on it.
func (d *Daemon) watchState(ctx context.Context) {
	const idle = time.Second
	var version, evacuated applier.Offset
	for {
		changed := d.state.Changed()
		evacuated = d.logEvacuations(evacuated)
		d.redialReplaced()
		if n := d.incarnation(); n != nil {
			version = d.applyState(n, version)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(idle):
		}
	}
}

// logEvacuations writes a log line for each evacuation that began or ended after an offset, and returns the offset of the
// last change. With offset zero, in a process that has just started, it leaves out those that have ended.
func (d *Daemon) logEvacuations(after applier.Offset) applier.Offset {
	var evacuations []applier.Evacuation
	d.state.View(func(s *applier.State) { evacuations = s.AllEvacuations() })
	last := after
	for _, e := range evacuations {
		last = max(last, e.Offset, e.Restored)
		if after == 0 && e.Restored > 0 {
			continue
		}
		if e.Offset > after {
			d.log("state", "zone evacuated", "zone", e.Zone, "operator", e.Operator, "offset", e.Offset)
		}
		if e.Restored > after {
			d.log("state", "zone restored", "zone", e.Zone, "operator", e.RestoredBy, "offset", e.Restored)
		}
	}
	return last
}

// redialReplaced makes the next message to a new member at a known address open a new connection. The connection to
// the previous process there has ended, and messages sent on it are lost until a stateless reset arrives, which can take
// 11 s.
func (d *Daemon) redialReplaced() {
	d.state.View(func(s *applier.State) {
		changed := s.LastMemberChange()
		if d.addressesAt == changed {
			return
		}
		known := d.addresses
		d.addresses, d.addressesAt = make(map[netip.AddrPort]applier.MemberID, len(s.Members)), changed
		for id, m := range s.Members {
			// The member of the previous process may not have been removed yet.
			if other := s.Members[d.addresses[m.Address]]; other == nil || other.Joined < m.Joined {
				d.addresses[m.Address] = id
			}
		}
		for address, id := range d.addresses {
			if before, seen := known[address]; seen && before != id {
				d.transport.Redial(address)
			}
		}
		// Addresses that no member uses are kept, to recognize a later member there.
		for address, id := range known {
			if _, used := d.addresses[address]; !used && len(d.addresses) < maxAddresses {
				d.addresses[address] = id
			}
		}
	})
}

// maxAddresses bounds the memory used for addresses that no member uses any more.
const maxAddresses = 1 << 15

// applyState passes the state to the components of an incarnation and returns the current configuration version.
func (d *Daemon) applyState(n *incarnation, version applier.Offset) applier.Offset {
	var actions []leaser.Action
	var current applier.Offset
	var ranks []admitter.Rank
	d.state.View(func(s *applier.State) {
		actions = n.step(leaser.StateApplied{State: s})
		current = s.Version
		ranks = admissionRanks(s)
	})
	d.perform(n, actions)
	n.dispatcher.Refresh()
	if current != version || n.configVersion.Swap(uint64(current)) != uint64(current) {
		n.dispatcher.SetRanks(ranks)
	}
	if current != version {
		d.log("state", "configuration in force", "version", current)
	}
	d.notifyNeighbours(n)
	d.synchronizeRows(n)
	d.fetchLostRows(n)
	d.releaseMoved(n)
	return current
}

// notifyNeighbours sends the applied offset to the members with which this one exchanges lease messages, so that new
// records spread without waiting for the next renewal.
func (d *Daemon) notifyNeighbours(n *incarnation) {
	var neighbours []applier.MemberID
	var applied applier.Offset
	d.state.View(func(s *applier.State) {
		applied = s.Applied
		neighbours = n.neighboursIn(s)
	})
	if n.notifiedOffset.Swap(uint64(applied)) == uint64(applied) {
		return
	}
	for _, id := range neighbours {
		d.sendDatagram(id, encoder.Datagram{From: n.id})
	}
}

// neighboursIn returns the guardians of this member and the members for which it is a guardian. It must be called by
// one task only.
func (n *incarnation) neighboursIn(s *applier.State) []applier.MemberID {
	if changed := s.LastMemberChange(); n.neighboursAt != changed || changed == 0 {
		n.neighboursAt, n.neighbours = changed, nil
		if self, present := s.Members[n.id]; present {
			n.neighbours = append(n.neighbours, self.Guardians...)
		}
		for id, m := range s.Members {
			if m.GuardedBy(n.id) {
				n.neighbours = append(n.neighbours, id)
			}
		}
	}
	return n.neighbours
}
