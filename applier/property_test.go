package applier

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/hasher"
	_ "hibiscusline/seeder"
	"hibiscusline/validator"
)

// testConfiguration returns a configuration with three services: stock is keyed, guides is not, and orders is if keyed
// is set.
func testConfiguration(keyed, approval bool, key string) validator.Configuration {
	orders := validator.Service{MaxRequestTime: validator.Duration(time.Second)}
	if keyed {
		orders.Keyed, orders.InitialRanges, orders.Placement = true, 2, "east"
	}
	c := validator.Configuration{
		Services: map[string]validator.Service{
			"stock": {Keyed: true, InitialRanges: 3, MaxRequestTime: validator.Duration(time.Second)}, "orders": orders,
			"guides": {MaxRequestTime: validator.Duration(time.Second)},
		},
		Ranks:      map[string]validator.Rank{"order": {Floor: 0.5, LatencyTarget: validator.Duration(time.Second)}},
		Placements: map[string]validator.Placement{"east": {Zones: []string{"z1"}}},
		Policy:     validator.Policy{Operators: []string{"ann", "ben"}, RequireApproval: approval},
		KeyRanges:  map[string]validator.KeyRange{"hot": {Service: "stock", Key: key}},
	}
	for _, service := range []string{"stock", "orders", "guides"} {
		c.Rules = append(c.Rules, validator.Rule{Name: service, Service: service, Rank: "order"})
	}
	return c
}

// historyGenerator draws records. Most of them are based on the current state, some on an outdated or wrong one.
type historyGenerator struct {
	t         *rapid.T
	state     State
	envelopes []Envelope
	evacuated map[string]bool
}

func (h *historyGenerator) member() MemberID {
	return MemberID(rapid.IntRange(0, 7).Draw(h.t, "member"))
}

func (h *historyGenerator) service() string {
	return rapid.SampledFrom([]string{"stock", "orders", "guides", "none"}).Draw(h.t, "service")
}

func (h *historyGenerator) operator() string {
	return rapid.SampledFrom([]string{"ann", "ben", "eve"}).Draw(h.t, "operator")
}

// version returns the right version most of the time, and a random one otherwise.
func (h *historyGenerator) version(right Offset) Offset {
	if rapid.IntRange(0, 4).Draw(h.t, "outdated") == 0 {
		return Offset(rapid.IntRange(0, len(h.envelopes)).Draw(h.t, "version"))
	}
	return right
}

func (h *historyGenerator) rangeOf(service string) (RangeEpoch, MemberID) {
	ranges := h.state.Assignments[service]
	if len(ranges) == 0 {
		return RangeEpoch{Range: hasher.Full()}, 0
	}
	a := rapid.SampledFrom(ranges).Draw(h.t, "range")
	return RangeEpoch{Range: a.Range, Epoch: h.version(a.Epoch)}, a.Owner
}

func (h *historyGenerator) guardians(id MemberID) (Offset, []MemberID) {
	if m := h.state.Members[id]; m != nil {
		return h.version(m.GuardianVersion), slices.Clone(m.Guardians)
	}
	return 0, nil
}

// candidates returns two guardians for a member, mostly from the present members. Of two random ids, one is usually not
// present, so the record would be rejected and hardly any member would have guardians.
func (h *historyGenerator) candidates(id MemberID) []MemberID {
	present := slices.DeleteFunc(slices.Sorted(maps.Keys(h.state.Members)), func(g MemberID) bool { return g == id })
	if len(present) < 2 || rapid.IntRange(0, 4).Draw(h.t, "any") == 0 {
		return []MemberID{h.member(), h.member()}
	}
	first := rapid.IntRange(0, len(present)-2).Draw(h.t, "first guardian")
	return present[first : first+2]
}

func (h *historyGenerator) record() Record {
	id, service := h.member(), h.service()
	version, guardians := h.guardians(id)
	switch rapid.SampledFrom([]Kind{
		KindJoin, KindJoin, KindSetGuardians, KindSetGuardians, KindDrain, KindLeave, KindTakeOver, KindTakeOver, KindMove, KindMove, KindSplit, KindMerge,
		KindEvict, KindPropose, KindApprove, KindReject, KindSuspect, KindSettle, KindSettle, KindReceive, KindReceive, KindEvacuate,
		KindRestore,
	}).Draw(h.t, "kind") {
	case KindJoin:
		zone := rapid.SampledFrom([]string{"z1", "z2"}).Draw(h.t, "zone")
		return Join{Member: Member{ID: id, Service: service, Zone: zone, Guardians: []MemberID{9}}}
	case KindSetGuardians:
		return SetGuardians{Member: id, Version: version, Guardians: h.candidates(id)}
	case KindDrain:
		return Drain{Member: id}
	case KindLeave:
		return Leave{Member: id}
	case KindTakeOver:
		attested := min(len(guardians), rapid.IntRange(0, 5).Draw(h.t, "attested"))
		return TakeOver{Member: id, Version: version, AttestedBy: guardians[:attested]}
	case KindMove:
		r, owner := h.rangeOf(service)
		return Move{Service: service, From: owner, To: id, Ranges: []RangeEpoch{r}}
	case KindSplit:
		r, _ := h.rangeOf(service)
		return Split{Service: service, Range: r, Position: hasher.Position(rapid.Uint64().Draw(h.t, "position"))}
	case KindMerge:
		lower, _ := h.rangeOf(service)
		upper, _ := h.state.Lookup(service, lower.Range.High+1)
		return Merge{Service: service, Lower: lower, Upper: RangeEpoch{Range: upper.Range, Epoch: h.version(upper.Epoch)}}
	case KindEvict:
		return Evict{Member: id, Operator: h.operator()}
	case KindReceive:
		r, owner := h.rangeOf(service)
		a, _ := h.state.Lookup(service, r.Range.Low)
		return Receive{Member: owner, Source: a.Source, Epoch: r.Epoch}
	case KindEvacuate:
		return Evacuate{Zone: h.zone(), Operator: h.operator()}
	case KindRestore:
		return Restore{Zone: h.zone(), Operator: h.operator()}
	}
	return h.otherRecord(id)
}

func (h *historyGenerator) zone() string {
	return rapid.SampledFrom([]string{"z1", "z2", ""}).Draw(h.t, "evacuated zone")
}

func (h *historyGenerator) otherRecord(id MemberID) Record {
	proposal := Offset(rapid.IntRange(0, len(h.envelopes)).Draw(h.t, "proposal"))
	for _, p := range h.state.Proposals {
		if p.Status == Pending {
			proposal = h.version(p.Offset)
		}
	}
	switch rapid.SampledFrom([]Kind{KindPropose, KindApprove, KindReject, KindSuspect, KindSettle}).Draw(h.t, "other kind") {
	case KindPropose:
		c := testConfiguration(rapid.Bool().Draw(h.t, "keyed"), rapid.Bool().Draw(h.t, "approval"), h.operator())
		return Propose{Author: h.operator(), Base: h.version(h.state.Version), Configuration: c}
	case KindApprove:
		return Approve{Operator: h.operator(), Proposal: proposal}
	case KindReject:
		return Reject{Operator: h.operator(), Proposal: proposal}
	case KindSuspect:
		f := rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 3)
		return Suspect{Member: id, Fingerprints: f.Draw(h.t, "suspects"), Cleared: f.Draw(h.t, "cleared")}
	}
	return Settle{Member: id, AsOf: h.version(h.state.Applied)}
}

// envelope returns a new record or, in one of ten draws, one that was appended before.
func (h *historyGenerator) envelope() Envelope {
	if len(h.envelopes) > 0 && rapid.IntRange(0, 9).Draw(h.t, "again") == 0 {
		return rapid.SampledFrom(h.envelopes).Draw(h.t, "duplicate")
	}
	return Envelope{ID: fmt.Sprint("record ", len(h.envelopes)), Record: h.record()}
}

type assignmentSnapshot map[string][]Assignment

func snapshotAssignments(s *State) assignmentSnapshot {
	v := assignmentSnapshot{}
	for service, ranges := range s.Assignments {
		v[service] = slices.Clone(ranges)
	}
	return v
}

func requirePartition(t require.TestingT, s *State) {
	for name, service := range s.Configuration.Services {
		require.Equal(t, service.Keyed, len(s.Assignments[name]) > 0, "ranges of service %s", name)
	}
	for service, ranges := range s.Assignments {
		next := hasher.Position(0)
		for i, a := range ranges {
			require.Equal(t, next, a.Range.Low)
			require.LessOrEqual(t, a.Range.Low, a.Range.High)
			next = a.Range.High + 1
			require.Equal(t, i == len(ranges)-1, next == 0, "only the last range ends the key space")
			if a.Owner != 0 {
				require.Contains(t, s.Members, a.Owner)
				require.Equal(t, service, s.Members[a.Owner].Service)
			}
			if a.Source != 0 {
				require.Contains(t, s.Members, a.Source)
				require.NotEqual(t, a.Owner, a.Source)
			}
		}
	}
}

func requireEpochs(t require.TestingT, before assignmentSnapshot, s *State) {
	for service, ranges := range s.Assignments {
		for _, a := range ranges {
			i, found := findRange(before[service], a.Range.Low)
			if !found {
				require.Equal(t, s.Applied, a.Epoch, "a new range")
				continue
			}
			was := before[service][i]
			require.GreaterOrEqual(t, a.Epoch, was.Epoch)
			if was.Source != 0 && s.Members[was.Source] == nil {
				require.Zero(t, a.Source)
				require.Contains(t, a.Lineage, was.Source, "a lost source may have served the range")
				require.Equal(t, s.Applied, a.Epoch, "the source was lost")
			}
			if a.Owner != was.Owner || was.Source != 0 && s.Members[was.Source] == nil {
				require.Greater(t, a.Epoch, was.Epoch, "the owner changed")
				require.Equal(t, s.Applied, a.Epoch)
			} else if a.Range.High <= was.Range.High {
				// A merged range takes the higher epoch of its parts.
				require.Equal(t, was.Epoch, a.Epoch, "the owner is the same")
			}
		}
	}
}

// requireIndex fails when the index differs from the members and assignments. A process that started from a checkpoint,
// and so built its index anew, would then place ranges differently.
func requireIndex(t require.TestingT, s *State) {
	plain := *s
	plain.index = nil
	for _, service := range []string{"stock", "orders"} {
		require.Equal(t, plain.MembersOf(service), s.MembersOf(service))
		var unowned, moving []hasher.Position
		for _, a := range s.Assignments[service] {
			if a.Source != 0 {
				moving = append(moving, a.Range.Low)
			}
			if a.Owner == 0 {
				unowned = append(unowned, a.Range.Low)
			}
		}
		require.Equal(t, unowned, s.index.unowned[service])
		require.Equal(t, moving, s.index.moving[service])
	}
	for id, m := range s.Members {
		require.Equal(t, plain.Owned(id), s.Owned(id))
		require.Len(t, s.index.rangeStarts(m.Service, id), len(plain.Owned(id)))
	}
	require.Len(t, s.index.entries, len(s.Members))
}

// requireEvacuations fails when the evacuated zones are not those that the accepted records name, or when a member in
// one got a range although the service has an active member elsewhere.
func (h *historyGenerator) requireEvacuations(
	t require.TestingT, before assignmentSnapshot, e Envelope, result Result, duplicate bool,
) {
	switch r := e.Record.(type) {
	case Evacuate:
		if result.Accepted && !duplicate {
			h.evacuated[r.Zone] = true
		}
	case Restore:
		if result.Accepted && !duplicate {
			delete(h.evacuated, r.Zone)
		}
	}
	require.Equal(t, slices.Sorted(maps.Keys(h.evacuated)), h.state.EvacuatedZones())
	for service, ranges := range h.state.Assignments {
		elsewhere := slices.ContainsFunc(h.state.MembersOf(service), func(m *Member) bool {
			return m.Status == Active && !h.evacuated[m.Zone]
		})
		for _, a := range ranges {
			i, found := findRange(before[service], a.Range.Low)
			if a.Owner != 0 && elsewhere && (!found || before[service][i].Owner != a.Owner) {
				require.False(t, h.evacuated[h.state.Members[a.Owner].Zone], "a range of %s went to an evacuated zone", service)
			}
		}
	}
}

func encoded(t require.TestingT, s *State) []byte {
	data, err := s.Encode()
	require.NoError(t, err)
	return data
}

// basedOnCurrentState reports whether a record is based on the current state, which is the condition for accepting it.
func (h *historyGenerator) basedOnCurrentState(record Record) bool {
	switch r := record.(type) {
	case Propose:
		return r.Base == h.state.Version
	case SetGuardians:
		m := h.state.Members[r.Member]
		return m != nil && r.Version == m.GuardianVersion
	case TakeOver:
		m := h.state.Members[r.Member]
		if m == nil {
			return false
		}
		for _, g := range m.Guardians {
			if h.state.Members[g] != nil && !slices.Contains(r.AttestedBy, g) {
				return false
			}
		}
		return r.Version == m.GuardianVersion
	case Move:
		a, _ := h.state.Lookup(r.Service, r.Ranges[0].Range.Low)
		return a.Source == 0 && h.matchesRange(r.Service, r.Ranges[0], r.From)
	case Leave:
		return len(h.state.Unreleased(r.Member)) == 0
	case Receive:
		return slices.ContainsFunc(h.state.Unreleased(r.Source), func(a Assignment) bool {
			return a.Owner == r.Member && a.Epoch == r.Epoch
		})
	case Split:
		a, _ := h.state.Lookup(r.Service, r.Range.Range.Low)
		return h.matchesRange(r.Service, r.Range, a.Owner)
	case Merge:
		lower, _ := h.state.Lookup(r.Service, r.Lower.Range.Low)
		upper, _ := h.state.Lookup(r.Service, r.Upper.Range.Low)
		settled := lower.Settled() && upper.Settled()
		return settled && lower.Owner != 0 && h.matchesRange(r.Service, r.Lower, lower.Owner) &&
			h.matchesRange(r.Service, r.Upper, lower.Owner)
	}
	return true
}

func (h *historyGenerator) matchesRange(service string, r RangeEpoch, owner MemberID) bool {
	a, found := h.state.Lookup(service, r.Range.Low)
	return found && a.Range == r.Range && a.Epoch == r.Epoch && a.Owner == owner
}

func (h *historyGenerator) step(t *rapid.T) {
	e, offset := h.envelope(), h.state.Applied+1
	before, version, data := snapshotAssignments(&h.state), h.state.Version, encoded(t, &h.state)
	_, duplicate := h.state.ResultOf(e.ID)
	current := h.basedOnCurrentState(e.Record)
	result := h.state.Apply(offset, e)
	require.True(t, current || duplicate || !result.Accepted, "a record based on another state is accepted: %v", e.Record)
	h.envelopes = append(h.envelopes, e)
	h.requireEvacuations(t, before, e, result, duplicate)
	requirePartition(t, &h.state)
	requireEpochs(t, before, &h.state)
	requireIndex(t, &h.state)
	require.GreaterOrEqual(t, h.state.Version, version)
	if duplicate {
		require.Less(t, result.Offset, offset)
		unchanged := h.state
		unchanged.Applied--
		require.Equal(t, data, encoded(t, &unchanged), "a duplicate changes nothing but Applied")
	}
}

func applyAll(s *State, envelopes []Envelope) {
	for _, e := range envelopes {
		s.Apply(s.Applied+1, e)
	}
}

func restore(t require.TestingT, s *State) *State {
	pieces, err := s.CheckpointRecords("id")
	require.NoError(t, err)
	var assembler CheckpointAssembler
	for i, piece := range pieces {
		restored, err := assembler.Add(piece)
		require.NoError(t, err)
		require.Equal(t, i == len(pieces)-1, restored != nil)
		if restored != nil {
			return restored
		}
	}
	return nil
}

// TestApplyInvariants applies random records. It guards against two owners of a key, a key without a range, a change of
// owner that doesn't raise the epoch, a configuration that reverts, an evacuated zone whose members get ranges, and a
// process that starts from a checkpoint and reaches another state than one that applied all records.
func TestApplyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &historyGenerator{t: t, evacuated: map[string]bool{}}
		first := Propose{Author: "ann", Configuration: testConfiguration(true, false, "bolt")}
		h.envelopes = []Envelope{{ID: "first", Record: first}}
		h.state.Apply(1, h.envelopes[0])
		t.Repeat(map[string]func(*rapid.T){"step": h.step})

		cut := rapid.IntRange(0, len(h.envelopes)).Draw(t, "cut")
		var half State
		applyAll(&half, h.envelopes[:cut])
		restored := restore(t, &half)
		require.Equal(t, encoded(t, &half), encoded(t, restored))
		applyAll(restored, h.envelopes[cut:])
		require.Equal(t, encoded(t, &h.state), encoded(t, restored))
	})
}
