package recorder

import "github.com/pkg/errors"

// Limits of the log service.
const (
	// MaxRecordBytes is the size of the largest record in bytes.
	MaxRecordBytes = 1 << 20
	// MaxReadRecords is the number of records that one read returns at most, and the default of its limit.
	MaxReadRecords = 1000
	// MaxReadBytes bounds the records of one read in bytes. A read returns at least one record if there is one.
	MaxReadBytes = 4 << 20
	// MaxStreamNameBytes is the length of the longest stream name in bytes.
	MaxStreamNameBytes = 64
)

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset uint64 `cbor:"1,keyasint"`
}

// ReadReply is the answer to a read. Records holds consecutive records; it is empty when the log has none from the
// requested offset on.
type ReadReply struct {
	// First is the first offset still kept. It equals Next when the stream keeps no record.
	First uint64 `cbor:"1,keyasint"`
	// Next is the offset that the next record will get.
	Next    uint64   `cbor:"2,keyasint"`
	Records [][]byte `cbor:"3,keyasint"`
	// Start is the offset of Records[0]. Without records it equals Next.
	Start uint64 `cbor:"4,keyasint"`
}

// Reason classifies an error of the log service.
type Reason uint8

// Reasons of errors.
const (
	BadRequest  Reason = iota + 1 // bad_request
	NotFound                      // not_found
	TooLarge                      // too_large
	RateLimited                   // rate_limited
	Down                          // down
)

// MarshalText writes the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the reason's name.
func (r *Reason) UnmarshalText(text []byte) error {
	for candidate := BadRequest; candidate <= Down; candidate++ {
		if candidate.String() == string(text) {
			*r = candidate
			return nil
		}
	}
	return errors.Errorf("unknown reason %q", text)
}

// ErrorReply is the body of an answer that is not a success.
type ErrorReply struct {
	Reason  Reason `json:"reason"`
	Message string `json:"message"`
}

// Error returns the reason and the message.
func (e *ErrorReply) Error() string { return e.Reason.String() + ": " + e.Message }
