package executor

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/carrier"
	"hibiscusline/timer"
)

//go:generate go tool stringer -type=Outcome,Reason -linecomment -output=names.go

// Outcome tells whether a request was executed.
type Outcome uint8

// Outcomes. NotRun guarantees that the request has not run and won't. Unknown guarantees nothing.
const (
	Answered Outcome = iota // answered
	NotRun                  // not_run
	Unknown                 // unknown
)

// Reason tells why a request has no response.
type Reason uint8

// Reasons.
const (
	NoReason           Reason = iota // none
	Draining                         // draining
	NoServer                         // no_server
	NotOwner                         // not_owner
	Overloaded                       // overloaded
	DeadlineTooClose                 // deadline_too_close
	ServerRefused                    // server_refused
	ConnectionFailed                 // connection_failed
	ConnectionLost                   // connection_lost
	MalformedResponse                // spoiled_answer
	DeadlinePassed                   // deadline_passed
	CallerDisconnected               // caller_gone
	Stopping                         // stopping
	PeerUnreachable                  // peer_unreachable
	ServerStalled                    // server_silent
	LinkBusy                         // link_busy
	Poison                           // poison
	reasonCount
)

// Job is a request for the backend server.
type Job struct {
	// ID identifies the request in logs.
	ID string
	// Request holds the end-to-end header fields of the caller.
	Request *carrier.Request
	// Rank is the priority class, Priority its urgency, and LatencyTarget the response time that the class aims at.
	Rank          string
	Priority      int
	LatencyTarget time.Duration
	// Deadline is the time, as timer.Now returns it, from which on a response is useless.
	Deadline time.Duration
	// Service is the name of the service that the request is for.
	Service string
	// Keyed means that only the owner of Key may run the request.
	Keyed bool
	Key   uint16
	// Detached means that the request, once sent, continues after the caller disconnects, because it can't be repeated.
	Detached bool
	// Resent means that the request was sent to the same member before.
	Resent bool
	// Nested means that a backend server makes the request while it runs another one, whose work is lost if this one fails.
	// Priority is then that of the other one if that is more urgent.
	Nested bool
	// Crashes are the crashes of servers that count against the request, as far as its sender knows.
	Crashes []applier.InFlightCrash
	// fingerprint is the result of Fingerprint, or zero before its first call.
	fingerprint uint64
}

// Load is the load of a backend server.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is the average time that the server takes for a request.
	ServiceTime time.Duration
	// Offered is the offered load: the number of slots that the arriving requests need, as a share of Slots.
	Offered float64
	// ColdFor is how much longer the server stays cold, or zero, and ColdRoom the number of further requests that it may be
	// sent now if it is.
	ColdFor  time.Duration
	ColdRoom float64
	// Slowness is how long work takes at the server at present, as a multiple of the usual time, or zero if that is unknown.
	Slowness float64
}

// Result is the result of a job.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay after which a retry may succeed, for NotRun.
	RetryAfter time.Duration
	// Response is the server's response, for Answered.
	Response *carrier.Response
	Load     Load
	// Reached means that the server received the request, or may have, even if it refused to run it.
	Reached bool
	// Crashes are the crashes of servers that count against the request.
	Crashes []applier.InFlightCrash
	// connectionBroke means that the connection to the server broke after the request was sent.
	connectionBroke bool
}

// Header fields of requests and responses between sidecars.
const (
	FieldPrefix     = "Hibiscus-"
	rankField       = "Hibiscus-Rank"
	timeoutField    = "Hibiscus-Timeout-Us"
	serviceField    = "Hibiscus-Service"
	keyField        = "Hibiscus-Key"
	detachedField   = "Hibiscus-Detached"
	resentField     = "Hibiscus-Resent"
	nestedField     = "Hibiscus-Nested"
	idField         = "Hibiscus-Request-Id"
	outcomeField    = "Hibiscus-Outcome"
	reasonField     = "Hibiscus-Reason"
	retryAfterField = "Hibiscus-Retry-After-Ms"
	loadField       = "Hibiscus-Load"
	reachedField    = "Hibiscus-Reached"
	crashesField    = "Hibiscus-Crashes"
)

// EncodeJob returns the request that carries a job to another sidecar.
func EncodeJob(j *Job) *carrier.Request {
	h := j.Request.Header.Clone()
	h[idField] = []string{j.ID}
	h[rankField] = []string{
		strconv.Itoa(j.Priority) + " " + strconv.FormatInt(j.LatencyTarget.Milliseconds(), 10) + " " + j.Rank,
	}
	h[timeoutField] = []string{strconv.FormatInt((j.Deadline - timer.Now()).Microseconds(), 10)}
	h[serviceField] = []string{j.Service}
	if j.Keyed {
		h[keyField] = []string{strconv.Itoa(int(j.Key))}
	}
	if j.Detached {
		h[detachedField] = []string{"1"}
	}
	if j.Resent {
		h[resentField] = []string{"1"}
	}
	if j.Nested {
		h[nestedField] = []string{"1"}
	}
	encodeCrashes(h, j.Crashes)
	q := *j.Request
	q.Header = h
	return &q
}

// DecodeJob decodes a job from another sidecar's request and removes the internal header fields from it. It returns an
// error if a field is missing or malformed. The text of the error is sent to that sidecar.
func DecodeJob(q *carrier.Request) (*Job, error) {
	h := q.Header
	j := &Job{ID: h.Get(idField), Request: q, Service: h.Get(serviceField), Detached: h.Get(detachedField) != ""}
	j.Resent, j.Nested, j.Crashes = h.Get(resentField) != "", h.Get(nestedField) != "", decodeCrashes(h)
	parts := strings.SplitN(h.Get(rankField), " ", 3)
	if len(parts) != 3 {
		return nil, errors.New("missing rank")
	}
	priority, err := strconv.Atoi(parts[0])
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	target, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	j.Priority, j.LatencyTarget, j.Rank = priority, time.Duration(target)*time.Millisecond, parts[2]
	remaining, err := strconv.ParseInt(h.Get(timeoutField), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "timeout")
	}
	j.Deadline = q.Received + time.Duration(remaining)*time.Microsecond
	if text := h.Get(keyField); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, errors.Wrap(err, "key")
		}
		j.Keyed, j.Key = true, uint16(key)
	}
	StripFields(h)
	return j, nil
}

// StripFields removes the internal header fields, which callers must not set.
func StripFields(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, FieldPrefix) {
			delete(h, name)
		}
	}
}

// EncodeResult returns the response that carries a result to another sidecar. It modifies the header of r.Response.
func EncodeResult(r Result) *carrier.Response {
	response := r.Response
	if response == nil {
		status := http.StatusBadGateway
		if r.Outcome == NotRun {
			status = http.StatusServiceUnavailable
		}
		response = carrier.NewResponse(status, r.Reason.String())
	}
	h := response.Header
	h[outcomeField] = []string{strconv.Itoa(int(r.Outcome))}
	h[reasonField] = []string{strconv.Itoa(int(r.Reason))}
	if r.RetryAfter > 0 {
		h[retryAfterField] = []string{strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)}
	}
	if r.Reached {
		h[reachedField] = []string{"1"}
	}
	encodeCrashes(h, r.Crashes)
	l := r.Load
	h[loadField] = []string{strconv.Itoa(l.Running) + " " + strconv.Itoa(l.Waiting) + " " + strconv.Itoa(l.Slots) + " " +
		strconv.FormatInt(l.ServiceTime.Milliseconds(), 10) + " " + strconv.Itoa(int(l.Offered*offeredScale)) + " " +
		strconv.FormatInt(l.ColdFor.Milliseconds(), 10) + " " + strconv.Itoa(int(l.ColdRoom*offeredScale)) + " " +
		strconv.Itoa(int(l.Slowness*offeredScale))}
	return response
}

// DecodeResult decodes a result from another sidecar's response. It returns an error if a field is missing or
// malformed.
func DecodeResult(response *carrier.Response) (Result, error) {
	h := response.Header
	outcome, err := strconv.Atoi(h.Get(outcomeField))
	if err != nil || outcome < 0 || outcome > int(Unknown) {
		return Result{}, errors.New("sidecar response without a valid outcome")
	}
	reason, err := strconv.Atoi(h.Get(reasonField))
	if err != nil || reason < 0 || reason >= int(reasonCount) {
		return Result{}, errors.New("sidecar response without a valid reason")
	}
	r := Result{Outcome: Outcome(outcome), Reason: Reason(reason), Reached: h.Get(reachedField) != ""}
	if text := h.Get(retryAfterField); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Result{}, errors.Wrap(err, "sidecar response: decode the retry delay")
		}
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	r.Load, r.Crashes = decodeLoad(h.Get(loadField)), decodeCrashes(h)
	if r.Outcome == Answered {
		StripFields(h)
		r.Response = response
	}
	return r, nil
}

// RefuseBody returns the response to another sidecar's request whose body exceeds the memory for requests.
func RefuseBody(http.Header) *carrier.Response {
	return EncodeResult(Result{Outcome: NotRun, Reason: Overloaded, RetryAfter: defaultRetryAfter})
}

// offeredScale is the resolution at which the fractions of a Load are encoded, in steps per unit.
const offeredScale = 1000

func decodeLoad(text string) Load {
	// Earlier releases send the first five.
	var values [8]int
	for i, part := range strings.Fields(text) {
		if v, err := strconv.Atoi(part); err == nil && i < len(values) {
			values[i] = v
		}
	}
	return Load{
		Running: values[0], Waiting: values[1], Slots: values[2], ServiceTime: time.Duration(values[3]) * time.Millisecond,
		Offered: float64(values[4]) / offeredScale, ColdFor: time.Duration(values[5]) * time.Millisecond,
		ColdRoom: float64(values[6]) / offeredScale, Slowness: float64(values[7]) / offeredScale,
	}
}
