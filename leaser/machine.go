package leaser

import (
	"math"
	"math/rand/v2"
	"time"

	"hibiscusline/applier"
)

// NoExpiry is the ValidUntil of a member that no guardian can take over.
const NoExpiry = time.Duration(math.MaxInt64)

// Config describes a machine. Zero durations, Drift and Rand select defaults.
type Config struct {
	Self applier.MemberID
	// Term is the nominal length of a promise; 900 ms by default.
	Term time.Duration
	// Renewal is the time between two renewals; 250 ms by default.
	RenewalInterval time.Duration
	// Drift is the largest relative error of a clock's rate; 0.05 by default.
	MaxClockDrift float64
	// Rand spreads changes that many members would otherwise make at once.
	Rand *rand.Rand
}

// Event is an input of a machine. The types of this package that implement it are the only ones.
type Event interface{ event() }

// Tick lets time pass. It is due at least every 50 ms, since an expired promise is noticed only in a step.
type Tick struct{}

// StateApplied reports that records were applied. The state is read only during the call.
type StateApplied struct{ State *applier.State }

// Received reports a message.
type Received struct {
	From    applier.MemberID
	Message Message
}

// Stopping starts a graceful stop: the members that this one guards are asked to replace it. Its own lease goes on.
type Stopping struct{}

// Leaving ends all promising. It must precede the append of the member's Leave record: other guardians count a removed
// guardian as attested one term after they applied its removal, whatever the removing record was.
type Leaving struct{}

func (Tick) event()         {}
func (StateApplied) event() {}
func (Received) event()     {}
func (Stopping) event()     {}
func (Leaving) event()      {}

// Action is an output of a machine. The types of this package that implement it are the only ones.
type Action interface{ action() }

// Send transmits a message; it may be lost, late or repeated.
type Send struct {
	To      applier.MemberID
	Message Message
}

// Append writes a record to the log; it may land late or more than once.
type Append struct{ Record applier.Record }

func (Send) action()   {}
func (Append) action() {}

// peer is what a machine keeps of another member of the applied state.
type peer struct {
	zone     string
	draining bool
	// mutual members name this one as guardian.
	mutual bool
}

// Machine is the lease state of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	applied applier.Offset
	present bool
	removed bool
	zone    string
	peers   map[applier.MemberID]peer
	// activeOthers counts the other members that are not draining.
	activeOthers int
	stopping     bool
	leaving      bool

	owner
	guardian
}

// New returns the machine of a process that has applied nothing.
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
		owner: newOwner(), guardian: guardian{guards: map[applier.MemberID]*guard{}},
	}
}

// Step takes an event at a time of the clock of package timer and returns what to do, in order.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.notePause(now)
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
	actions = append(actions, m.plan()...)
	return append(actions, m.renew()...)
}

// ValidUntil returns until when this process may serve as owner, by its own clock. It is NoExpiry for a member that no
// record can take over, and zero when the state doesn't have the member. A proposal counts from the step that appends it:
// the record may land, and its guardians may attest, long before this process applies it.
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

// notePause advances the clock. After a pause of this process, renewals and answers may still wait in its queues, so the
// silence of others is counted anew.
func (m *Machine) notePause(now time.Duration) {
	pause := now - m.now
	m.now = max(m.now, now)
	if pause < m.config.Term/2 {
		return
	}
	for _, g := range m.guards {
		g.until = max(g.until, m.now+2*m.config.RenewalInterval)
	}
	for id := range m.answered {
		m.answered[id] = m.now
	}
	for id := range m.heard {
		m.heard[id] = m.now
	}
}

func (m *Machine) receive(from applier.MemberID, message Message) []Action {
	switch v := message.(type) {
	case Renew:
		return []Action{Send{To: from, Message: m.answerRenewal(from, v)}}
	case Promise:
		m.countPromise(from, v)
	case Refusal:
		m.noteRefusal(from, v)
	case AttestRequest:
		return m.answerAttestRequest(from, v)
	case Attestation:
		m.noteAttestation(from, v.Member, v.Version)
	case ReplaceRequest:
		m.unwanted[from] = true
	}
	return nil
}

func (m *Machine) applyState(s *applier.State) {
	if s.Applied < m.applied {
		return
	}
	// Most records change no member, and a look at each of 11,000 members takes milliseconds.
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
		m.peers[id] = peer{zone: member.Zone, draining: draining, mutual: member.GuardedBy(m.config.Self)}
		if !draining {
			m.activeOthers++
		}
	}
	if present {
		m.zone = self.Zone
		m.applySelf(self)
	}
	m.applyGuarded(s)
}

// longTerm is how long a guardian waits: a term by the fastest admitted clock.
func (m *Machine) longTerm() time.Duration {
	return time.Duration(float64(m.config.Term) * (1 + m.config.MaxClockDrift))
}

// shortTerm is how long an owner counts a promise: a term by the slowest admitted clock.
func (m *Machine) shortTerm() time.Duration {
	return time.Duration(float64(m.config.Term) * (1 - m.config.MaxClockDrift))
}
