package leaser

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hibiscusline/applier"
)

// maxFallbackGuardians is the number of members that act as guardians of a member whose guardians are all removed.
const maxFallbackGuardians = 2

// guardedMember is the state that a machine keeps for a member that it guards or to which it made a promise.
type guardedMember struct {
	// promiseExpiry is when the last promise expires. No attestation is made before that.
	promiseExpiry time.Duration
	// attestedVersion is the highest guardian version that this process has committed not to renew.
	attestedVersion applier.Offset
	// version is the guardian version in force, or zero while this process is not a guardian.
	version        applier.Offset
	otherGuardians []applier.MemberID
	// fallback is set while all guardians are removed and this process acts in their place.
	fallback bool
	// fallbackRank delays the append of the take-over by one term for each rank, so that usually only one process
	// appends.
	fallbackRank int
	// attestations holds the highest guardian version for which each other guardian has attested.
	attestations map[applier.MemberID]applier.Offset
	// announcedVersion is the highest guardian version whose attestation was announced to the other guardians.
	announcedVersion applier.Offset
	nextRequest      time.Duration
	nextAppend       time.Duration
	backoff          time.Duration
}

// guardianState is the part of a machine that guards other members.
type guardianState struct {
	guarded map[applier.MemberID]*guardedMember
	// removedGuardians holds, for each guardian of a guarded member that is no longer a member itself, when this
	// process first applied a state without it.
	removedGuardians   map[applier.MemberID]time.Duration
	nextReplaceRequest time.Duration
}

func (m *Machine) ensureGuarded(id applier.MemberID) *guardedMember {
	g, present := m.guarded[id]
	if !present {
		g = &guardedMember{attestations: map[applier.MemberID]applier.Offset{}}
		m.guarded[id] = g
	}
	return g
}

// answerRenewal makes a promise to any member of the state. The member need not name this process as guardian yet,
// since it probes candidates before it proposes them. Lapsed takes precedence over Attested as the reason of a refusal,
// because a guardian without a lease would not help the owner if it were proposed again.
func (m *Machine) answerRenewal(from applier.MemberID, r Renew) Message {
	refusal := Refusal{Version: r.Version, Sequence: r.Sequence}
	if _, present := m.peers[from]; !present {
		refusal.Reason = NotPresent
		return refusal
	}
	g := m.ensureGuarded(from)
	switch {
	case m.leaving, m.stopping && g.version == 0:
		refusal.Reason = Unwilling
	case !m.Valid(m.now):
		refusal.Reason = Lapsed
	case g.attestedVersion >= r.Version:
		refusal.Reason = Attested
	case r.Unheard:
		refusal.Reason = Unheard
	default:
		g.promiseExpiry = max(g.promiseExpiry, m.now+m.maxTerm())
		return Promise{Sequence: r.Sequence}
	}
	return refusal
}

func (m *Machine) answerAttestRequest(from applier.MemberID, r AttestRequest) []Action {
	m.recordAttestation(from, r.Member, r.Version)
	if g, present := m.guarded[r.Member]; present && g.attestedVersion >= r.Version {
		return []Action{Send{To: from, Message: Attestation(r)}}
	}
	return nil
}

func (m *Machine) recordAttestation(from, member applier.MemberID, version applier.Offset) {
	if _, present := m.peers[member]; present {
		g := m.ensureGuarded(member)
		g.attestations[from] = max(g.attestations[from], version)
	}
}

// updateGuardedMembers updates the guarded members from a newly applied state.
func (m *Machine) updateGuardedMembers(s *applier.State) {
	maps.DeleteFunc(m.guarded, func(id applier.MemberID, _ *guardedMember) bool {
		_, present := m.peers[id]
		return !present
	})
	removed := map[applier.MemberID]time.Duration{}
	for id := range m.peers {
		member := s.Members[id]
		guards := member.GuardedBy(m.config.Self)
		rank, isFallback := 0, false
		if !guards {
			rank, isFallback = m.fallbackRank(member)
		}
		if !guards && !isFallback {
			if g, present := m.guarded[id]; present {
				g.version, g.fallback = 0, false
			}
			continue
		}
		m.updateGuarded(member, isFallback, rank)
		for _, other := range member.Guardians {
			if _, present := s.Members[other]; !present {
				removed[other] = m.now
			}
		}
	}
	for id := range removed {
		if since, known := m.removedGuardians[id]; known {
			removed[id] = since
		}
	}
	m.removedGuardians = removed
}

func (m *Machine) updateGuarded(member *applier.Member, isFallback bool, rank int) {
	g := m.ensureGuarded(member.ID)
	if g.version == member.GuardianVersion && g.fallback == isFallback {
		return
	}
	g.version, g.fallback, g.fallbackRank = member.GuardianVersion, isFallback, rank
	g.otherGuardians = slices.DeleteFunc(slices.Clone(member.Guardians), func(id applier.MemberID) bool {
		return id == m.config.Self
	})
	g.nextRequest, g.nextAppend, g.backoff = 0, 0, 0
	g.promiseExpiry = max(g.promiseExpiry, m.now+m.maxTerm())
}

// fallbackRank reports whether this process is a fallback guardian of a member whose guardians are all removed, and its
// rank among the fallback guardians, from 0.
func (m *Machine) fallbackRank(member *applier.Member) (int, bool) {
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
	return rank, rank < maxFallbackGuardians && m.present
}

// stepGuardian attests for members whose promises have expired, requests the attestations of their other guardians and
// appends take-overs.
func (m *Machine) stepGuardian() []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.guarded)) {
		g := m.guarded[id]
		if g.version == 0 || m.now < g.promiseExpiry {
			continue
		}
		if !g.fallback {
			g.attestedVersion = max(g.attestedVersion, g.version)
			actions = append(actions, m.requestAttestations(id, g)...)
		}
		if m.allAttested(g) {
			actions = append(actions, m.takeOver(id, g)...)
		}
	}
	return append(actions, m.requestReplacement()...)
}

func (m *Machine) requestAttestations(id applier.MemberID, g *guardedMember) []Action {
	if m.now < g.nextRequest {
		return nil
	}
	g.nextRequest = m.now + m.config.RenewalInterval
	// The first request also goes to guardians that have attested, since they may be waiting for this attestation.
	first := g.announcedVersion < g.version
	g.announcedVersion = max(g.announcedVersion, g.version)
	var actions []Action
	for _, other := range g.otherGuardians {
		if _, present := m.peers[other]; present && (first || g.attestations[other] < g.version) {
			actions = append(actions, Send{To: other, Message: AttestRequest{Member: id, Version: g.version}})
		}
	}
	return actions
}

// allAttested reports whether every other guardian has attested. A removed guardian counts as attested one term after
// its removal was applied here, since it made its last promise while its own lease was valid.
func (m *Machine) allAttested(g *guardedMember) bool {
	for _, other := range g.otherGuardians {
		if g.attestations[other] >= g.version {
			continue
		}
		since, removed := m.removedGuardians[other]
		if !removed || m.now < since+m.maxTerm() {
			return false
		}
	}
	return true
}

// takeOver appends the TakeOver record at once if this process is the first of those that may append it, and after a
// delay otherwise.
func (m *Machine) takeOver(id applier.MemberID, g *guardedMember) []Action {
	if g.backoff == 0 {
		delay := time.Duration(g.fallbackRank) * m.config.Term
		for _, other := range g.otherGuardians {
			if _, present := m.peers[other]; present && other < m.config.Self {
				delay += m.config.Term / 3
			}
		}
		g.backoff, g.nextAppend = initialBackoff, m.now+delay
	}
	if m.now < g.nextAppend {
		return nil
	}
	g.nextAppend = m.now + g.backoff
	g.backoff = min(2*g.backoff, maxBackoff)
	record := applier.TakeOver{Member: id, Version: g.version}
	if !g.fallback {
		record.AttestedBy = append(record.AttestedBy, m.config.Self)
	}
	for _, other := range g.otherGuardians {
		if g.attestations[other] >= g.version {
			record.AttestedBy = append(record.AttestedBy, other)
		}
	}
	slices.Sort(record.AttestedBy)
	return []Action{Append{Record: record}}
}

// requestReplacement asks the guarded members to choose other guardians while this process stops.
func (m *Machine) requestReplacement() []Action {
	if !m.stopping || m.now < m.nextReplaceRequest {
		return nil
	}
	m.nextReplaceRequest = m.now + m.config.RenewalInterval
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.guarded)) {
		if g := m.guarded[id]; g.version != 0 && !g.fallback {
			actions = append(actions, Send{To: id, Message: ReplaceRequest{}})
		}
	}
	return actions
}
