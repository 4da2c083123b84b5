package standin

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes, by their PostgreSQL condition names where there is one.
const (
	codeSyntaxError          = "42601"
	codeFeatureNotSupported  = "0A000"
	codeUndefinedFunction    = "42883"
	codeUndefinedColumn      = "42703"
	codeUniqueViolation      = "23505"
	codeReadOnlyTransaction  = "25006"
	codeActiveTransaction    = "25001"
	codeFailedTransaction    = "25P02"
	codeWrongState           = "55000" // the server does not have the required role
	codeStaleTerm            = "ARB01"
	codeInvalidParameter     = "22023"
	codeLockNotAvailable     = "55P03"
	codeSerializationFailure = "40001"
	codeTooManyConnections   = "53300"
	codeAdminShutdown        = "57P01"
	codeQueryCancelled       = "57014"
	codeProtocolViolation    = "08P01"
	codeUndefinedStatement   = "26000"
	codeUndefinedPortal      = "34000"
	codeIOError              = "58030"
	codeInternalError        = "XX000"
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

// errorResponse returns the ErrorResponse message for err.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	var e *sqlError
	if !errors.As(err, &e) {
		e = &sqlError{code: codeInternalError, message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message}
}
