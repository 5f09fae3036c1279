package result

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error with a result code. Its text starts with the code, so that
// log lines and command output contain it without further formatting.
type Error struct {
	code    Code
	message string
	// cause is nil for an error that New returned.
	cause error
}

// New returns an error with a result code and a message formatted as by
// fmt.Sprintf.
func New(code Code, format string, args ...any) error {
	return &Error{code: code, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a result code and a formatted message, to which
// the text of err is appended. errors.Is and errors.As find err too.
func Wrap(err error, code Code, format string, args ...any) error {
	return &Error{code: code, message: fmt.Sprintf(format, args...) + ": " + err.Error(), cause: err}
}

// Unwrap returns the error that Wrap was called with, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Message returns the message without the result code.
func (e *Error) Message() string { return e.message }

// Error returns the number of the result code, its name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.code, e.code, e.message)
}

// Coded is implemented by every type of error that has a result code, such as
// Error and document.Faults.
type Coded interface {
	error
	Code() Code
}

// CodeOf returns the result code of the first error in the chain of err that
// has one, or Internal if none has.
func CodeOf(err error) Code {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return Internal
}
