package leaser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hibiscusline/applier"
)

const simulationStep = 10 * time.Millisecond

type process struct {
	id      applier.MemberID
	machine *Machine
	state   *applier.State
	// rate and offset convert the simulated time to the time of the process's clock.
	rate        float64
	offset      time.Duration
	zone        int
	alive       bool
	pausedUntil time.Duration
	// lagUntil is when the process reads the log again.
	lagUntil time.Duration
	// cutUntil is when a cut from all other processes ends.
	cutUntil time.Duration
	// inboundCutUntil and outboundCutUntil are when a cut in one direction ends.
	inboundCutUntil  time.Duration
	outboundCutUntil time.Duration
	restartAt        time.Duration
	leaveAt          time.Duration
	// cutFrom holds, by sender, until when messages to this process are lost.
	cutFrom map[applier.MemberID]time.Duration
}

type delivery struct {
	at       time.Duration
	from, to applier.MemberID
	message  []byte
}

type pendingAppend struct {
	at     time.Duration
	record applier.Record
}

// simulation runs machines against a log to which appends arrive late, out of order or twice.
type simulation struct {
	random         *rand.Rand
	now            time.Duration
	logState       applier.State
	log            []applier.Envelope
	pendingAppends []pendingAppend
	deliveries     []delivery
	processes      []*process
	logDownUntil   time.Duration
	nextID         applier.MemberID
	// faultProbability is the probability that a message is lost, delayed or duplicated, or an append delayed and
	// duplicated.
	faultProbability float64
}

func newSimulation(seed uint64, count, zones int, faultProbability float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), faultProbability: faultProbability}
	for i := range count {
		p := &process{zone: i % zones}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	return s
}

func (s *simulation) start(p *process) {
	s.nextID++
	zone := p.zone
	*p = process{
		id: s.nextID*0x9e37 + applier.MemberID(s.random.IntN(0x9000)), state: &applier.State{}, alive: true, zone: zone,
		rate: 0.98 + 0.04*s.random.Float64(), offset: time.Duration(s.random.IntN(1_000_000)) * time.Millisecond,
		cutFrom: map[applier.MemberID]time.Duration{},
	}
	p.machine = New(Config{Self: p.id})
	s.append(applier.Join{Member: applier.Member{ID: p.id, Zone: fmt.Sprint(zone)}})
}

func (s *simulation) clock(p *process) time.Duration {
	return p.offset + time.Duration(float64(s.now)*p.rate)
}

func (s *simulation) valid(p *process) bool { return p.alive && p.machine.Valid(s.clock(p)) }

func (s *simulation) append(r applier.Record) {
	delay := time.Duration(5+s.random.IntN(30)) * time.Millisecond
	if s.random.Float64() < s.faultProbability {
		delay = time.Duration(s.random.IntN(4000)) * time.Millisecond
		s.pendingAppends = append(s.pendingAppends, pendingAppend{
			s.now + time.Duration(s.random.IntN(6000))*time.Millisecond, r,
		})
	}
	s.pendingAppends = append(s.pendingAppends, pendingAppend{s.now + delay, r})
}

func (s *simulation) applyAppends() {
	if s.now < s.logDownUntil {
		return
	}
	s.pendingAppends = slices.DeleteFunc(s.pendingAppends, func(p pendingAppend) bool {
		if p.at > s.now {
			return false
		}
		e := applier.Envelope{ID: fmt.Sprint(len(s.log)), Record: p.record}
		s.log = append(s.log, e)
		s.logState.Apply(applier.Offset(len(s.log)), e)
		return true
	})
}

func (s *simulation) send(from *process, a Send) {
	data, err := EncodeMessage(a.Message)
	if err != nil {
		panic(err)
	}
	delay := time.Duration(1+s.random.IntN(4)) * time.Millisecond
	if s.random.Float64() < s.faultProbability {
		if s.random.IntN(2) == 0 {
			return
		}
		late := time.Duration(s.random.IntN(3000)) * time.Millisecond
		s.deliveries = append(s.deliveries, delivery{s.now + late, from.id, a.To, data})
	}
	s.deliveries = append(s.deliveries, delivery{s.now + delay, from.id, a.To, data})
}

func (s *simulation) step(p *process, e Event) {
	for _, action := range p.machine.Step(s.clock(p), e) {
		switch a := action.(type) {
		case Send:
			s.send(p, a)
		case Append:
			s.append(a.Record)
		}
	}
}

func (s *simulation) find(id applier.MemberID) *process {
	i := slices.IndexFunc(s.processes, func(p *process) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return s.processes[i]
}

// cutLink drops all messages between two processes for a time.
func (s *simulation) cutLink(a, b applier.MemberID, until time.Duration) {
	for from, to := range map[applier.MemberID]applier.MemberID{a: b, b: a} {
		if p := s.find(to); p != nil {
			p.cutFrom[from] = until
		}
	}
}

// partition cuts a group of processes from all others and from the log for a time.
func (s *simulation) partition(group []applier.MemberID, until time.Duration) {
	for _, p := range s.processes {
		if slices.Contains(group, p.id) {
			p.lagUntil = until
			continue
		}
		for _, id := range group {
			s.cutLink(p.id, id, until)
		}
	}
}

func (s *simulation) deliver() {
	var due []delivery
	s.deliveries = slices.DeleteFunc(s.deliveries, func(d delivery) bool {
		to := s.find(d.to)
		if d.at > s.now || (to != nil && to.alive && s.now < to.pausedUntil) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		from, to := s.find(d.from), s.find(d.to)
		cut := to == nil || !to.alive || s.now < max(to.cutUntil, to.inboundCutUntil, to.cutFrom[d.from]) ||
			(from != nil && s.now < max(from.cutUntil, from.outboundCutUntil))
		if cut {
			continue
		}
		message, err := DecodeMessage(d.message)
		if err != nil {
			panic(err)
		}
		s.step(to, Received{From: d.from, Message: message})
	}
}

func (s *simulation) read(p *process) {
	if s.now < p.lagUntil || s.now < s.logDownUntil || int(p.state.Applied) == len(s.log) {
		return
	}
	// A process may apply several records at once, as after a checkpoint.
	until := int(p.state.Applied) + 1 + s.random.IntN(len(s.log)-int(p.state.Applied))
	for i := int(p.state.Applied); i < until; i++ {
		p.state.Apply(applier.Offset(i+1), s.log[i])
	}
	s.step(p, StateApplied{State: p.state})
}

func (s *simulation) run(duration time.Duration, check func()) {
	for end := s.now + duration; s.now < end; {
		s.now += simulationStep
		s.applyAppends()
		s.deliver()
		for _, p := range s.processes {
			s.advance(p)
		}
		check()
	}
}

func (s *simulation) advance(p *process) {
	if p.restartAt > 0 && s.now >= p.restartAt {
		s.start(p)
	}
	if !p.alive || s.now < p.pausedUntil {
		return
	}
	s.read(p)
	if p.leaveAt > 0 && s.now >= p.leaveAt {
		p.leaveAt = 0
		s.step(p, Leaving{})
		s.append(applier.Leave{Member: p.id})
	}
	s.step(p, Tick{})
	if p.machine.Removed() {
		s.start(p)
	}
}

// unsafeOwner returns a process that still serves although a take-over has reassigned its ranges, or nil.
func (s *simulation) unsafeOwner() *process {
	for _, p := range s.processes {
		removal, removed := s.logState.Removal(p.id)
		if removed && removal.Cause == applier.TakenOver && s.valid(p) {
			return p
		}
	}
	return nil
}
