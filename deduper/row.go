package deduper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/hasher"
)

//go:generate go tool stringer -type=RowState -linecomment -output=names.go

// RowState is the progress of a request. A greater state replaces a lesser one of the same attempt.
type RowState uint8

// States of a row.
const (
	// Intended means that the request may have been dispatched. Only the process that runs it knows whether it was.
	Intended  RowState = iota // intended
	Unknown                   // unknown
	Completed                 // completed
)

// MarshalText writes the state's name.
func (s RowState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// ID identifies a row. It includes the position, so that rows of different ranges can't collide when one owner gets
// both ranges.
type ID struct {
	Service  string          `cbor:"1,keyasint"`
	Position hasher.Position `cbor:"2,keyasint"`
	// Key is the value of the Idempotency-Key header.
	Key string `cbor:"3,keyasint"`
}

// AttemptRef identifies one attempt of a request. Attempts are numbered by the table that created the row.
type AttemptRef struct {
	ID      ID     `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}

// Outcome is the response to a request.
type Outcome struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Partial means that headers and body were too large to store. The request completed with Status, but its response
	// can't be replayed.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

func (o Outcome) size() int {
	size := len(o.Body)
	for name, values := range o.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Row is the record of one idempotency key. Rows share the memory of headers and bodies, which must not be modified.
type Row struct {
	Ref AttemptRef `cbor:"1,keyasint"`
	// Request is a hash of the request's method, path and key (see RequestHash).
	Request uint64   `cbor:"2,keyasint"`
	State   RowState `cbor:"3,keyasint"`
	Outcome Outcome  `cbor:"4,keyasint"`
	// Age is the time since the intent was recorded. No absolute time is sent, because the clocks of processes differ.
	Age time.Duration `cbor:"5,keyasint"`
}

// RequestHash returns a hash of the request that an idempotency key was used for.
func RequestHash(method, path, requestKey string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, path, requestKey} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// driftDivisor is the inverse of the largest assumed difference of clock rates between two processes (5%, as for
// leases).
const driftDivisor = 20

// minElapsed is the least time that has passed on this process's clock while age passed on the sender's clock.
func minElapsed(age time.Duration) time.Duration { return max(0, age-age/driftDivisor) }

// driftSafeWait is the time to wait on this process's clock so that at least wait passes on every other clock.
func driftSafeWait(wait time.Duration) time.Duration { return wait + wait/driftDivisor }
