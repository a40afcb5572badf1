package operator

import "github.com/pkg/errors"

//go:generate go tool stringer -type=Code -linecomment -output=names.go

// Code is the exit code of a command.
type Code int

// Exit codes.
const (
	Done        Code = iota // done
	Rejected                // rejected
	BadInput                // bad_input
	Unreachable             // log_unreachable
)

// MarshalText returns the name of the code.
func (c Code) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Error is the error of a command, with its exit code.
type Error struct {
	Code Code
	Err  error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the exit code of an error. Errors of other types than Error come from parsing arguments and give
// BadInput.
func CodeOf(err error) Code {
	var failure *Error
	switch {
	case err == nil:
		return Done
	case errors.As(err, &failure):
		return failure.Code
	}
	return BadInput
}

func rejected(format string, args ...any) error {
	return &Error{Code: Rejected, Err: errors.Errorf(format, args...)}
}

func badInput(format string, args ...any) error {
	return &Error{Code: BadInput, Err: errors.Errorf(format, args...)}
}
