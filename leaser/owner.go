package leaser

import (
	"maps"
	"slices"
	"time"

	"hibiscusline/applier"
)

// Back-off between two appends of the same record while the state doesn't change.
const (
	firstBackoff = 2 * time.Second
	lastBackoff  = 16 * time.Second
)

type sentRenewal struct {
	sequence uint64
	at       time.Duration
}

// owner is the part of a machine that keeps the member's own lease alive.
type owner struct {
	guardians []applier.MemberID
	version   applier.Offset
	// proposals are the sets proposed from version; any of them may have landed without this process knowing.
	proposals  [][]applier.MemberID
	nextAppend time.Duration
	backoff    time.Duration

	sequence    uint64
	sent        []sentRenewal
	nextRenewal time.Duration
	// promises hold until when each member's promise counts.
	promises map[applier.MemberID]time.Duration
	// answered holds when each member last answered in a way that makes it fit as guardian.
	answered map[applier.MemberID]time.Duration
	// heard holds when each member last answered a recent renewal in any way.
	heard map[applier.MemberID]time.Duration
	// attested guardians refuse to renew the present version.
	attested map[applier.MemberID]bool
	// unwanted members asked to be replaced or refused new members to guard.
	unwanted map[applier.MemberID]bool
	// probes hold when each candidate was first asked.
	probes map[applier.MemberID]time.Duration
	// avoided holds until when each candidate that did not answer is passed over.
	avoided map[applier.MemberID]time.Duration
	// upgrade is a guardian for which a better candidate exists.
	upgrade     applier.MemberID
	nextUpgrade time.Duration
}

func newOwner() owner {
	return owner{
		promises: map[applier.MemberID]time.Duration{}, answered: map[applier.MemberID]time.Duration{},
		heard:    map[applier.MemberID]time.Duration{},
		attested: map[applier.MemberID]bool{}, unwanted: map[applier.MemberID]bool{},
		probes: map[applier.MemberID]time.Duration{}, avoided: map[applier.MemberID]time.Duration{},
	}
}

// promisedUntil returns until when a guardian set protects this member. A member without guardians can't be taken over.
func (m *Machine) promisedUntil(set []applier.MemberID) time.Duration {
	if len(set) == 0 {
		return NoExpiry
	}
	var until time.Duration
	for _, id := range set {
		until = max(until, m.promises[id])
	}
	return until
}

func (m *Machine) applySelf(self *applier.Member) {
	// A proposal that names a removed member can't land any more: had it landed before the removal, it would be applied.
	m.proposals = slices.DeleteFunc(m.proposals, func(set []applier.MemberID) bool {
		return slices.ContainsFunc(set, func(id applier.MemberID) bool { _, present := m.peers[id]; return !present })
	})
	for _, set := range []map[applier.MemberID]time.Duration{m.answered, m.heard, m.probes, m.avoided, m.promises} {
		maps.DeleteFunc(set, func(id applier.MemberID, until time.Duration) bool {
			_, present := m.peers[id]
			return !present && until < m.now
		})
	}
	maps.DeleteFunc(m.unwanted, func(id applier.MemberID, _ bool) bool { _, present := m.peers[id]; return !present })
	if self.GuardianVersion == m.version {
		return
	}
	m.version, m.guardians = self.GuardianVersion, slices.Clone(self.Guardians)
	m.proposals, m.backoff, m.nextAppend, m.upgrade = nil, 0, 0, 0
	m.nextRenewal = m.now
	clear(m.attested)
	for _, id := range m.guardians {
		m.answered[id] = m.now
		m.heard[id] = m.now
		delete(m.probes, id)
	}
}

// renew sends a renewal to every member whose promise counts or may soon count.
func (m *Machine) renew() []Action {
	if m.now < m.nextRenewal {
		return nil
	}
	targets := slices.Clone(m.guardians)
	for _, set := range m.proposals {
		targets = append(targets, set...)
	}
	targets = slices.AppendSeq(targets, maps.Keys(m.probes))
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
	m.sent = slices.DeleteFunc(m.sent, func(s sentRenewal) bool { return s.at+m.shortTerm() < m.now })
	m.sent = append(m.sent, sentRenewal{sequence: m.sequence, at: m.now})
	actions := make([]Action, 0, len(targets))
	for _, id := range targets {
		actions = append(actions, Send{To: id, Message: Renew{
			Version: m.version, Sequence: m.sequence, Unheard: m.unheard(id),
		}})
	}
	return actions
}

// unheard reports whether a member has not answered for more than two renewals. The quarter more covers the interval of the
// steps. Guardians of a member that hears nothing then let their promises lapse soon enough for its keys to be served
// again within two seconds.
func (m *Machine) unheard(id applier.MemberID) bool {
	at, known := m.heard[id]
	return known && m.now > at+2*m.config.RenewalInterval+m.config.RenewalInterval/4
}

// sentAt returns when a recent renewal was sent. An answer to an older one counts as none.
func (m *Machine) sentAt(sequence uint64) (time.Duration, bool) {
	for _, s := range m.sent {
		if s.sequence == sequence {
			return s.at, true
		}
	}
	return 0, false
}

func (m *Machine) countPromise(from applier.MemberID, p Promise) {
	if at, recent := m.sentAt(p.Sequence); recent {
		m.promises[from] = max(m.promises[from], at+m.shortTerm())
		m.answered[from], m.heard[from] = m.now, m.now
	}
}

func (m *Machine) noteRefusal(from applier.MemberID, r Refusal) {
	if _, recent := m.sentAt(r.Sequence); recent {
		m.heard[from] = m.now
		if r.Reason == Unheard {
			m.nextRenewal = m.now
		}
	}
	switch r.Reason {
	case Attested:
		if r.Version == m.version {
			m.answered[from] = m.now
			m.attested[from] = true
		}
	case Unwilling:
		m.unwanted[from] = true
	case Lapsed, NotPresent, Unheard:
		// The refusing member may be fit again soon; it counts as silent until then.
	}
}

// propose appends a guardian set unless an equal or a recent proposal is still open.
func (m *Machine) propose(set []applier.MemberID) []Action {
	if m.now < m.nextAppend {
		return nil
	}
	open := slices.ContainsFunc(m.proposals, func(p []applier.MemberID) bool { return slices.Equal(p, set) })
	// Each open proposal narrows the promises that count, so their number is bounded.
	if !open && len(m.proposals) < 3 && (m.promisedUntil(set) > m.now || !m.Valid(m.now)) {
		m.proposals = append(m.proposals, set)
		open = true
	}
	if !open {
		return m.appendLast()
	}
	return m.appendSet(set)
}

func (m *Machine) appendLast() []Action {
	if len(m.proposals) == 0 || m.now < m.nextAppend {
		return nil
	}
	return m.appendSet(m.proposals[len(m.proposals)-1])
}

func (m *Machine) appendSet(set []applier.MemberID) []Action {
	m.backoff = min(max(2*m.backoff, firstBackoff), lastBackoff)
	m.nextAppend = m.now + m.backoff
	m.nextRenewal = m.now
	return []Action{Append{Record: applier.SetGuardians{
		Member: m.config.Self, Version: m.version, Guardians: slices.Clone(set),
	}}}
}
