package encoder

import (
	"net/http"
	"time"

	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/hasher"
)

//go:generate go tool stringer -type=Outcome,Reason,Completeness -linecomment -output=names.go

// Outcome says whether a request was run.
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown means that the request may or may not have run. It is the zero value.
	Unknown  Outcome = iota // unknown
	Answered                // answered
	// NotRun means that the request was not run and that no copy of it will run later.
	NotRun // not_run
)

// Reason says why a backend server did not answer a request.
type Reason uint8

// Reasons for a request without an answer.
const (
	NoReason               Reason = iota // none
	BadRequest                           // bad_request
	UnknownService                       // unknown_service
	MissingKey                           // missing_key
	NotReady                             // not_ready
	NotOwner                             // not_owner
	NoLease                              // no_lease
	Moving                               // moving
	NoOwner                              // no_owner
	Overloaded                           // overloaded
	DeadlineExceeded                     // deadline_exceeded
	Cancelled                            // cancelled
	Poison                               // poison
	BackendFailed                        // backend_failed
	BackendLost                          // backend_lost
	ServerCrashed                        // server_crashed
	PeerUnreachable                      // peer_unreachable
	IdempotencyKeyReused                 // idempotency_key_reused
	OutcomeUnknown                       // outcome_unknown
	IdempotencyRowsMissing               // idempotency_rows_missing
	GuardiansUnreachable                 // guardians_unreachable
	// IdempotencyRowsPending means that a new owner is still fetching the idempotency rows of a range.
	IdempotencyRowsPending // idempotency_rows_pending
	FencedOff              // fenced_off
	RetriesExhausted       // retries_exhausted
	HeaderTooLarge         // header_too_large
	// Evacuated means that the availability zone of the backend server is evacuated, or those of all of the service.
	Evacuated // evacuated
)

// Transient reports whether a retry at the same or another process may soon succeed after a request was not run for
// this reason.
func (r Reason) Transient() bool {
	switch r {
	case NotOwner, NoLease, Moving, NoOwner, NotReady, PeerUnreachable, FencedOff, BackendLost, GuardiansUnreachable,
		IdempotencyRowsPending, Evacuated:
		return true
	}
	return false
}

// Request is the head of a forwarded request. Its body follows on the stream.
type Request struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint,omitempty"`
	Keyed   bool   `cbor:"3,keyasint,omitempty"`
	// Position is the position of Key in the key space.
	Position hasher.Position `cbor:"4,keyasint,omitempty"`
	Method   string          `cbor:"5,keyasint"`
	// Path is the path with the query, as the caller sent it.
	Path   string              `cbor:"6,keyasint"`
	Header map[string][]string `cbor:"7,keyasint,omitempty"`
	Rank   string              `cbor:"8,keyasint"`
	// Remaining is the time that was left until the deadline when the request was forwarded.
	Remaining      time.Duration `cbor:"9,keyasint"`
	IdempotencyKey string        `cbor:"10,keyasint,omitempty"`
	// Nested marks a request made on behalf of one that holds a slot of this service.
	Nested bool `cbor:"11,keyasint,omitempty"`
	// Crashes lists the crashes of backend servers during which the request was in flight, as far as the entry process
	// knows.
	Crashes []applier.InFlightCrash `cbor:"12,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64 `cbor:"13,keyasint"`
	// Applied is the sender's last applied offset. The receiver first catches up with it.
	Applied applier.Offset `cbor:"14,keyasint"`
	// Target is the member to which the request is forwarded.
	Target applier.MemberID `cbor:"15,keyasint"`
}

// Response is the head of the response to a request. If the outcome is Answered, the body of the backend server's
// response follows on the stream.
type Response struct {
	Outcome Outcome             `cbor:"1,keyasint"`
	Reason  Reason              `cbor:"2,keyasint,omitempty"`
	Status  int                 `cbor:"3,keyasint,omitempty"`
	Header  map[string][]string `cbor:"4,keyasint,omitempty"`
	// Length is the body's length in bytes, or -1 when it is not known.
	Length     int64         `cbor:"5,keyasint"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	Load       Load          `cbor:"7,keyasint"`
	// Replayed means that the response is the stored one of an earlier request with the same idempotency key.
	Replayed bool           `cbor:"8,keyasint,omitempty"`
	Applied  applier.Offset `cbor:"9,keyasint"`
	// Crashes lists the crashes of backend servers during which the request was in flight.
	Crashes []applier.InFlightCrash `cbor:"10,keyasint,omitempty"`
}

// Failed reports whether a backend server answered with a status that means overload or an internal failure: 500, 502,
// 503 or 504.
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

// Load is the load of a backend server, as measured by the process beside it.
type Load struct {
	Running int `cbor:"1,keyasint" json:"running"`
	Queued  int `cbor:"2,keyasint" json:"queued"`
	Slots   int `cbor:"3,keyasint" json:"slots"`
	// LowestAdmitted is the urgency of the least urgent rank that is currently admitted.
	LowestAdmitted int `cbor:"4,keyasint" json:"lowest_admitted"`
	// Rate is the number of requests per second that the backend server completed.
	Rate float64 `cbor:"5,keyasint" json:"rate"`
	// Offered is the number of requests per second that arrive for the process's own ranges, whether they are run or
	// not.
	Offered float64 `cbor:"6,keyasint,omitempty" json:"offered"`
}

// Fetch requests the records from an offset on. The answer is Records.
type Fetch struct {
	From applier.Offset `cbor:"1,keyasint"`
}

// Records answers Fetch. Start is the offset of the first record. Trimmed means that the record at the requested offset
// is no longer kept, so the receiver has to request the whole state.
type Records struct {
	Start   applier.Offset `cbor:"1,keyasint"`
	Records [][]byte       `cbor:"2,keyasint"`
	Trimmed bool           `cbor:"3,keyasint,omitempty"`
}

// StateQuery requests the whole state. The answer is a State.
type StateQuery struct{}

// State is an encoded state. It is empty if the process has none.
type State struct {
	Encoded []byte `cbor:"1,keyasint"`
}

// ReplicateRows replicates idempotency rows of an owner to one of its guardians. The answer is an Ack.
type ReplicateRows struct {
	Owner applier.MemberID `cbor:"1,keyasint"`
	Rows  []deduper.Row    `cbor:"2,keyasint,omitempty"`
	// Aborted lists attempts that were refused before dispatch, whose rows the guardian deletes.
	Aborted []deduper.AttemptRef `cbor:"3,keyasint,omitempty"`
	// Complete says whether the guardian now holds all rows of the owner.
	Complete Completeness `cbor:"4,keyasint,omitempty"`
	// Version is the guardian version for which Complete holds.
	Version applier.Offset `cbor:"5,keyasint,omitempty"`
}

// Completeness says whether a guardian holds all rows of an owner, as declared by the owner.
type Completeness uint8

// Values of Completeness. Unchanged leaves the guardian's previous value as it is.
const (
	Unchanged  Completeness = iota // unchanged
	Complete                       // complete
	Incomplete                     // incomplete
)

// RowsQuery requests the rows of a lost owner in a range from one of its guardians. The answer is Rows.
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

// Offer asks a member whether it can receive ranges of a service in a move. The answer is an Ack.
type Offer struct {
	Service string `cbor:"1,keyasint"`
}

// Transfer sends the idempotency rows of moved ranges to their new owner. Epoch is the epoch of the ranges since the
// move. The message with Last set releases the ranges: the source does not serve them again at a lower epoch. The
// answer is an Ack.
type Transfer struct {
	From    applier.MemberID `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint"`
	Ranges  []hasher.Range   `cbor:"3,keyasint"`
	Rows    []deduper.Row    `cbor:"4,keyasint,omitempty"`
	Blocks  []deduper.Block  `cbor:"5,keyasint,omitempty"`
	Epoch   applier.Offset   `cbor:"6,keyasint"`
	Last    bool             `cbor:"7,keyasint,omitempty"`
}

// Ack confirms a message, or refuses it if Refused, the reason, is not empty.
type Ack struct {
	Refused string `cbor:"1,keyasint,omitempty"`
}

func (Request) kind() kind       { return kindRequest }
func (Response) kind() kind      { return kindResponse }
func (Fetch) kind() kind         { return kindFetch }
func (Records) kind() kind       { return kindRecords }
func (State) kind() kind         { return kindState }
func (ReplicateRows) kind() kind { return kindReplicateRows }
func (RowsQuery) kind() kind     { return kindRowsQuery }
func (Rows) kind() kind          { return kindRows }
func (Offer) kind() kind         { return kindOffer }
func (Transfer) kind() kind      { return kindTransfer }
func (Ack) kind() kind           { return kindAck }
func (StateQuery) kind() kind    { return kindStateQuery }
