package leaser

import (
	"maps"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Bounds of the exponential backoff between appends of the same record while the state doesn't change.
const (
	initialBackoff = 2 * time.Second
	maxBackoff     = 16 * time.Second
)

type sentRenewal struct {
	sequence uint64
	at       time.Duration
}

// ownerState is the part of a machine that keeps the member's own lease valid.
type ownerState struct {
	guardians []applier.MemberID
	version   applier.Offset
	// proposals are the guardian sets proposed on the basis of version. Any of them may be in the log without this
	// process having read it.
	proposals  [][]applier.MemberID
	nextAppend time.Duration
	backoff    time.Duration

	sequence     uint64
	sentRenewals []sentRenewal
	nextRenewal  time.Duration
	// promiseExpiry holds until when each member's promise counts.
	promiseExpiry map[applier.MemberID]time.Duration
	// lastSuitableAnswer holds when each member last answered in a way that makes it suitable as guardian: with a
	// promise, or by refusing the current guardian version as attested, since it can promise for a later one.
	lastSuitableAnswer map[applier.MemberID]time.Duration
	// lastHeard holds when each member last answered a recent renewal, with a promise or a refusal.
	lastHeard map[applier.MemberID]time.Duration
	// attestedGuardians refuse to renew the current guardian version.
	attestedGuardians map[applier.MemberID]bool
	// unwilling members asked to be replaced as guardian or refuse to guard further members.
	unwilling map[applier.MemberID]bool
	// probedAt holds when each candidate was first asked for a promise.
	probedAt map[applier.MemberID]time.Duration
	// avoidedUntil holds until when a candidate that did not answer is skipped.
	avoidedUntil map[applier.MemberID]time.Duration
	// upgrade is the guardian to replace because a better candidate exists, or zero.
	upgrade     applier.MemberID
	nextUpgrade time.Duration
}

func newOwnerState() ownerState {
	return ownerState{
		promiseExpiry: map[applier.MemberID]time.Duration{}, lastSuitableAnswer: map[applier.MemberID]time.Duration{},
		lastHeard:         map[applier.MemberID]time.Duration{},
		attestedGuardians: map[applier.MemberID]bool{}, unwilling: map[applier.MemberID]bool{},
		probedAt: map[applier.MemberID]time.Duration{}, avoidedUntil: map[applier.MemberID]time.Duration{},
	}
}

// promisedUntil returns until when a guardian set can't take over this member. A member without guardians can't be
// taken over at all.
func (m *Machine) promisedUntil(set []applier.MemberID) time.Duration {
	if len(set) == 0 {
		return NoExpiry
	}
	var until time.Duration
	for _, id := range set {
		until = max(until, m.promiseExpiry[id])
	}
	return until
}

func (m *Machine) applySelf(self *applier.Member) {
	// A proposal that names a removed member is rejected from now on; had it been appended before the removal, it would
	// have been applied.
	m.proposals = slices.DeleteFunc(m.proposals, func(set []applier.MemberID) bool {
		return slices.ContainsFunc(set, func(id applier.MemberID) bool { _, present := m.peers[id]; return !present })
	})
	for _, times := range []map[applier.MemberID]time.Duration{
		m.lastSuitableAnswer, m.lastHeard, m.probedAt, m.avoidedUntil, m.promiseExpiry,
	} {
		maps.DeleteFunc(times, func(id applier.MemberID, at time.Duration) bool {
			_, present := m.peers[id]
			return !present && at < m.now
		})
	}
	maps.DeleteFunc(m.unwilling, func(id applier.MemberID, _ bool) bool { _, present := m.peers[id]; return !present })
	if self.GuardianVersion == m.version {
		return
	}
	m.version, m.guardians = self.GuardianVersion, slices.Clone(self.Guardians)
	m.proposals, m.backoff, m.nextAppend, m.upgrade = nil, 0, 0, 0
	m.nextRenewal = m.now
	clear(m.attestedGuardians)
	for _, id := range m.guardians {
		m.lastSuitableAnswer[id] = m.now
		m.lastHeard[id] = m.now
		delete(m.probedAt, id)
	}
}

// sendRenewals sends a renewal to every guardian, proposed guardian and candidate.
func (m *Machine) sendRenewals() []Action {
	if m.now < m.nextRenewal {
		return nil
	}
	targets := slices.Clone(m.guardians)
	for _, set := range m.proposals {
		targets = append(targets, set...)
	}
	targets = slices.AppendSeq(targets, maps.Keys(m.probedAt))
	slices.Sort(targets)
	targets = slices.DeleteFunc(slices.Compact(targets), func(id applier.MemberID) bool {
		_, present := m.peers[id]
		return !present
	})
	m.nextRenewal = m.now + m.config.RenewalInterval
	if len(targets) == 0 {
		return nil
	}
	m.sequence++
	m.sentRenewals = slices.DeleteFunc(m.sentRenewals, func(s sentRenewal) bool { return s.at+m.minTerm() < m.now })
	m.sentRenewals = append(m.sentRenewals, sentRenewal{sequence: m.sequence, at: m.now})
	actions := make([]Action, 0, len(targets))
	for _, id := range targets {
		actions = append(actions, Send{To: id, Message: Renew{
			Version: m.version, Sequence: m.sequence, Unheard: m.lacksRecentAnswer(id),
		}})
	}
	return actions
}

// lacksRecentAnswer reports whether a member has not answered for more than two renewals. The additional quarter of an
// interval covers the time between steps. With this limit, the promises to an owner that receives no answers lapse soon
// enough for its keys to be served again within two seconds.
func (m *Machine) lacksRecentAnswer(id applier.MemberID) bool {
	at, known := m.lastHeard[id]
	return known && m.now > at+2*m.config.RenewalInterval+m.config.RenewalInterval/4
}

// sentAt returns when a recent renewal was sent. It reports false for an older one, whose answer is ignored.
func (m *Machine) sentAt(sequence uint64) (time.Duration, bool) {
	for _, s := range m.sentRenewals {
		if s.sequence == sequence {
			return s.at, true
		}
	}
	return 0, false
}

func (m *Machine) handlePromise(from applier.MemberID, p Promise) {
	if at, recent := m.sentAt(p.Sequence); recent {
		m.promiseExpiry[from] = max(m.promiseExpiry[from], at+m.minTerm())
		m.lastSuitableAnswer[from], m.lastHeard[from] = m.now, m.now
	}
}

func (m *Machine) handleRefusal(from applier.MemberID, r Refusal) {
	if _, recent := m.sentAt(r.Sequence); recent {
		m.lastHeard[from] = m.now
		if r.Reason == Unheard {
			m.nextRenewal = m.now
		}
	}
	switch r.Reason {
	case Attested:
		if r.Version == m.version {
			m.lastSuitableAnswer[from] = m.now
			m.attestedGuardians[from] = true
		}
	case Unwilling:
		m.unwilling[from] = true
	case Lapsed, NotPresent, Unheard:
		// The refusing member may be suitable again soon; until then it counts as unresponsive.
	}
}

// proposeGuardians appends a guardian set. It backs off after an append, and repeats the last proposal instead if the
// set may not be added to the open ones.
func (m *Machine) proposeGuardians(set []applier.MemberID) []Action {
	if m.now < m.nextAppend {
		return nil
	}
	open := slices.ContainsFunc(m.proposals, func(p []applier.MemberID) bool { return slices.Equal(p, set) })
	// Each open proposal adds a set that needs an unexpired promise, so their number is bounded.
	if !open && len(m.proposals) < 3 && (m.promisedUntil(set) > m.now || !m.Valid(m.now)) {
		m.proposals = append(m.proposals, set)
		open = true
	}
	if !open {
		return m.retryLastProposal()
	}
	return m.appendProposal(set)
}

func (m *Machine) retryLastProposal() []Action {
	if len(m.proposals) == 0 || m.now < m.nextAppend {
		return nil
	}
	return m.appendProposal(m.proposals[len(m.proposals)-1])
}

func (m *Machine) appendProposal(set []applier.MemberID) []Action {
	m.backoff = min(max(2*m.backoff, initialBackoff), maxBackoff)
	m.nextAppend = m.now + m.backoff
	m.nextRenewal = m.now
	return []Action{Append{Record: applier.SetGuardians{
		Member: m.config.Self, Version: m.version, Guardians: slices.Clone(set),
	}}}
}
