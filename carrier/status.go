package carrier

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// statusLineForm is the beginning of a status line up to the status code. A digit stands for all digits up to it.
const statusLineForm = "HTTP/1.1 599"

// checkStatusLine reads ahead to the end of the status code, byte by byte, so that bytes that don't begin an HTTP/1 response
// are noticed as soon as they arrive. The reason phrase is left to CheckResponse.
func checkStatusLine(r *bufio.Reader) error {
	for n := 1; n <= len(statusLineForm)+1; n++ {
		b, err := r.Peek(n)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return errors.Wrap(err, "read response")
		}
		if !beginsStatusLine(b) {
			return errors.Wrapf(ErrMalformedResponse, "no status line begins with %q", b)
		}
	}
	return nil
}

// beginsStatusLine reports whether the last byte fits, if those before it do.
func beginsStatusLine(b []byte) bool {
	i := len(b) - 1
	if i == len(statusLineForm) {
		return b[i] == ' ' || b[i] == '\r' || b[i] == '\n'
	}
	switch form := statusLineForm[i]; {
	case i == len(statusLineForm)-3:
		return '1' <= b[i] && b[i] <= form
	case '0' < form && form <= '9' && i > len("HTTP/1"):
		return '0' <= b[i] && b[i] <= form
	default:
		return b[i] == form
	}
}

// CheckResponse returns ErrMalformedResponse if what net/http has parsed isn't an HTTP/1 response to a request that asks for
// no other protocol: net/http accepts every status code of three digits, signs in it, other versions of the protocol, control
// bytes in the status and blanks in the names of fields.
func CheckResponse(r *http.Response) error {
	switch {
	case r.Proto != "HTTP/1.1" && r.Proto != "HTTP/1.0":
		return errors.Wrapf(ErrMalformedResponse, "protocol %q", r.Proto)
	case r.StatusCode < 100, r.StatusCode > 599, r.Status[0] < '1', r.Status[0] > '5':
		return errors.Wrapf(ErrMalformedResponse, "status %q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrMalformedResponse, "an answer to a request that asks for no other protocol")
	}
	for i := range len(r.Status) {
		if b := r.Status[i]; b < ' ' && b != '\t' || b == 0x7f {
			return errors.Wrapf(ErrMalformedResponse, "control byte in the status %q", r.Status)
		}
	}
	return CheckFieldNames(r.Header)
}

// CheckFieldNames returns ErrMalformedResponse if the header of a response has a field whose name isn't one of HTTP. Such a field
// may have been meant to delimit the body, so the body can't be trusted either.
func CheckFieldNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedResponse, "header field with the name %q", name)
		}
	}
	return nil
}
