package leaser

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/applier"
)

//go:generate go tool stringer -type=Reason,messageKind -linecomment -output=names.go

// Reason says why a guardian refused a renewal.
type Reason uint8

// Reasons of a refusal.
const (
	NotPresent Reason = iota + 1 // not_present
	Lapsed                       // lapsed
	Attested                     // attested
	Unwilling                    // stopping
	Unheard                      // unheard
)

// Message is a lease message between two members. The types of this package that implement it are the only ones. The
// sender's identity is not part of a message; the transport supplies it.
type Message interface{ kind() messageKind }

type messageKind uint8

const (
	kindRenew          messageKind = iota + 1 // renew
	kindPromise                               // promise
	kindRefusal                               // refusal
	kindAttestRequest                         // attest_request
	kindAttestation                           // attestation
	kindReplaceRequest                        // replace_request
)

// Renew asks a guardian, or a candidate, for a promise. Version is the sender's applied guardian version. Unheard means
// that the sender has had no answer from this guardian for more than two renewals. Such a renewal is refused with that
// reason: a promise that doesn't arrive does not extend the owner's lease, but would prevent the take-over of an owner
// that is cut off in one direction.
type Renew struct {
	Version  applier.Offset
	Sequence uint64
	Unheard  bool
}

// Promise grants the renewal with the same sequence: its sender does not attest for one term.
type Promise struct {
	Sequence uint64
}

// Refusal refuses a renewal. Version and Sequence are those of the renewal.
type Refusal struct {
	Version  applier.Offset
	Sequence uint64
	Reason   Reason
}

// AttestRequest asks another guardian of Member for its attestation. Its sender has attested for Version itself.
type AttestRequest struct {
	Member  applier.MemberID
	Version applier.Offset
}

// Attestation is the sender's commitment never to renew Member's lease at Version or an earlier one.
type Attestation struct {
	Member  applier.MemberID
	Version applier.Offset
}

// ReplaceRequest asks an owner to replace the sender as guardian.
type ReplaceRequest struct{}

func (Renew) kind() messageKind          { return kindRenew }
func (Promise) kind() messageKind        { return kindPromise }
func (Refusal) kind() messageKind        { return kindRefusal }
func (AttestRequest) kind() messageKind  { return kindAttestRequest }
func (Attestation) kind() messageKind    { return kindAttestation }
func (ReplaceRequest) kind() messageKind { return kindReplaceRequest }

// wireMessage is the encoded form of every message; absent fields are zero.
type wireMessage struct {
	Kind     messageKind      `cbor:"1,keyasint"`
	Member   applier.MemberID `cbor:"2,keyasint,omitempty"`
	Version  applier.Offset   `cbor:"3,keyasint,omitempty"`
	Sequence uint64           `cbor:"4,keyasint,omitempty"`
	Reason   Reason           `cbor:"5,keyasint,omitempty"`
	Unheard  bool             `cbor:"6,keyasint,omitempty"`
}

var encoder = mustEncoder()

// mustEncoder returns an encoder that writes member ids as integers; their text form would take twice the bytes.
func mustEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.TextMarshaler = cbor.TextMarshalerNone
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeMessage returns the CBOR form of a message.
func EncodeMessage(message Message) ([]byte, error) {
	w := wireMessage{Kind: message.kind()}
	switch v := message.(type) {
	case Renew:
		w.Version, w.Sequence, w.Unheard = v.Version, v.Sequence, v.Unheard
	case Promise:
		w.Sequence = v.Sequence
	case Refusal:
		w.Version, w.Sequence, w.Reason = v.Version, v.Sequence, v.Reason
	case AttestRequest:
		w.Member, w.Version = v.Member, v.Version
	case Attestation:
		w.Member, w.Version = v.Member, v.Version
	}
	data, err := encoder.Marshal(w)
	return data, errors.Wrapf(err, "encode %s", w.Kind)
}

// DecodeMessage decodes a message that EncodeMessage returned. It returns an error for data that is not a message of a
// known kind.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode lease message")
	}
	switch w.Kind {
	case kindRenew:
		return Renew{Version: w.Version, Sequence: w.Sequence, Unheard: w.Unheard}, nil
	case kindPromise:
		return Promise{Sequence: w.Sequence}, nil
	case kindRefusal:
		if w.Reason < NotPresent || w.Reason > Unheard {
			return nil, errors.Errorf("unknown refusal reason %d", uint8(w.Reason))
		}
		return Refusal{Version: w.Version, Sequence: w.Sequence, Reason: w.Reason}, nil
	case kindAttestRequest:
		return AttestRequest{Member: w.Member, Version: w.Version}, nil
	case kindAttestation:
		return Attestation{Member: w.Member, Version: w.Version}, nil
	case kindReplaceRequest:
		return ReplaceRequest{}, nil
	}
	return nil, errors.Errorf("unknown lease message kind %d", uint8(w.Kind))
}
