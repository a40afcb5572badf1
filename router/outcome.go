package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hibiscusline/encoder"
)

// Headers between callers and the router.
const (
	HeaderService     = "Hibiscus-Service"
	HeaderKey         = "Hibiscus-Key"
	HeaderTimeout     = "Hibiscus-Timeout-Ms"
	HeaderParent      = "Hibiscus-Parent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome     = "Hibiscus-Outcome"
	HeaderReason      = "Hibiscus-Reason"
	HeaderReplayed    = "Hibiscus-Replayed"
)

// ErrorBody is the JSON body of an answer that the router gives itself.
type ErrorBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// statusOf returns the HTTP status of an answer that the router gives itself.
func statusOf(outcome encoder.Outcome, reason encoder.Reason) int {
	switch reason {
	case encoder.BadRequest, encoder.MissingKey:
		return http.StatusBadRequest
	case encoder.UnknownService:
		return http.StatusNotFound
	case encoder.KeyReused:
		return http.StatusUnprocessableEntity
	case encoder.OutcomeUnknown:
		return http.StatusConflict
	case encoder.Poison:
		return http.StatusUnprocessableEntity
	case encoder.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case encoder.Overloaded:
		return http.StatusTooManyRequests
	case encoder.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	if outcome == encoder.Unknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// messageOf explains an outcome and its reason to the caller.
func messageOf(outcome encoder.Outcome, reason encoder.Reason) string {
	switch reason {
	case encoder.MissingKey:
		return "the service is divided by key; set the " + HeaderKey + " header"
	case encoder.UnknownService:
		return "the service named by " + HeaderService + " is not in the configuration in force"
	case encoder.Poison:
		return "backend servers crashed while they ran this request; it is refused"
	case encoder.KeyReused:
		return "the idempotency key was used before with another request"
	case encoder.OutcomeUnknown:
		return "an earlier request with this idempotency key was sent to a backend server and its outcome is not known"
	}
	switch outcome {
	case encoder.NotRun:
		return "the request was not run: " + reason.String()
	case encoder.Unknown:
		return "the request may have been run: " + reason.String()
	}
	return reason.String()
}

// writeFailure answers the caller without a backend server's answer.
func writeFailure(w http.ResponseWriter, r encoder.Response, message string) {
	if message == "" {
		message = messageOf(r.Outcome, r.Reason)
	}
	body, err := json.Marshal(ErrorBody{Outcome: r.Outcome.String(), Reason: r.Reason.String(), Message: message})
	if err != nil {
		// A struct of strings always encodes.
		panic(err)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderOutcome, r.Outcome.String())
	header.Set(HeaderReason, r.Reason.String())
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	w.WriteHeader(statusOf(r.Outcome, r.Reason))
	// A caller that has gone needs no answer.
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, since the header counts whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
