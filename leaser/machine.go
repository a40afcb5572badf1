package leaser

import (
	"math"
	"math/rand/v2"
	"time"

	"hibiscusline/applier"
)

// NoExpiry is the ValidUntil of a member that no guardian can take over.
const NoExpiry = time.Duration(math.MaxInt64)

// Config configures a Machine. Zero values other than Self select defaults.
type Config struct {
	Self applier.MemberID
	// Term is the nominal duration of a promise; 900 ms by default.
	Term time.Duration
	// RenewalInterval is the time between two renewals; 250 ms by default.
	RenewalInterval time.Duration
	// MaxClockDrift is the largest relative error of a clock's rate; 0.05 by default.
	MaxClockDrift float64
	// Rand adds jitter to changes that many members would otherwise make at once; seeded from Self by default.
	Rand *rand.Rand
}

// Event is an input of a machine. The types of this package that implement it are the only ones.
type Event interface{ event() }

// Tick advances the time. Callers send it at least every 50 ms, since an expired promise is noticed only in a step.
type Tick struct{}

// StateApplied reports that records were applied. The state is read only during the call.
type StateApplied struct{ State *applier.State }

// Received reports a message from another member.
type Received struct {
	From    applier.MemberID
	Message Message
}

// Stopping starts a graceful shutdown: the members that this one guards are asked to replace it as guardian. Its own
// lease is still renewed.
type Stopping struct{}

// Leaving makes the machine refuse all renewals. It must precede the append of the member's Leave record: other
// guardians count a removed guardian as attested one term after they applied its removal, whatever the removing record
// was.
type Leaving struct{}

func (Tick) event()         {}
func (StateApplied) event() {}
func (Received) event()     {}
func (Stopping) event()     {}
func (Leaving) event()      {}

// Action is an output of a machine. The types of this package that implement it are the only ones.
type Action interface{ action() }

// Send sends a message, which may be lost, delayed or duplicated.
type Send struct {
	To      applier.MemberID
	Message Message
}

// Append appends a record to the log, where it may arrive late or more than once.
type Append struct{ Record applier.Record }

func (Send) action()   {}
func (Append) action() {}

// peer is another member of the applied state.
type peer struct {
	zone     string
	draining bool
	// guardedBySelf means that the peer names this member as a guardian. The pair would guard each other if this member
	// chose the peer as guardian.
	guardedBySelf bool
}

// Machine is the lease state machine of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	applied applier.Offset
	// present means that the applied state has this member; removed means that it had it and no longer has it.
	present bool
	removed bool
	zone    string
	peers   map[applier.MemberID]peer
	// activeOthers counts the other members that are not draining.
	activeOthers int
	stopping     bool
	leaving      bool

	ownerState
	guardianState
}

// New returns the machine of a process that has applied no record yet.
func New(config Config) *Machine {
	if config.Term <= 0 {
		config.Term = 900 * time.Millisecond
	}
	if config.RenewalInterval <= 0 {
		config.RenewalInterval = 250 * time.Millisecond
	}
	if config.MaxClockDrift <= 0 {
		config.MaxClockDrift = 0.05
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(uint64(config.Self), 0))
	}
	return &Machine{
		config: config, peers: map[applier.MemberID]peer{},
		ownerState: newOwnerState(), guardianState: guardianState{guarded: map[applier.MemberID]*guardedMember{}},
	}
}

// Step handles an event and returns the actions to take, in order. now is read from the clock of package timer.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.advanceClock(now)
	var actions []Action
	switch v := e.(type) {
	case StateApplied:
		m.applyState(v.State)
	case Received:
		actions = m.receive(v.From, v.Message)
	case Stopping:
		m.stopping = true
	case Leaving:
		m.stopping, m.leaving = true, true
	}
	actions = append(actions, m.stepGuardian()...)
	if !m.present {
		return actions
	}
	actions = append(actions, m.planGuardians()...)
	return append(actions, m.sendRenewals()...)
}

// ValidUntil returns until when this process may serve as owner, by its own clock. It is NoExpiry for a member that no
// record can take over, and zero when the state doesn't have the member. A proposal counts from the step that appends
// it: the record may be in the log, and its guardians may attest, long before this process applies it.
func (m *Machine) ValidUntil() time.Duration {
	if !m.present {
		return 0
	}
	until := m.promisedUntil(m.guardians)
	for _, proposal := range m.proposals {
		until = min(until, m.promisedUntil(proposal))
	}
	return until
}

// Valid reports whether this process may serve as owner at a time of its own clock.
func (m *Machine) Valid(now time.Duration) bool { return now < m.ValidUntil() }

// Removed reports whether the state had this member and no longer has it. The process must join again with a new id.
func (m *Machine) Removed() bool { return m.removed }

// advanceClock sets the current time. After a pause of this process, renewals and answers may still wait in its queues,
// so the timeouts of other members start again.
func (m *Machine) advanceClock(now time.Duration) {
	pause := now - m.now
	m.now = max(m.now, now)
	if pause < m.config.Term/2 {
		return
	}
	for _, g := range m.guarded {
		g.promiseExpiry = max(g.promiseExpiry, m.now+2*m.config.RenewalInterval)
	}
	for id := range m.lastSuitableAnswer {
		m.lastSuitableAnswer[id] = m.now
	}
	for id := range m.lastHeard {
		m.lastHeard[id] = m.now
	}
}

func (m *Machine) receive(from applier.MemberID, message Message) []Action {
	switch v := message.(type) {
	case Renew:
		return []Action{Send{To: from, Message: m.answerRenewal(from, v)}}
	case Promise:
		m.handlePromise(from, v)
	case Refusal:
		m.handleRefusal(from, v)
	case AttestRequest:
		return m.answerAttestRequest(from, v)
	case Attestation:
		m.recordAttestation(from, v.Member, v.Version)
	case ReplaceRequest:
		m.unwilling[from] = true
	}
	return nil
}

func (m *Machine) applyState(s *applier.State) {
	if s.Applied < m.applied {
		return
	}
	// Most records change no member, and a scan of 11,000 members takes milliseconds.
	seen := m.applied > 0 && s.LastMemberChange() <= m.applied
	m.applied = s.Applied
	if seen {
		return
	}
	self, present := s.Members[m.config.Self]
	m.removed = m.removed || (m.present && !present)
	m.present = present
	m.activeOthers = 0
	clear(m.peers)
	for id, member := range s.Members {
		if id == m.config.Self {
			continue
		}
		draining := member.Status != applier.Active
		m.peers[id] = peer{zone: member.Zone, draining: draining, guardedBySelf: member.GuardedBy(m.config.Self)}
		if !draining {
			m.activeOthers++
		}
	}
	if present {
		m.zone = self.Zone
		m.applySelf(self)
	}
	m.updateGuardedMembers(s)
}

// maxTerm is how long a guardian waits for its promise to expire: a term plus the largest drift, as its clock may run
// fast.
func (m *Machine) maxTerm() time.Duration {
	return time.Duration(float64(m.config.Term) * (1 + m.config.MaxClockDrift))
}

// minTerm is how long an owner counts a promise: a term less the largest drift, as its clock may run slow.
func (m *Machine) minTerm() time.Duration {
	return time.Duration(float64(m.config.Term) * (1 - m.config.MaxClockDrift))
}
