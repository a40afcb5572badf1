package applier

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// Kind is the type of a record in its encoded form.
type Kind uint8

// Kinds of records.
const (
	KindJoin         Kind = iota + 1 // join
	KindSetGuardians                 // set_guardians
	KindDrain                        // drain
	KindLeave                        // leave
	KindTakeOver                     // take_over
	KindMove                         // move
	KindSplit                        // split
	KindEvict                        // evict
	KindPropose                      // propose
	KindApprove                      // approve
	KindReject                       // reject
	KindSuspect                      // suspect
	KindSettle                       // settle
	KindCheckpoint                   // checkpoint
	KindMerge                        // merge
	KindReceive                      // receive
	KindEvacuate                     // evacuate
	KindRestore                      // restore
)

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Record is one entry of the log. The types of this package that implement it are the only ones.
type Record interface{ kind() Kind }

// Join adds a member. Its Status, Joined and guardian fields are ignored.
type Join struct {
	Member Member `cbor:"1,keyasint"`
}

// SetGuardians replaces a member's guardians. Version is the guardian version that the change is based on.
type SetGuardians struct {
	Member    MemberID   `cbor:"1,keyasint"`
	Version   Offset     `cbor:"2,keyasint"`
	Guardians []MemberID `cbor:"3,keyasint"`
}

// Drain marks a member that is about to stop: it gets no new ranges.
type Drain struct {
	Member MemberID `cbor:"1,keyasint"`
}

// Leave removes a member that owns no range and has released all ranges that were moved away from it.
type Leave struct {
	Member MemberID `cbor:"1,keyasint"`
}

// TakeOver removes a member whose lease lapsed. AttestedBy lists the guardians that attested for Version.
type TakeOver struct {
	Member     MemberID   `cbor:"1,keyasint"`
	Version    Offset     `cbor:"2,keyasint"`
	AttestedBy []MemberID `cbor:"3,keyasint"`
}

// RangeEpoch names a range at an epoch.
type RangeEpoch struct {
	Range hasher.Range `cbor:"1,keyasint" json:"range"`
	Epoch Offset       `cbor:"2,keyasint" json:"epoch"`
}

// Move changes the owner of ranges from From to To. All ranges move or none. From stays the source of the ranges until
// To has received them.
type Move struct {
	Service string       `cbor:"1,keyasint"`
	From    MemberID     `cbor:"2,keyasint"`
	To      MemberID     `cbor:"3,keyasint"`
	Ranges  []RangeEpoch `cbor:"4,keyasint"`
}

// Split makes one position a range of its own. Owner and epoch of all parts stay as they were.
type Split struct {
	Service  string          `cbor:"1,keyasint"`
	Range    RangeEpoch      `cbor:"2,keyasint"`
	Position hasher.Position `cbor:"3,keyasint"`
}

// Merge joins two adjacent, settled ranges of one owner. The joined range gets the higher epoch.
type Merge struct {
	Service string     `cbor:"1,keyasint"`
	Lower   RangeEpoch `cbor:"2,keyasint"`
	Upper   RangeEpoch `cbor:"3,keyasint"`
}

// Evict removes a member after an operator has confirmed that its process is stopped.
type Evict struct {
	Member   MemberID `cbor:"1,keyasint"`
	Operator string   `cbor:"2,keyasint"`
}

// Propose publishes a configuration. Base is the configuration version that it is based on.
//
// Changes, if present, are applied to the configuration of that version, and Configuration is ignored. Every process
// receives every proposal, so sending the whole configuration with each of 14,000 changes a day would exceed the limit
// for control traffic.
type Propose struct {
	Author        string                  `cbor:"1,keyasint"`
	Base          Offset                  `cbor:"2,keyasint"`
	Comment       string                  `cbor:"3,keyasint,omitempty"`
	Configuration validator.Configuration `cbor:"4,keyasint"`
	Changes       *validator.Changes      `cbor:"5,keyasint,omitempty"`
}

// Approve puts the pending proposal at an offset in force.
type Approve struct {
	Operator string `cbor:"1,keyasint"`
	Proposal Offset `cbor:"2,keyasint"`
}

// Reject refuses the pending proposal at an offset.
type Reject struct {
	Operator string `cbor:"1,keyasint"`
	Proposal Offset `cbor:"2,keyasint"`
	Comment  string `cbor:"3,keyasint,omitempty"`
}

// Suspect reports the fingerprints of requests that were in flight when a backend server crashed.
type Suspect struct {
	Member       MemberID `cbor:"1,keyasint"`
	Fingerprints []uint64 `cbor:"2,keyasint"`
	// Cleared lists suspects that have since completed without a crash.
	Cleared []uint64 `cbor:"3,keyasint,omitempty"`
	// Crash identifies the crash, so that a crash that is reported more than once is counted once. If it is zero, the
	// record's offset takes its place.
	Crash uint64 `cbor:"4,keyasint,omitempty"`
}

// Settle declares that a member holds all idempotency rows of its ranges whose epoch is at most AsOf.
type Settle struct {
	Member MemberID `cbor:"1,keyasint"`
	AsOf   Offset   `cbor:"2,keyasint"`
}

// Receive declares that the owner of moved ranges and its guardians hold the idempotency rows that the source had when
// it released the ranges. It covers the ranges that have this source and epoch.
type Receive struct {
	Member MemberID `cbor:"1,keyasint"`
	Source MemberID `cbor:"2,keyasint"`
	Epoch  Offset   `cbor:"3,keyasint"`
}

// Evacuate evacuates an availability zone: its backend servers get no requests, and its members no ranges.
type Evacuate struct {
	Zone     string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
}

// Restore ends the evacuation of an availability zone.
type Restore struct {
	Zone     string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
}

// Checkpoint is one piece of an encoded state. AsOf is the last offset applied in that state.
type Checkpoint struct {
	ID    string `cbor:"1,keyasint"`
	AsOf  Offset `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
	Total int    `cbor:"4,keyasint"`
	Piece []byte `cbor:"5,keyasint"`
}

func (Join) kind() Kind         { return KindJoin }
func (SetGuardians) kind() Kind { return KindSetGuardians }
func (Drain) kind() Kind        { return KindDrain }
func (Leave) kind() Kind        { return KindLeave }
func (TakeOver) kind() Kind     { return KindTakeOver }
func (Move) kind() Kind         { return KindMove }
func (Split) kind() Kind        { return KindSplit }
func (Evict) kind() Kind        { return KindEvict }
func (Propose) kind() Kind      { return KindPropose }
func (Approve) kind() Kind      { return KindApprove }
func (Reject) kind() Kind       { return KindReject }
func (Suspect) kind() Kind      { return KindSuspect }
func (Settle) kind() Kind       { return KindSettle }
func (Checkpoint) kind() Kind   { return KindCheckpoint }
func (Merge) kind() Kind        { return KindMerge }
func (Receive) kind() Kind      { return KindReceive }
func (Evacuate) kind() Kind     { return KindEvacuate }
func (Restore) kind() Kind      { return KindRestore }

// KindOf returns the kind of a record.
func KindOf(r Record) Kind { return r.kind() }

// Envelope is a record with its unique id, which makes appends idempotent: the state ignores a second copy.
type Envelope struct {
	ID     string
	Record Record
}

type encodedEnvelope struct {
	ID   string          `cbor:"1,keyasint"`
	Kind Kind            `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxElements is the largest number of elements of a decoded array or map. It admits a state of several hundred
// thousand ranges; the library's default is 131,072.
const maxElements = 16 << 20

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of an envelope.
func Encode(e Envelope) ([]byte, error) {
	body, err := encoder.Marshal(e.Record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return encoder.Marshal(encodedEnvelope{ID: e.ID, Kind: e.Record.kind(), Body: body})
}

// Decode decodes an envelope that Encode returned. It returns an error for data that is not an envelope of a known
// kind.
func Decode(data []byte) (Envelope, error) {
	var raw encodedEnvelope
	if err := decoder.Unmarshal(data, &raw); err != nil {
		return Envelope{}, errors.Wrap(err, "decode envelope")
	}
	record, err := decodeBody(raw.Kind, raw.Body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "decode %s record", raw.Kind)
	}
	return Envelope{ID: raw.ID, Record: record}, nil
}

func decodeBody(kind Kind, body []byte) (Record, error) {
	switch kind {
	case KindJoin:
		return decodeAs[Join](body)
	case KindSetGuardians:
		return decodeAs[SetGuardians](body)
	case KindDrain:
		return decodeAs[Drain](body)
	case KindLeave:
		return decodeAs[Leave](body)
	case KindTakeOver:
		return decodeAs[TakeOver](body)
	case KindMove:
		return decodeAs[Move](body)
	case KindSplit:
		return decodeAs[Split](body)
	case KindEvict:
		return decodeAs[Evict](body)
	case KindPropose:
		return decodeAs[Propose](body)
	case KindApprove:
		return decodeAs[Approve](body)
	case KindReject:
		return decodeAs[Reject](body)
	case KindSuspect:
		return decodeAs[Suspect](body)
	case KindSettle:
		return decodeAs[Settle](body)
	case KindCheckpoint:
		return decodeAs[Checkpoint](body)
	case KindMerge:
		return decodeAs[Merge](body)
	case KindReceive:
		return decodeAs[Receive](body)
	case KindEvacuate:
		return decodeAs[Evacuate](body)
	case KindRestore:
		return decodeAs[Restore](body)
	}
	return nil, errors.Errorf("unknown record kind %d", uint8(kind))
}

func decodeAs[R Record](body []byte) (Record, error) {
	var record R
	if err := decoder.Unmarshal(body, &record); err != nil {
		return nil, err
	}
	return record, nil
}
