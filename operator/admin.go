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

// maxResponseBytes bounds the response of an admin endpoint.
const maxResponseBytes = 256 << 20

// errNoResponse means that there was no HTTP response at all, not even an error status.
var errNoResponse = errors.New("no answer from the admin endpoint")

// httpClient uses no proxy and follows no redirects, so that an operation reaches the process that the operator named.
var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// callAdmin sends a request to a member's admin endpoint and returns the body of a successful response. For another
// status it returns an Error with code Rejected and the member's reason.
func callAdmin(ctx context.Context, address netip.AddrPort, method, path string, body any) ([]byte, error) {
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
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, &Error{Code: Rejected, Err: fmt.Errorf("%w: %w", errNoResponse, err)}
	}
	data, err := readAll(response.Body, maxResponseBytes)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, rejected("answer of the admin endpoint %s broke off: %s", address, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, rejected("%s refused %s %s with %s: %s", address, method, path, response.Status, refusalMessage(data))
	}
	return data, nil
}

// readAll reads up to limit bytes, and returns an error if there are more.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Errorf("it is longer than %d bytes", limit)
	}
	return data, err
}

// refusalMessage returns the message in the body of an error response, or the start of a body in another format.
func refusalMessage(data []byte) string {
	var r reporter.ErrorResponse
	if err := json.Unmarshal(data, &r); err == nil && r.Message != "" {
		return quoteUnprintable(r.Message)
	}
	const shown = 200
	return quoteUnprintable(string(bytes.TrimSpace(data[:min(len(data), shown)])))
}

func fetchStatus(ctx context.Context, address netip.AddrPort) (reporter.Status, error) {
	data, err := callAdmin(ctx, address, http.MethodGet, "/status", nil)
	if err != nil {
		return reporter.Status{}, err
	}
	var status reporter.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return status, &Error{Code: Rejected, Err: errors.Wrapf(err, "status of %s", address)}
	}
	return status, nil
}
