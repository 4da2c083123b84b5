package caller

import (
	"errors"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Severities of ErrorResponse.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// SQLState is an error that is reported with one of PostgreSQL's own SQLSTATEs,
// such as 26000 for a prepared statement that does not exist. The request was
// not run.
type SQLState struct {
	Code   string // five characters
	Detail string
}

var _ error = (*SQLState)(nil)

// Error returns the code and the detail.
func (e *SQLState) Error() string { return e.Code + ": " + e.Detail }

// AppendError appends an ErrorResponse for err. The hint states whether the
// request was executed, as "outcome: not_run", "outcome: ran" or "outcome:
// unknown".
func AppendError(dst []byte, severity string, err error) []byte {
	msg := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	outcome := errkind.NotRun
	var state *SQLState
	if errors.As(err, &state) {
		msg.Code, msg.Message = state.Code, state.Detail
	} else {
		kind := errkind.Of(err)
		info := kind.Info()
		outcome = info.Outcome
		msg.Code, msg.Message = info.SQLState, string(kind)
		var e *errkind.Error
		if errors.As(err, &e) && e.Detail != "" {
			msg.Message += ": " + e.Detail
		}
	}
	msg.Hint = "outcome: " + string(outcome)
	return mustEncode(msg.Encode(dst))
}

// AppendReady appends a ReadyForQuery.
func AppendReady(dst []byte, txStatus byte) []byte {
	return append(dst, 'Z', 0, 0, 0, 5, txStatus)
}

// mustEncode returns dst and panics on an encoding error, which cannot occur:
// the messages that this package builds are far below the length limits of the
// protocol.
func mustEncode(dst []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return dst
}
