package encoder

import (
	"net/http"
	"time"

	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/hasher"
)

//go:generate go tool stringer -type=Outcome,Reason,Completeness -linecomment -output=names.go

// Outcome says what became of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown is the zero value: without a statement, a request may or may not have run.
	Unknown  Outcome = iota // unknown
	Answered                // answered
	// NotRun means that the request was not run and that no copy of it will run later.
	NotRun // not_run
)

// Reason says why a request was not answered by a backend server.
type Reason uint8

// Reasons of a request without an answer.
const (
	NoReason         Reason = iota // none
	BadRequest                     // bad_request
	UnknownService                 // unknown_service
	MissingKey                     // missing_key
	NotReady                       // not_ready
	NotOwner                       // not_owner
	NoLease                        // no_lease
	Moving                         // moving
	NoOwner                        // no_owner
	Overloaded                     // overloaded
	DeadlineExceeded               // deadline_exceeded
	Cancelled                      // cancelled
	Poison                         // poison
	BackendFailed                  // backend_failed
	BackendLost                    // backend_lost
	ServerCrashed                  // server_crashed
	PeerUnreachable                // peer_unreachable
	KeyReused                      // idempotency_key_reused
	OutcomeUnknown                 // outcome_unknown
	RowsMissing                    // idempotency_rows_missing
	GuardiansSilent                // guardians_unreachable
	// RowsPending means that a new owner is still fetching the idempotency rows of a range.
	RowsPending      // idempotency_rows_pending
	FencedOff        // fenced_off
	RetriesExhausted // retries_exhausted
	HeaderTooLarge   // header_too_large
)

// Transient reports whether a request that was not run for this reason may run soon at the same or another process.
func (r Reason) Transient() bool {
	switch r {
	case NotOwner, NoLease, Moving, NoOwner, NotReady, PeerUnreachable, FencedOff, BackendLost, GuardiansSilent, RowsPending:
		return true
	}
	return false
}

// Request is the head of a forwarded request. Its body follows on the stream.
type Request struct {
	Service string          `cbor:"1,keyasint"`
	Key     string          `cbor:"2,keyasint,omitempty"`
	Keyed   bool            `cbor:"3,keyasint,omitempty"`
	At      hasher.Position `cbor:"4,keyasint,omitempty"`
	Method  string          `cbor:"5,keyasint"`
	// Path is the path with the query, as the caller sent it.
	Path           string              `cbor:"6,keyasint"`
	Header         map[string][]string `cbor:"7,keyasint,omitempty"`
	Rank           string              `cbor:"8,keyasint"`
	Remaining      time.Duration       `cbor:"9,keyasint"`
	IdempotencyKey string              `cbor:"10,keyasint,omitempty"`
	Nested         bool                `cbor:"11,keyasint,omitempty"`
	// Crashes are the crashes of backend servers that the entry knows this request was in flight in.
	Crashes []applier.CrashMark `cbor:"12,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 when it is not known.
	Length  int64            `cbor:"13,keyasint"`
	Applied applier.Offset   `cbor:"14,keyasint"`
	Target  applier.MemberID `cbor:"15,keyasint"`
}

// Response is the head of the answer to a request. A backend server's body follows on the stream when the outcome is
// Answered.
type Response struct {
	Outcome Outcome             `cbor:"1,keyasint"`
	Reason  Reason              `cbor:"2,keyasint,omitempty"`
	Status  int                 `cbor:"3,keyasint,omitempty"`
	Header  map[string][]string `cbor:"4,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 when it is not known.
	Length     int64         `cbor:"5,keyasint"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	Load       Load          `cbor:"7,keyasint"`
	// Replayed means that the answer is the stored outcome of an earlier request with the same idempotency key.
	Replayed bool           `cbor:"8,keyasint,omitempty"`
	Applied  applier.Offset `cbor:"9,keyasint"`
	// Crashes are the crashes of backend servers that the request was in flight in.
	Crashes []applier.CrashMark `cbor:"10,keyasint,omitempty"`
}

// Failed reports whether a backend server answered that it shed the request or couldn't carry it out for a reason of its
// own.
func (r Response) Failed() bool {
	if r.Outcome != Answered {
		return false
	}
	switch r.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// Load is a process's first-hand view of the backend server beside it.
type Load struct {
	Running int `cbor:"1,keyasint" json:"running"`
	Queued  int `cbor:"2,keyasint" json:"queued"`
	Slots   int `cbor:"3,keyasint" json:"slots"`
	// LowestAdmitted is the urgency value of the least urgent rank that is admitted now.
	LowestAdmitted int `cbor:"4,keyasint" json:"lowest_admitted"`
	// Rate is the number of requests that the backend server completed a second.
	Rate float64 `cbor:"5,keyasint" json:"rate"`
	// Offered is the number of requests for the process's own ranges that arrive a second, whether they are run or not.
	Offered float64 `cbor:"6,keyasint,omitempty" json:"offered"`
}

// Fetch asks for the records from an offset on.
type Fetch struct {
	From applier.Offset `cbor:"1,keyasint"`
}

// Records answers Fetch. Start is the offset of the first record; Trimmed means that the records from the asked offset
// on are no longer kept and that the whole state has to be asked for.
type Records struct {
	Start   applier.Offset `cbor:"1,keyasint"`
	Records [][]byte       `cbor:"2,keyasint"`
	Trimmed bool           `cbor:"3,keyasint,omitempty"`
}

// StateQuery asks for the whole state. The answer is a State.
type StateQuery struct{}

// State is an encoded state. An empty one means that the process has none.
type State struct {
	Encoded []byte `cbor:"1,keyasint"`
}

// RecordRows gives idempotency rows of an owner to one of its guardians. The answer is an Ack.
type RecordRows struct {
	Owner applier.MemberID `cbor:"1,keyasint"`
	Rows  []deduper.Row    `cbor:"2,keyasint,omitempty"`
	// Forget names attempts that were refused before dispatch.
	Forget []deduper.AttemptRef `cbor:"3,keyasint,omitempty"`
	// Complete says whether the guardian now holds all rows of the owner.
	Complete Completeness `cbor:"4,keyasint,omitempty"`
	// Version is the guardian version for which Complete holds.
	Version applier.Offset `cbor:"5,keyasint,omitempty"`
}

// Completeness is an owner's statement about the rows that a guardian holds.
type Completeness uint8

// Statements about completeness.
const (
	Unchanged  Completeness = iota // unchanged
	Complete                       // complete
	Incomplete                     // incomplete
)

// RowsQuery asks a guardian for the rows of a lost owner that lie in a range. The answer is Rows.
type RowsQuery struct {
	Owner   applier.MemberID `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint"`
	Range   hasher.Range     `cbor:"3,keyasint"`
	// Version is the owner's last guardian version.
	Version applier.Offset `cbor:"4,keyasint"`
}

// Rows answers RowsQuery. Complete means that the guardian holds all rows of the owner.
type Rows struct {
	Rows     []deduper.Row `cbor:"1,keyasint,omitempty"`
	Complete bool          `cbor:"2,keyasint,omitempty"`
}

// Offer asks a member whether it can take ranges of a service. The answer is an Ack.
type Offer struct {
	Service string `cbor:"1,keyasint"`
}

// Transfer hands the idempotency rows of moved ranges to their owner. Epoch is the one that the move gave to the ranges. The
// last message releases the ranges: the source will not serve them again at a lower epoch. The answer is an Ack.
type Transfer struct {
	From    applier.MemberID `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint"`
	Ranges  []hasher.Range   `cbor:"3,keyasint"`
	Rows    []deduper.Row    `cbor:"4,keyasint,omitempty"`
	Blocks  []deduper.Block  `cbor:"5,keyasint,omitempty"`
	Epoch   applier.Offset   `cbor:"6,keyasint"`
	Last    bool             `cbor:"7,keyasint,omitempty"`
}

// Ack confirms a message, or refuses it with a reason.
type Ack struct {
	Refused string `cbor:"1,keyasint,omitempty"`
}

func (Request) kind() kind    { return kindRequest }
func (Response) kind() kind   { return kindResponse }
func (Fetch) kind() kind      { return kindFetch }
func (Records) kind() kind    { return kindRecords }
func (State) kind() kind      { return kindState }
func (RecordRows) kind() kind { return kindRecordRows }
func (RowsQuery) kind() kind  { return kindRowsQuery }
func (Rows) kind() kind       { return kindRows }
func (Offer) kind() kind      { return kindOffer }
func (Transfer) kind() kind   { return kindTransfer }
func (Ack) kind() kind        { return kindAck }
func (StateQuery) kind() kind { return kindStateQuery }
