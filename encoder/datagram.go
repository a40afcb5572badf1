package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/applier"
)

// Datagram is a periodic message between members. It is sent several times a second, so it is kept small.
type Datagram struct {
	From applier.MemberID `cbor:"1,keyasint"`
	// Applied is the sender's last applied offset; a receiver with a lower one fetches the records between.
	Applied applier.Offset `cbor:"2,keyasint"`
	// Lease is a message encoded by package leaser, or empty.
	Lease []byte `cbor:"3,keyasint,omitempty"`
	Load  *Load  `cbor:"4,keyasint,omitempty"`
}

// EncodeDatagram returns the CBOR form of a datagram.
func EncodeDatagram(d Datagram) ([]byte, error) {
	data, err := cbor.Marshal(d)
	return data, errors.Wrap(err, "encode datagram")
}

// DecodeDatagram decodes a datagram that EncodeDatagram returned.
func DecodeDatagram(data []byte) (Datagram, error) {
	var d Datagram
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Datagram{}, errors.Wrap(err, "decode datagram")
	}
	return d, nil
}
