package load

import (
	"errors"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgconn"
)

// verdict is what an answer means for the data.
type verdict int

const (
	verdictOK      verdict = iota
	verdictRefused         // not run
	verdictFailed          // run, but without effect or without an answer of use
	verdictUnknown
)

// noCode stands for an SQLSTATE where the client itself failed before it sent
// anything.
const noCode = "client"

// outcomes maps an SQLSTATE to the outcome that all kinds with this SQLSTATE
// share.
type outcomes map[string]errkind.Outcome

func newOutcomes() outcomes {
	o := make(outcomes)
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

// judge returns the verdict on the error of an operation, and its SQLSTATE. A
// DETAIL that names an outcome decides; otherwise the SQLSTATE does. An
// SQLSTATE that is not in the table of errkind is an error of the statement
// itself, which had no effect.
func (o outcomes) judge(err error) (verdict, string) {
	if err == nil {
		return verdictOK, ""
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		if pgconn.SafeToRetry(err) {
			return verdictRefused, noCode
		}
		return verdictUnknown, ""
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
		return verdictRefused, pgErr.Code
	case errkind.Unknown:
		return verdictUnknown, pgErr.Code
	}
	return verdictFailed, pgErr.Code
}
