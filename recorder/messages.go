package recorder

import "github.com/pkg/errors"

// Limits of the log service.
const (
	// MaxRecordBytes is the size limit of one record.
	MaxRecordBytes = 1 << 20
	// MaxReadRecords is the largest number of records that one read returns, and the default value of its limit
	// parameter.
	MaxReadRecords = 1000
	// MaxReadBytes is the size limit of the records of one read. A read returns at least one record if there is one.
	MaxReadBytes = 4 << 20
	// MaxStreamNameBytes is the length limit of a stream name.
	MaxStreamNameBytes = 64
)

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset uint64 `cbor:"1,keyasint"`
}

// ReadReply is the answer to a read. Records holds consecutive records; it is empty when the log has none from the
// requested offset on.
type ReadReply struct {
	// First is the first offset that the stream retains. It equals Next when the stream retains no record.
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

// ErrorReply is the body of a response whose status code is not a success.
type ErrorReply struct {
	Reason  Reason `json:"reason"`
	Message string `json:"message"`
}

// Error returns the reason and the message.
func (e *ErrorReply) Error() string { return e.Reason.String() + ": " + e.Message }
