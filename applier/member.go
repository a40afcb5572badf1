package applier

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/pkg/errors"
)

//go:generate go tool stringer -type=MemberStatus,Cause,Kind,ProposalStatus -linecomment -output=names.go

// Offset is the position of a record in the log. The first record has offset 1.
type Offset uint64

// MemberID identifies one incarnation of a process. Every start of a process draws a new one; zero means none.
type MemberID uint64

// String returns the id as 16 hexadecimal digits.
func (m MemberID) String() string { return fmt.Sprintf("%016x", uint64(m)) }

// MarshalText writes the format of String.
func (m MemberID) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads the format of String.
func (m *MemberID) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Wrap(err, "member id")
	}
	*m = MemberID(value)
	return nil
}

// MemberStatus says whether a member gets new ranges.
type MemberStatus uint8

// Statuses of a member. A member joins as active; a draining member gets no new ranges.
const (
	Active   MemberStatus = iota // active
	Draining                     // draining
)

// MarshalText writes the status's name.
func (s MemberStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is a process and the backend server beside it.
type Member struct {
	ID      MemberID `cbor:"1,keyasint" json:"id"`
	Name    string   `cbor:"2,keyasint" json:"name"`
	Zone    string   `cbor:"3,keyasint" json:"zone"`
	Service string   `cbor:"4,keyasint" json:"service"`
	// Address is where other processes reach this one over QUIC.
	Address netip.AddrPort `cbor:"5,keyasint" json:"address"`
	// Admin is where operators reach the process over HTTP.
	Admin netip.AddrPort `cbor:"6,keyasint" json:"admin"`
	Slots int            `cbor:"7,keyasint" json:"slots"`
	// Fenced backend servers reject requests with an epoch lower than one that they have seen.
	Fenced          bool         `cbor:"8,keyasint" json:"fenced"`
	Status          MemberStatus `cbor:"9,keyasint" json:"status"`
	Joined          Offset       `cbor:"10,keyasint" json:"joined"`
	Guardians       []MemberID   `cbor:"11,keyasint" json:"guardians"`
	GuardianVersion Offset       `cbor:"12,keyasint" json:"guardian_version"`
}

// GuardedBy reports whether the member names id as a guardian.
func (m *Member) GuardedBy(id MemberID) bool { return slices.Contains(m.Guardians, id) }

// Removal describes a member that was removed from the state.
type Removal struct {
	ID        MemberID   `cbor:"1,keyasint" json:"id"`
	Name      string     `cbor:"2,keyasint" json:"name"`
	Guardians []MemberID `cbor:"3,keyasint" json:"guardians"`
	Fenced    bool       `cbor:"4,keyasint" json:"fenced"`
	Offset    Offset     `cbor:"5,keyasint" json:"offset"`
	Cause     Cause      `cbor:"6,keyasint" json:"cause"`
	// GuardianVersion is the version of Guardians.
	GuardianVersion Offset `cbor:"7,keyasint" json:"guardian_version"`
}

// Cause is the reason for a change of a range's owner or for the removal of a member.
type Cause uint8

// Causes of a change of owner or of a removal.
const (
	Unowned   Cause = iota // unowned
	Placed                 // placed
	Moved                  // moved
	TakenOver              // taken_over
	Evicted                // evicted
	Left                   // left
)

// MarshalText writes the cause's name.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
