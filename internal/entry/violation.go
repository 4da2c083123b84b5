package entry

import "github.com/arbutusring/arbutusring/pkg/errkind"

// violationError reports a malformed or unexpected message. The connection is
// closed after it, because the message stream can no longer be trusted.
type violationError struct {
	cause *errkind.Error
}

var _ error = (*violationError)(nil)

// newViolation returns a violationError whose cause has the formatted text.
func newViolation(format string, args ...any) error {
	return &violationError{errkind.New(errkind.BadRequest, format, args...)}
}

// Error returns the text of the cause.
func (e *violationError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, of kind BadRequest.
func (e *violationError) Unwrap() error { return e.cause }
