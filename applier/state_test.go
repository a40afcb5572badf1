package applier

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// goldenRecords returns one record of each kind.
func goldenRecords() []Record {
	r := RangeEpoch{Range: hasher.Range{Low: 1, High: 2}, Epoch: 3}
	return []Record{
		Join{Member: Member{
			ID: 1, Name: "bolt-1", Zone: "z1", Service: "stock", Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Admin: netip.MustParseAddrPort("[::1]:2"), Slots: 12, Fenced: true,
		}},
		SetGuardians{Member: 1, Version: 2, Guardians: []MemberID{3, 4}},
		Drain{Member: 1},
		Leave{Member: 1},
		TakeOver{Member: 1, Version: 2, AttestedBy: []MemberID{3}},
		Move{Service: "stock", From: 1, To: 2, Ranges: []RangeEpoch{r}},
		Split{Service: "stock", Range: r, Position: 2},
		Merge{Service: "stock", Lower: r, Upper: r},
		Evict{Member: 1, Operator: "ann"},
		Propose{Author: "ann", Base: 1, Comment: "c", Configuration: testConfiguration(true, true, "bolt")},
		Approve{Operator: "ben", Proposal: 4},
		Reject{Operator: "ben", Proposal: 4, Comment: "no"},
		Suspect{Member: 1, Fingerprints: []uint64{5}, Cleared: []uint64{6}, Crash: 7},
		Settle{Member: 1, AsOf: 8},
		Receive{Member: 1, Source: 2, Epoch: 9},
		Checkpoint{ID: "c", AsOf: 1, Index: 0, Total: 1, Piece: []byte{1}},
		Evacuate{Zone: "z2", Operator: "ann"},
		Restore{Zone: "z1", Operator: "ben"},
	}
}

// goldenState returns the state after all golden records and some that they depend on.
func goldenState() *State {
	s := &State{}
	for i, record := range append([]Record{
		Propose{Author: "ann", Configuration: testConfiguration(true, true, "bolt")},
		Join{Member: Member{ID: 3, Service: "stock", Zone: "z2"}},
		Join{Member: Member{ID: 4, Service: "orders", Zone: "z1"}},
	}, goldenRecords()...) {
		s.Apply(Offset(i+1), Envelope{ID: fmt.Sprint(i), Record: record})
	}
	return s
}

// TestEncodedForms guards against a change of the encoded forms, which the records and checkpoints already in the log
// have.
func TestEncodedForms(t *testing.T) {
	var lines strings.Builder
	for _, record := range goldenRecords() {
		data, err := Encode(Envelope{ID: "id", Record: record})
		require.NoError(t, err)
		decoded, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, Envelope{ID: "id", Record: record}, decoded)
		fmt.Fprintf(&lines, "%s %s\n", KindOf(record), hex.EncodeToString(data))
	}
	fmt.Fprintf(&lines, "state %s\n", hex.EncodeToString(encoded(t, goldenState())))
	goldie.New(t).Assert(t, "encoded_forms", []byte(lines.String()))
}

// TestEarlierCheckpoint guards against a checkpoint of an earlier release, which knows no evacuations, that decodes to
// another state.
func TestEarlierCheckpoint(t *testing.T) {
	text, err := os.ReadFile("testdata/state_without_evacuations.hex")
	require.NoError(t, err)
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	s, err := DecodeState(data)
	require.NoError(t, err)
	require.Empty(t, s.AllEvacuations())
	require.Equal(t, data, encoded(t, s))
}

// TestEvacuations guards against an evacuation by somebody who is no operator, one that a repetition attributes to
// another operator, and a state that grows with the number of evacuations.
func TestEvacuations(t *testing.T) {
	s := &State{}
	apply := func(r Record) Result {
		return s.Apply(s.Applied+1, Envelope{ID: fmt.Sprint(s.Applied), Record: r})
	}
	apply(Propose{Author: "ann", Configuration: testConfiguration(true, true, "bolt")})
	require.Contains(t, apply(Evacuate{Zone: "z1", Operator: "eve"}).Reason, "not an operator")
	require.Contains(t, apply(Evacuate{Operator: "ann"}).Reason, "name of a zone")
	require.Contains(t, apply(Evacuate{Zone: strings.Repeat("z", 1000), Operator: "ann"}).Reason, "name of a zone")
	require.True(t, apply(Evacuate{Zone: "z1", Operator: "ann"}).Accepted)
	require.True(t, apply(Evacuate{Zone: "z1", Operator: "ben"}).Accepted)
	require.Contains(t, apply(Restore{Zone: "z1", Operator: "eve"}).Reason, "not an operator")
	require.Equal(t, []Evacuation{{Zone: "z1", Operator: "ann", Offset: 5}}, s.Evacuations)
	for range 2 {
		require.True(t, apply(Restore{Zone: "z1", Operator: "ben"}).Accepted)
	}
	require.Empty(t, s.Evacuations)
	require.Equal(t, []Evacuation{{Zone: "z1", Operator: "ann", Offset: 5, Restored: 8, RestoredBy: "ben"}}, s.AllEvacuations())
	for i := range maxEvacuated + 1 {
		require.Equal(t, i < maxEvacuated, apply(Evacuate{Zone: fmt.Sprint("stays ", i), Operator: "ann"}).Accepted)
	}
	require.True(t, apply(Restore{Zone: "stays 0", Operator: "ann"}).Accepted)
	for range 2 * maxEndedEvacuations {
		require.True(t, apply(Evacuate{Zone: "z1", Operator: "ann"}).Accepted)
		require.True(t, apply(Restore{Zone: "z1", Operator: "ann"}).Accepted)
	}
	require.Len(t, s.AllEvacuations(), maxEvacuated-1+maxEndedEvacuations)
	require.Len(t, s.EvacuatedZones(), maxEvacuated-1)
	require.Equal(t, encoded(t, s), encoded(t, restore(t, s)))
}

// TestEvacuatedZoneGetsNoRanges guards against a member of an evacuated zone that gets ranges by a move, as a new member or
// as the successor of a lost one, and against a key without owner while all zones are evacuated.
func TestEvacuatedZoneGetsNoRanges(t *testing.T) {
	s := &State{}
	apply := func(r Record) Result {
		return s.Apply(s.Applied+1, Envelope{ID: fmt.Sprint(s.Applied), Record: r})
	}
	join := func(id MemberID, zone string) { apply(Join{Member: Member{ID: id, Service: "stock", Zone: zone}}) }
	move := func(from, to MemberID) Result {
		a := s.Owned(from)[0]
		return apply(Move{Service: "stock", From: from, To: to, Ranges: []RangeEpoch{{Range: a.Range, Epoch: a.Epoch}}})
	}
	apply(Propose{Author: "ann", Configuration: testConfiguration(true, false, "bolt")})
	apply(Evacuate{Zone: "z1", Operator: "ann"})
	join(1, "z1")
	all := len(s.Assignments["stock"])
	require.Len(t, s.Owned(1), all, "there is no other member")
	join(2, "z2")
	join(3, "z1")
	require.True(t, move(1, 2).Accepted)
	require.Contains(t, move(1, 3).Reason, "is evacuated")
	apply(Receive{Member: 2, Source: 1, Epoch: s.Owned(2)[0].Epoch})
	apply(Evict{Member: 1, Operator: "ann"})
	require.Len(t, s.Owned(2), all)
	apply(Evacuate{Zone: "z2", Operator: "ann"})
	apply(Evict{Member: 2, Operator: "ann"})
	require.Len(t, s.Owned(3), all)
	join(4, "z2")
	require.True(t, move(3, 4).Accepted, "all zones are evacuated")
	apply(Restore{Zone: "z1", Operator: "ann"})
	require.Contains(t, move(3, 4).Reason, "is evacuated")
}

// TestCheckpointAssembler guards against a checkpoint of several pieces that can't be restored, and against a reader
// that accumulates incomplete checkpoints.
func TestCheckpointAssembler(t *testing.T) {
	c := testConfiguration(true, false, "bolt")
	service := c.Services["stock"]
	service.InitialRanges = validator.MaxInitialRanges
	c.Services["stock"] = service
	var s State
	s.Apply(1, Envelope{ID: "a", Record: Propose{Author: "ann", Configuration: c}})
	pieces, err := s.CheckpointRecords("id")
	require.NoError(t, err)
	require.Greater(t, len(pieces), 2)
	require.Equal(t, encoded(t, &s), encoded(t, restore(t, &s)))

	var assembler CheckpointAssembler
	for i := range 100 {
		piece := pieces[0]
		piece.ID = fmt.Sprint(i)
		_, err := assembler.Add(piece)
		require.NoError(t, err)
		_, err = assembler.Add(piece)
		require.NoError(t, err, "a repeated piece")
	}
	require.LessOrEqual(t, len(assembler.pieces), maxPartialCheckpoints)
	_, err = assembler.Add(pieces[1])
	require.Error(t, err, "a piece without the one before it")

	wrong, err := (&State{Applied: 1}).CheckpointRecords("wrong")
	require.NoError(t, err)
	wrong[0].AsOf = 2
	_, err = assembler.Add(wrong[0])
	require.Error(t, err, "a state of another offset than the piece says")
}

// TestCheckpointOfTheFutureIsIgnored guards against a checkpoint record whose AsOf is not below its own offset. If it
// were counted, later checkpoints would not be.
func TestCheckpointOfTheFutureIsIgnored(t *testing.T) {
	var s State
	s.Apply(1, Envelope{ID: "a", Record: Checkpoint{ID: "c", AsOf: 1, Total: 1}})
	require.Zero(t, s.CheckpointAsOf)
	s.Apply(2, Envelope{ID: "b", Record: Checkpoint{ID: "d", AsOf: 1, Total: 1}})
	require.Equal(t, Offset(1), s.CheckpointAsOf)
}

// TestTakeOverOfReplacedVersion guards against a take-over that guardians attested for a guardian version that the
// owner has since replaced. The same guardians may be renewing the lease for the new version.
func TestTakeOverOfReplacedVersion(t *testing.T) {
	var s State
	for i := range 3 {
		s.Apply(Offset(i+1), Envelope{ID: fmt.Sprint(i), Record: Join{Member: Member{ID: MemberID(i + 1), Service: "stock"}}})
	}
	guardians := []MemberID{2, 3}
	require.True(t, s.Apply(4, Envelope{ID: "first", Record: SetGuardians{Member: 1, Version: 1, Guardians: guardians}}).Accepted)
	require.True(t, s.Apply(5, Envelope{ID: "again", Record: SetGuardians{Member: 1, Version: 4, Guardians: guardians}}).Accepted)
	require.False(t, s.Apply(6, Envelope{ID: "late", Record: TakeOver{Member: 1, Version: 4, AttestedBy: guardians}}).Accepted)
	require.Contains(t, s.Members, MemberID(1))
	require.True(t, s.Apply(7, Envelope{ID: "due", Record: TakeOver{Member: 1, Version: 5, AttestedBy: guardians}}).Accepted)
}

// TestProposalsAreBounded guards against a state that grows with the number or size of invalid and pending proposals.
func TestProposalsAreBounded(t *testing.T) {
	var s State
	s.Apply(1, Envelope{ID: "first", Record: Propose{Author: "ann", Configuration: testConfiguration(true, true, "bolt")}})
	bad := testConfiguration(true, true, "bolt")
	for i := range 200 {
		bad.Ranks[fmt.Sprint("É ", i)] = validator.Rank{Urgency: -1}
	}
	for i := range 2 * maxProposals {
		c := testConfiguration(true, true, "bolt")
		if i%2 == 0 {
			c = bad
		}
		s.Apply(s.Applied+1, Envelope{ID: fmt.Sprint(i), Record: Propose{Author: "ann", Base: 1, Configuration: c}})
	}
	require.Len(t, s.Proposals, maxProposals)
	require.Equal(t, InForce, s.Proposals[0].Status)
	pending := 0
	for _, p := range s.Proposals {
		require.LessOrEqual(t, len(p.Reason), maxReasonBytes)
		if p.Status == Pending {
			pending++
		}
	}
	require.LessOrEqual(t, pending, maxPending)
	require.Equal(t, encoded(t, &s), encoded(t, restore(t, &s)))
}

// addStateSeeds adds encoded states to the seed corpus, among them ones with excessive lengths, a null member or a
// service without ranges.
func addStateSeeds(f *testing.F) {
	for _, seed := range []string{"9a00ffffff", "9b7fffffffffffffff", "ba00ffffff", "5b7fffffffffffffff", "a102a101f6", "a103a16573746f636b80"} {
		data, err := hex.DecodeString(seed)
		require.NoError(f, err)
		f.Add(data)
		f.Add(append([]byte{0xa1, 2}, data...))
	}
	f.Add(encoded(f, goldenState()))
}

// FuzzDecode guards against a record in the log that makes every process that reads it panic.
func FuzzDecode(f *testing.F) {
	addStateSeeds(f)
	for _, record := range goldenRecords() {
		data, err := Encode(Envelope{ID: "id", Record: record})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(e)
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
		s := goldenState()
		s.Apply(s.Applied+1, e)
		requirePartition(t, s)
		require.Equal(t, encoded(t, s), encoded(t, restore(t, s)))
	})
}

// FuzzDecodeState guards against a checkpoint or a peer's state that makes the process that decodes it panic, at once
// or at a later record.
func FuzzDecodeState(f *testing.F) {
	addStateSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		for i, record := range goldenRecords() {
			s.Apply(s.Applied+1, Envelope{ID: fmt.Sprint("later ", i), Record: record})
		}
		encoded(t, s)
	})
}

// TestDecodeStateRejectsBrokenStates guards against states that are well-formed CBOR and make a process panic at a
// later record, such as one with a null member or with a pending proposal whose configuration was never validated.
func TestDecodeStateRejectsBrokenStates(t *testing.T) {
	for _, broken := range []map[int]any{
		{2: map[int]any{1: nil}},
		{2: map[int]any{1: map[int]any{1: 2}}},
		{3: map[string]any{"stock": []any{}}},
		{3: map[string]any{"stock": []any{map[int]any{1: map[int]any{1: 1, 2: uint64(1<<64 - 1)}}}}},
		{3: map[string]any{"stock": []any{map[int]any{1: map[int]any{1: 0, 2: 5}}}}},
		{5: 1},
		{6: []any{map[int]any{1: 4}}},
		{6: []any{map[int]any{1: 4, 9: map[int]any{}}}},
	} {
		data, err := cbor.Marshal(broken)
		require.NoError(t, err)
		_, err = DecodeState(data)
		require.Error(t, err, "%v", broken)
	}
}

// TestRangesOfAConfigurationAreBounded guards against a configuration whose initial ranges exhaust the memory of every
// process that reads the log.
func TestRangesOfAConfigurationAreBounded(t *testing.T) {
	c := testConfiguration(true, false, "bolt")
	for i := range 17 {
		name := fmt.Sprint("s", i)
		c.Services[name] = validator.Service{Keyed: true, InitialRanges: validator.MaxInitialRanges, MaxRequestTime: 1}
		c.Rules = append(c.Rules, validator.Rule{Name: name, Service: name, Rank: "order"})
	}
	var s State
	result := s.Apply(1, Envelope{ID: "a", Record: Propose{Author: "ann", Configuration: c}})
	require.False(t, result.Accepted)
	require.Contains(t, result.Reason, "initial_ranges")
}

// TestProposalOfChanges guards against a proposal of changes whose effect differs from that of the whole configuration,
// and against one that takes effect on another version than its base.
func TestProposalOfChanges(t *testing.T) {
	first, second := testConfiguration(true, false, "bolt"), testConfiguration(true, false, "felt")
	delete(second.Services, "guides")
	second.Rules = second.Rules[:2]
	changes := validator.ChangesBetween(first, second)
	var whole, part State
	for _, s := range []*State{&whole, &part} {
		s.Apply(1, Envelope{ID: "a", Record: Propose{Author: "ann", Configuration: first}})
	}
	require.True(t, whole.Apply(2, Envelope{ID: "b", Record: Propose{Author: "ann", Base: 1, Configuration: second}}).Accepted)
	require.True(t, part.Apply(2, Envelope{ID: "b", Record: Propose{Author: "ann", Base: 1, Changes: &changes}}).Accepted)
	require.Equal(t, encoded(t, &whole), encoded(t, &part))
	stale := part.Apply(3, Envelope{ID: "c", Record: Propose{Author: "ann", Base: 1, Changes: &changes}})
	require.Contains(t, stale.Reason, "made from 1")
	impossible := validator.Changes{Rules: &validator.RuleChange{First: 9}}
	require.False(t, part.Apply(4, Envelope{ID: "d", Record: Propose{Author: "ann", Base: 2, Changes: &impossible}}).Accepted)
	require.Equal(t, Offset(2), part.Version)
}
