package load

import (
	"errors"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgconn"
)

// opResult classifies the result of an operation by its effect on the data.
type opResult int

const (
	opOK      opResult = iota
	opRefused          // not run
	opFailed           // run, but without effect or without a usable answer
	opUnknown          // run or not run
)

// clientErrorCode takes the place of the SQLSTATE if the client failed before
// it sent anything.
const clientErrorCode = "client"

// outcomesBySQLState maps an SQLSTATE to the outcome of the error kinds with
// this SQLSTATE, or to errkind.Unknown if their outcomes differ.
type outcomesBySQLState map[string]errkind.Outcome

func newOutcomesBySQLState() outcomesBySQLState {
	o := make(outcomesBySQLState)
	for _, k := range errkind.Kinds() {
		info := k.Info()
		if known, ok := o[info.SQLState]; ok && known != info.Outcome {
			o[info.SQLState] = errkind.Unknown
			continue
		}
		o[info.SQLState] = info.Outcome
	}
	return o
}

// classify returns the result of an operation that ended with err, and the
// SQLSTATE of err. An outcome named in the DETAIL takes precedence over the
// SQLSTATE. An SQLSTATE that is not in the table of errkind is an error of the
// statement itself, which had no effect. An error without an SQLSTATE is a
// refusal, with clientErrorCode, if nothing was sent, and unknown otherwise.
func (o outcomesBySQLState) classify(err error) (opResult, string) {
	if err == nil {
		return opOK, ""
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		if pgconn.SafeToRetry(err) {
			return opRefused, clientErrorCode
		}
		return opUnknown, ""
	}
	outcome, ok := o[pgErr.Code]
	switch {
	case strings.Contains(pgErr.Detail, string(errkind.NotRun)):
		outcome = errkind.NotRun
	case strings.Contains(pgErr.Detail, string(errkind.Unknown)):
		outcome = errkind.Unknown
	case !ok:
		outcome = errkind.Ran
	}
	switch outcome {
	case errkind.NotRun:
		return opRefused, pgErr.Code
	case errkind.Unknown:
		return opUnknown, pgErr.Code
	}
	return opFailed, pgErr.Code
}
