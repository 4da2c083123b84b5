package errkind

import (
	"errors"
	"fmt"
)

// Error is an error with a kind, a message for the caller and a cause.
type Error struct {
	Kind   Kind
	Detail string // text for the caller or operator
	Cause  error  // may be nil
}

var _ error = (*Error)(nil)

// Error returns the kind, the detail and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with the given cause.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the kind of err: OK for nil, Internal for an error
// without a kind.
func Of(err error) Kind {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
