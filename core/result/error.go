package result

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error with a numbered code. Its text starts with the number, so
// that a log line or a terminal shows it without further formatting.
type Error struct {
	code    Code
	message string
}

// New returns an error with the code and a message in the manner of fmt.
func New(code Code, format string, args ...any) error {
	return &Error{code: code, message: fmt.Sprintf(format, args...)}
}

// Wrap returns err with a code in front. The cause stays reachable by
// errors.Is and errors.As.
func Wrap(err error, code Code, format string, args ...any) error {
	return errors.WithSecondaryError(
		&Error{code: code, message: fmt.Sprintf(format, args...) + ": " + err.Error()}, err)
}

// Code returns the numbered code.
func (e *Error) Code() Code { return e.code }

// Message returns the text without the number.
func (e *Error) Message() string { return e.message }

// Error returns the number, the name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.code, e.code, e.message)
}

// Coded is an error that knows its numbered code.
type Coded interface {
	error
	Code() Code
}

// CodeOf returns the code of err, or Internal when it carries none.
func CodeOf(err error) Code {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return Internal
}
