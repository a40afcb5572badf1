package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hibiscusline/encoder"
)

// Headers of callers' requests and of the router's responses.
const (
	HeaderService        = "Hibiscus-Service"
	HeaderKey            = "Hibiscus-Key"
	HeaderTimeout        = "Hibiscus-Timeout-Ms"
	HeaderParent         = "Hibiscus-Parent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Hibiscus-Outcome"
	HeaderReason         = "Hibiscus-Reason"
	HeaderReplayed       = "Hibiscus-Replayed"
)

// ErrorBody is the JSON body of a response that the router generates itself.
type ErrorBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// statusOf returns the HTTP status of a response that the router generates itself.
func statusOf(outcome encoder.Outcome, reason encoder.Reason) int {
	switch reason {
	case encoder.BadRequest, encoder.MissingKey:
		return http.StatusBadRequest
	case encoder.UnknownService:
		return http.StatusNotFound
	case encoder.IdempotencyKeyReused:
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

// messageOf returns an explanation of an outcome and its reason for the caller.
func messageOf(outcome encoder.Outcome, reason encoder.Reason) string {
	switch reason {
	case encoder.MissingKey:
		return "the service is divided by key; set the " + HeaderKey + " header"
	case encoder.UnknownService:
		return "the service named by " + HeaderService + " is not in the configuration in force"
	case encoder.Poison:
		return "backend servers crashed while they ran this request; it is refused"
	case encoder.IdempotencyKeyReused:
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

// writeFailure responds to the caller without a backend server's response.
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
	// A write error means that the caller has disconnected, so it is ignored.
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, because the header has a resolution of one second.
func retryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
