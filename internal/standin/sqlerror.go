package standin

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// The SQLSTATEs that the server answers with.
const (
	codeSyntax         = "42601"
	codeUnsupported    = "0A000"
	codeUnknown        = "42883" // undefined function
	codeNoColumn       = "42703"
	codeUnique         = "23505"
	codeReadOnly       = "25006"
	codeActiveTx       = "25001"
	codeFailedTx       = "25P02"
	codeNotReady       = "55000" // the server is not in the required role
	codeStaleTerm      = "ARB01"
	codeBadValue       = "22023"
	codeLockTimeout    = "55P03"
	codeSerialization  = "40001"
	codeTooMany        = "53300"
	codeShutdown       = "57P01"
	codeCancelled      = "57014"
	codeProtocol       = "08P01"
	codeNoStatement    = "26000"
	codeNoPortal       = "34000"
	codeStorageFailure = "58030"
	codeInternal       = "XX000"
)

// sqlError is an error that is sent to the client.
type sqlError struct {
	code    string
	message string
}

var _ error = (*sqlError)(nil)

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func sqlErrorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// errorResponse returns the message for err.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	var e *sqlError
	if !errors.As(err, &e) {
		e = &sqlError{code: codeInternal, message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message}
}
