package entry

import "github.com/arbutusring/arbutusring/pkg/errkind"

// violationError is a protocol violation within a message, after which the
// connection cannot be trusted.
type violationError struct {
	cause *errkind.Error
}

var _ error = (*violationError)(nil)

func violation(format string, args ...any) error {
	return &violationError{errkind.New(errkind.BadRequest, format, args...)}
}

// Error returns the text of the cause.
func (e *violationError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, of kind BadRequest.
func (e *violationError) Unwrap() error { return e.cause }
