package registrar

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/assigner"
)

// ServerState is the state of the backend server of a process.
type ServerState uint8

//go:generate go tool stringer -type=ServerState -linecomment -output=names.go

// States of a backend server. Ended means that its incarnation has ended or that all its grants have expired.
const (
	Absent   ServerState = iota // absent
	Ready                       // ready
	Draining                    // draining
	Ended                       // ended
)

// Running reports whether the server has started and hasn't ended, so that it may hold keys.
func (s ServerState) Running() bool { return s == Ready || s == Draining }

// Member is the record of one process. Only that process writes it.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Epoch increases with each start of the process.
	Epoch uint64
	Zone  string
	// Peer is the address at which other processes reach the process.
	Peer netip.AddrPort
	// Service is the service of the backend server of the process.
	Service     string
	Incarnation assigner.Incarnation
	State       ServerState
	Slots       int
	// Revision is the grant revision at the time of the record. It increases whenever the process stops granting keys.
	Revision uint64
	// Stopping means that the process is shutting down. It may start again.
	Stopping bool
}

// Owner returns the process and its backend server as an owner of keys.
func (m Member) Owner() assigner.Owner {
	return assigner.Owner{Member: m.Name, Incarnation: m.Incarnation}
}

// Bounds of the numbers in a member record.
const (
	// maxCounter leaves room for further increments of an epoch or a revision.
	maxCounter = 1 << 62
	// MaxSlots bounds the slots of a server: the number of ports of an address.
	MaxSlots = 1 << 16
)

// DecodeMember decodes and validates a member record.
func DecodeMember(data []byte) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Member{}, errors.Wrap(err, "decode member record")
	}
	switch {
	case !m.Peer.IsValid() || m.Peer.Port() == 0:
		return Member{}, errors.Errorf("member record of %q: no peer can be reached at %s", m.Name, m.Peer)
	case m.State > Ended:
		return Member{}, errors.Errorf("member record of %q: unknown state %d", m.Name, m.State)
	case m.Slots < 0 || m.Slots > MaxSlots:
		return Member{}, errors.Errorf("member record of %q: %d slots; allowed: 0 to %d", m.Name, m.Slots, MaxSlots)
	case m.Epoch > maxCounter || m.Revision > maxCounter:
		return Member{}, errors.Errorf("member record of %q: epoch or revision too large", m.Name)
	}
	return m, nil
}

// Encode returns the encoded member record.
func (m Member) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encode member record")
}
