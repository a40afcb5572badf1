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

// wantedGuardians is the number of guardians of a member, where enough members exist.
const wantedGuardians = 2

// plan compares the guardians with those that the member should have. New guardians are asked for a promise first: only
// a member that answered is proposed, and its promise counts as soon as the proposal may have landed.
func (m *Machine) plan() []Action {
	m.checkUpgrade()
	m.expireProbes()
	wanted := m.keep()
	if missing := wantedGuardians - len(wanted); missing > 0 {
		ready, waiting := m.probe(missing)
		wanted = append(wanted, ready...)
		if len(wanted) < wantedGuardians && waiting {
			return m.appendLast()
		}
		wanted = m.fallBack(wanted)
	} else {
		clear(m.probes)
	}
	slices.Sort(wanted)
	if len(wanted) == 0 && (len(m.guardians) == 0 || m.hasWilling()) {
		return m.appendLast()
	}
	if m.matches(wanted) {
		return m.appendLast()
	}
	return m.propose(wanted)
}

// matches reports whether the guardians in force are the wanted ones and none of them has attested.
func (m *Machine) matches(wanted []applier.MemberID) bool {
	return len(wanted) == len(m.guardians) && !slices.ContainsFunc(m.guardians, func(id applier.MemberID) bool {
		return m.attested[id] || !slices.Contains(wanted, id)
	})
}

// hasWilling reports whether another member exists that has not asked to be left out.
func (m *Machine) hasWilling() bool {
	for id := range m.peers {
		if !m.unwanted[id] {
			return true
		}
	}
	return false
}

// keep returns the guardians that need no replacement.
func (m *Machine) keep() []applier.MemberID {
	var kept []applier.MemberID
	for _, id := range m.guardians {
		p, present := m.peers[id]
		unfit := !present || m.unwanted[id] || m.silent(id) || id == m.upgrade || (p.draining && m.activeOthers > 0)
		if !unfit && len(kept) < wantedGuardians {
			kept = append(kept, id)
		}
	}
	return kept
}

// silent reports whether a guardian has not answered for two terms. When all guardians are silent, half a term is enough:
// a lapsed member renews nobody, so in a small cluster the loss of few members could lapse all others in turn.
func (m *Machine) silent(id applier.MemberID) bool {
	limit := m.config.Term / 2
	for _, g := range m.guardians {
		if m.now <= m.answered[g]+limit {
			limit = 2 * m.config.Term
			break
		}
	}
	return m.now > m.answered[id]+limit
}

// fallBack fills a set with present guardians that are not the best ones, since a doubtful guardian beats none.
func (m *Machine) fallBack(set []applier.MemberID) []applier.MemberID {
	for _, id := range m.guardians {
		_, present := m.peers[id]
		if len(set) < wantedGuardians && present && !m.unwanted[id] && !slices.Contains(set, id) {
			set = append(set, id)
		}
	}
	return set
}

// probe returns up to count candidates that answered recently and whether others may still answer.
func (m *Machine) probe(count int) (ready []applier.MemberID, waiting bool) {
	for len(m.probes) < count {
		id, found := m.bestCandidate()
		if !found {
			break
		}
		m.probes[id] = m.now
		m.nextRenewal = m.now
	}
	for _, id := range slices.Sorted(maps.Keys(m.probes)) {
		if len(ready) == count {
			break
		}
		if answer, answered := m.answered[id]; answered && answer >= m.probes[id] {
			ready = append(ready, id)
			continue
		}
		waiting = true
	}
	return ready, waiting
}

// expireProbes gives up candidates that are unfit or did not answer within a term.
func (m *Machine) expireProbes() {
	for id, since := range m.probes {
		_, present := m.peers[id]
		late := m.now > max(since, m.answered[id])+m.config.Term
		if present && !late && !m.unwanted[id] && !slices.Contains(m.guardians, id) {
			continue
		}
		delete(m.probes, id)
		if late {
			m.avoided[id] = m.now + 4*m.config.Term
		}
	}
}

// bestCandidate returns the best member that is neither a guardian nor already asked.
func (m *Machine) bestCandidate() (applier.MemberID, bool) {
	var best applier.MemberID
	for id, p := range m.peers {
		_, probed := m.probes[id]
		if probed || m.unwanted[id] || m.avoided[id] > m.now || slices.Contains(m.guardians, id) {
			continue
		}
		if p.draining && m.activeOthers > 0 {
			continue
		}
		if best == 0 || m.compare(id, best) < 0 {
			best = id
		}
	}
	return best, best != 0
}

func (m *Machine) compare(a, b applier.MemberID) int {
	return cmp.Or(cmp.Compare(m.tier(a), m.tier(b)),
		cmp.Compare(pairHash(m.config.Self, a), pairHash(m.config.Self, b)), cmp.Compare(a, b))
}

// tier ranks a member as guardian; lower is better. A zone of its own counts more than avoiding a mutual pair.
func (m *Machine) tier(id applier.MemberID) int {
	p, tier := m.peers[id], 0
	if p.draining {
		tier += 4
	}
	if p.zone == m.zone {
		tier += 2
	}
	if p.mutual {
		tier++
	}
	return tier
}

// lowerGivesUp is the inverse share of the rounds in which the member with the lower id gives its mutual guardian up. Without
// them a pair lasts as long as all other candidates of the one with the higher id guard that one too.
const lowerGivesUp = 4

// checkUpgrade looks from time to time for a guardian that a better candidate could replace. Of two mutual guardians
// mostly the one with the higher id gives the other up, so that they don't both change.
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
		if m.peers[id].mutual && m.config.Self < id && m.config.Rand.IntN(lowerGivesUp) > 0 {
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
