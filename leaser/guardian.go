package leaser

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hibiscusline/applier"
)

// caretakers is the number of members that look after a member whose guardians are all removed.
const caretakers = 2

// guard is what a machine keeps of a member to which it made a promise or which it guards.
type guard struct {
	// until is when the last promise expires; no attestation is made before.
	until time.Duration
	// attested is the highest version that this process has committed not to renew.
	attested applier.Offset
	// version is the guardian version in force, or zero while this process is not a guardian.
	version applier.Offset
	others  []applier.MemberID
	// caretaker is set while all guardians are removed and this process acts in their place.
	caretaker bool
	// rank delays the append, so that usually only one process appends.
	rank  int
	heard map[applier.MemberID]applier.Offset
	// announced is the highest version whose attestation the other guardians were told.
	announced   applier.Offset
	nextRequest time.Duration
	nextAppend  time.Duration
	backoff     time.Duration
}

// guardian is the part of a machine that guards other members.
type guardian struct {
	guards map[applier.MemberID]*guard
	// missing holds when this process first applied a state without a guardian that a guarded member names.
	missing     map[applier.MemberID]time.Duration
	nextReplace time.Duration
}

func (m *Machine) guardOf(id applier.MemberID) *guard {
	g, present := m.guards[id]
	if !present {
		g = &guard{heard: map[applier.MemberID]applier.Offset{}}
		m.guards[id] = g
	}
	return g
}

// answerRenewal promises for any member of the state. The member need not name this process as guardian yet, since it asks
// candidates before it proposes them. A lapsed guardian says so first, because naming it again would not help the owner.
func (m *Machine) answerRenewal(from applier.MemberID, r Renew) Message {
	refusal := Refusal{Version: r.Version, Sequence: r.Sequence}
	if _, present := m.peers[from]; !present {
		refusal.Reason = NotPresent
		return refusal
	}
	g := m.guardOf(from)
	switch {
	case m.leaving, m.stopping && g.version == 0:
		refusal.Reason = Unwilling
	case !m.Valid(m.now):
		refusal.Reason = Lapsed
	case g.attested >= r.Version:
		refusal.Reason = Attested
	case r.Unheard:
		refusal.Reason = Unheard
	default:
		g.until = max(g.until, m.now+m.longTerm())
		return Promise{Sequence: r.Sequence}
	}
	return refusal
}

func (m *Machine) answerAttestRequest(from applier.MemberID, r AttestRequest) []Action {
	m.noteAttestation(from, r.Member, r.Version)
	if g, present := m.guards[r.Member]; present && g.attested >= r.Version {
		return []Action{Send{To: from, Message: Attestation(r)}}
	}
	return nil
}

func (m *Machine) noteAttestation(from, member applier.MemberID, version applier.Offset) {
	if _, present := m.peers[member]; present {
		g := m.guardOf(member)
		g.heard[from] = max(g.heard[from], version)
	}
}

// applyGuarded brings the guards in line with a newly applied state.
func (m *Machine) applyGuarded(s *applier.State) {
	maps.DeleteFunc(m.guards, func(id applier.MemberID, _ *guard) bool { _, present := m.peers[id]; return !present })
	missing := map[applier.MemberID]time.Duration{}
	for id := range m.peers {
		member := s.Members[id]
		guards := member.GuardedBy(m.config.Self)
		rank, cares := 0, false
		if !guards {
			rank, cares = m.caretakerRank(member)
		}
		if !guards && !cares {
			if g, present := m.guards[id]; present {
				g.version, g.caretaker = 0, false
			}
			continue
		}
		m.applyGuard(member, cares, rank)
		for _, other := range member.Guardians {
			if _, present := s.Members[other]; !present {
				missing[other] = m.now
			}
		}
	}
	for id := range missing {
		if since, known := m.missing[id]; known {
			missing[id] = since
		}
	}
	m.missing = missing
}

func (m *Machine) applyGuard(member *applier.Member, cares bool, rank int) {
	g := m.guardOf(member.ID)
	if g.version == member.GuardianVersion && g.caretaker == cares {
		return
	}
	g.version, g.caretaker, g.rank = member.GuardianVersion, cares, rank
	g.others = slices.DeleteFunc(slices.Clone(member.Guardians), func(id applier.MemberID) bool { return id == m.config.Self })
	g.nextRequest, g.nextAppend, g.backoff = 0, 0, 0
	g.until = max(g.until, m.now+m.longTerm())
}

// caretakerRank reports whether this process looks after a member whose guardians are all removed, and its rank in that.
func (m *Machine) caretakerRank(member *applier.Member) (int, bool) {
	if len(member.Guardians) == 0 {
		return 0, false
	}
	for _, id := range member.Guardians {
		if _, present := m.peers[id]; present {
			return 0, false
		}
	}
	rank, own := 0, pairHash(member.ID, m.config.Self)
	for id := range m.peers {
		if id != member.ID && cmp.Or(cmp.Compare(pairHash(member.ID, id), own), cmp.Compare(id, m.config.Self)) < 0 {
			rank++
		}
	}
	return rank, rank < caretakers && m.present
}

// stepGuardian attests expired promises, collects the attestations of other guardians and appends take-overs.
func (m *Machine) stepGuardian() []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.guards)) {
		g := m.guards[id]
		if g.version == 0 || m.now < g.until {
			continue
		}
		if !g.caretaker {
			g.attested = max(g.attested, g.version)
			actions = append(actions, m.requestAttestations(id, g)...)
		}
		if m.complete(g) {
			actions = append(actions, m.takeOver(id, g)...)
		}
	}
	return append(actions, m.askReplacement()...)
}

func (m *Machine) requestAttestations(id applier.MemberID, g *guard) []Action {
	if m.now < g.nextRequest {
		return nil
	}
	g.nextRequest = m.now + m.config.RenewalInterval
	// The first request also goes to a guardian that has attested, since it may wait for this attestation.
	first := g.announced < g.version
	g.announced = max(g.announced, g.version)
	var actions []Action
	for _, other := range g.others {
		if _, present := m.peers[other]; present && (first || g.heard[other] < g.version) {
			actions = append(actions, Send{To: other, Message: AttestRequest{Member: id, Version: g.version}})
		}
	}
	return actions
}

// complete reports whether every guardian has attested. A removed guardian counts as attested one term after its removal
// was applied here, since it made its last promise while its own lease was valid.
func (m *Machine) complete(g *guard) bool {
	for _, other := range g.others {
		if g.heard[other] >= g.version {
			continue
		}
		since, removed := m.missing[other]
		if !removed || m.now < since+m.longTerm() {
			return false
		}
	}
	return true
}

// takeOver appends the record at once if this process is the first of those that can, and after a delay otherwise.
func (m *Machine) takeOver(id applier.MemberID, g *guard) []Action {
	if g.backoff == 0 {
		delay := time.Duration(g.rank) * m.config.Term
		for _, other := range g.others {
			if _, present := m.peers[other]; present && other < m.config.Self {
				delay += m.config.Term / 3
			}
		}
		g.backoff, g.nextAppend = firstBackoff, m.now+delay
	}
	if m.now < g.nextAppend {
		return nil
	}
	g.nextAppend = m.now + g.backoff
	g.backoff = min(2*g.backoff, lastBackoff)
	record := applier.TakeOver{Member: id, Version: g.version}
	if !g.caretaker {
		record.AttestedBy = append(record.AttestedBy, m.config.Self)
	}
	for _, other := range g.others {
		if g.heard[other] >= g.version {
			record.AttestedBy = append(record.AttestedBy, other)
		}
	}
	slices.Sort(record.AttestedBy)
	return []Action{Append{Record: record}}
}

// askReplacement asks the guarded members to name other guardians while this process stops.
func (m *Machine) askReplacement() []Action {
	if !m.stopping || m.now < m.nextReplace {
		return nil
	}
	m.nextReplace = m.now + m.config.RenewalInterval
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.guards)) {
		if g := m.guards[id]; g.version != 0 && !g.caretaker {
			actions = append(actions, Send{To: id, Message: ReplaceRequest{}})
		}
	}
	return actions
}
