package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"hibiscusline/reporter"
)

// maxReply bounds the answer of an admin endpoint in bytes.
const maxReply = 256 << 20

// errNoAnswer means that no answer came at all, not even a refusal.
var errNoAnswer = errors.New("no answer from the admin endpoint")

// client uses no proxy and follows no redirects: an operation must reach the process that the operator named.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends a request to a member's admin endpoint and returns the body of a successful answer. A refusal is an Error
// with code Rejected and the member's reason.
func call(ctx context.Context, address netip.AddrPort, method, path string, body any) ([]byte, error) {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, &encoded)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Code: Rejected, Err: fmt.Errorf("%w: %w", errNoAnswer, err)}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, rejected("answer of the admin endpoint %s broke off: %s", address, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, rejected("%s refused %s %s with %s: %s", address, method, path, response.Status, refusal(data))
	}
	return data, nil
}

func refusal(data []byte) string {
	var r reporter.ErrorResponse
	if err := json.Unmarshal(data, &r); err == nil && r.Message != "" {
		return clean(r.Message)
	}
	const shown = 200
	return clean(string(bytes.TrimSpace(data[:min(len(data), shown)])))
}

func askStatus(ctx context.Context, address netip.AddrPort) (reporter.Status, error) {
	data, err := call(ctx, address, http.MethodGet, "/status", nil)
	if err != nil {
		return reporter.Status{}, err
	}
	var status reporter.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return status, &Error{Code: Rejected, Err: errors.Wrapf(err, "status of %s", address)}
	}
	return status, nil
}
