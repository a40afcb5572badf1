package leaser

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/applier"
)

// targetGuardians is the number of guardians of a member if the cluster has enough members.
const targetGuardians = 2

// planGuardians compares the current guardians with those that the member should have, and proposes a new set if they
// differ. A candidate is asked for a promise first. Only one that answered is proposed, and its promise counts from the
// moment at which the proposal may be in the log.
func (m *Machine) planGuardians() []Action {
	m.checkUpgrade()
	m.expireProbes()
	wanted := m.retainedGuardians()
	if missing := targetGuardians - len(wanted); missing > 0 {
		ready, waiting := m.probeCandidates(missing)
		wanted = append(wanted, ready...)
		if len(wanted) < targetGuardians && waiting {
			return m.retryLastProposal()
		}
		wanted = m.fillFromCurrent(wanted)
	} else {
		clear(m.probedAt)
	}
	slices.Sort(wanted)
	if len(wanted) == 0 && (len(m.guardians) == 0 || m.hasWillingPeer()) {
		return m.retryLastProposal()
	}
	if m.matchesCurrent(wanted) {
		return m.retryLastProposal()
	}
	return m.proposeGuardians(wanted)
}

// matchesCurrent reports whether the applied guardians are the wanted ones and none of them has attested.
func (m *Machine) matchesCurrent(wanted []applier.MemberID) bool {
	return len(wanted) == len(m.guardians) && !slices.ContainsFunc(m.guardians, func(id applier.MemberID) bool {
		return m.attestedGuardians[id] || !slices.Contains(wanted, id)
	})
}

// hasWillingPeer reports whether another member exists that has not refused to be a guardian.
func (m *Machine) hasWillingPeer() bool {
	for id := range m.peers {
		if !m.unwilling[id] {
			return true
		}
	}
	return false
}

// retainedGuardians returns the current guardians that need no replacement.
func (m *Machine) retainedGuardians() []applier.MemberID {
	var kept []applier.MemberID
	for _, id := range m.guardians {
		p, present := m.peers[id]
		unfit := !present || m.unwilling[id] || m.unresponsive(id) || id == m.upgrade ||
			(p.draining && m.activeOthers > 0)
		if !unfit && len(kept) < targetGuardians {
			kept = append(kept, id)
		}
	}
	return kept
}

// unresponsive reports whether a guardian has not answered for two terms, or for half a term if no guardian answered
// within half a term. The shorter limit prevents a cascade: a member whose lease has lapsed renews nobody, so in a
// small cluster the loss of a few members could make the leases of all others lapse in turn.
func (m *Machine) unresponsive(id applier.MemberID) bool {
	limit := m.config.Term / 2
	for _, g := range m.guardians {
		if m.now <= m.lastSuitableAnswer[g]+limit {
			limit = 2 * m.config.Term
			break
		}
	}
	return m.now > m.lastSuitableAnswer[id]+limit
}

// fillFromCurrent fills a set with current guardians that should be replaced, since an unresponsive guardian is better
// than none.
func (m *Machine) fillFromCurrent(set []applier.MemberID) []applier.MemberID {
	for _, id := range m.guardians {
		_, present := m.peers[id]
		if len(set) < targetGuardians && present && !m.unwilling[id] && !slices.Contains(set, id) {
			set = append(set, id)
		}
	}
	return set
}

// probeCandidates returns up to count candidates that answered recently, and whether others may still answer.
func (m *Machine) probeCandidates(count int) (ready []applier.MemberID, waiting bool) {
	for len(m.probedAt) < count {
		id, found := m.bestCandidate()
		if !found {
			break
		}
		m.probedAt[id] = m.now
		m.nextRenewal = m.now
	}
	for _, id := range slices.Sorted(maps.Keys(m.probedAt)) {
		if len(ready) == count {
			break
		}
		if answer, answered := m.lastSuitableAnswer[id]; answered && answer >= m.probedAt[id] {
			ready = append(ready, id)
			continue
		}
		waiting = true
	}
	return ready, waiting
}

// expireProbes drops candidates that are unfit or did not answer within a term.
func (m *Machine) expireProbes() {
	for id, since := range m.probedAt {
		_, present := m.peers[id]
		late := m.now > max(since, m.lastSuitableAnswer[id])+m.config.Term
		if present && !late && !m.unwilling[id] && !slices.Contains(m.guardians, id) {
			continue
		}
		delete(m.probedAt, id)
		if late {
			m.avoidedUntil[id] = m.now + 4*m.config.Term
		}
	}
}

// bestCandidate returns the best member that is neither a guardian nor being probed. It reports false when there is
// none.
func (m *Machine) bestCandidate() (applier.MemberID, bool) {
	var best applier.MemberID
	for id, p := range m.peers {
		_, probed := m.probedAt[id]
		if probed || m.unwilling[id] || m.avoidedUntil[id] > m.now || slices.Contains(m.guardians, id) {
			continue
		}
		if p.draining && m.activeOthers > 0 {
			continue
		}
		if best == 0 || m.compareCandidates(id, best) < 0 {
			best = id
		}
	}
	return best, best != 0
}

func (m *Machine) compareCandidates(a, b applier.MemberID) int {
	return cmp.Or(cmp.Compare(m.tier(a), m.tier(b)),
		cmp.Compare(pairHash(m.config.Self, a), pairHash(m.config.Self, b)), cmp.Compare(a, b))
}

// tier ranks a member as guardian; lower is better. A member in another zone is preferred even if this process guards
// it.
func (m *Machine) tier(id applier.MemberID) int {
	p, tier := m.peers[id], 0
	if p.draining {
		tier += 4
	}
	if p.zone == m.zone {
		tier += 2
	}
	if p.guardedBySelf {
		tier++
	}
	return tier
}

// Of two members that guard each other, the one with the lower id looks for another guardian in one of
// lowerIDReplaceRounds rounds. If only the other one did, the pair would last as long as that one guards all its other
// candidates.
const lowerIDReplaceRounds = 4

// checkUpgrade periodically selects a guardian that a better candidate should replace. Of two members that guard each
// other, usually only the one with the higher id replaces the other, so that they don't both change.
func (m *Machine) checkUpgrade() {
	if m.now < m.nextUpgrade {
		return
	}
	m.nextUpgrade = m.now + 2*time.Second + time.Duration(m.config.Rand.Int64N(int64(2*time.Second)))
	m.upgrade = 0
	best, found := m.bestCandidate()
	if !found || len(m.proposals) > 0 || !m.Valid(m.now) {
		return
	}
	for _, id := range m.guardians {
		tier := m.tier(id)
		if m.peers[id].guardedBySelf && m.config.Self < id && m.config.Rand.IntN(lowerIDReplaceRounds) > 0 {
			tier--
		}
		if m.tier(best) < tier {
			m.upgrade = id
		}
	}
}

// pairHash orders candidates differently for each member, which makes the guardian graph random.
func pairHash(a, b applier.MemberID) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(a))
	binary.LittleEndian.PutUint64(buffer[8:], uint64(b))
	return xxhash.Sum64(buffer[:])
}
