// Package errkind is the closed list of the kinds of error that arbutusring
// answers with, and the single table from a kind to its answer.
//
// Every refusal or failure that reaches a caller has exactly one Kind. The
// kind decides three things, and nothing else decides them: the SQLSTATE of
// the answer, whether the request was executed, and whether the caller may
// send the request again without risk.
//
// # Usage
//
//	err := errkind.New(errkind.Overloaded, "rank %q: queue is full", rank)
//	kind := errkind.Of(err)         // errkind.Overloaded
//	info := kind.Info()             // SQLSTATE, outcome, retry advice
//
// Errors keep their cause: errkind.Wrap records the kind of an error that
// another package returned, and errors.Is and errors.As see through it.
package errkind

import (
	"errors"
	"fmt"
)

// Kind names one kind of error. Its text is part of the wire format between
// hosts and of the documented error table, so values are never renamed.
type Kind string

// The closed list of kinds. The empty Kind means success.
const (
	OK                 Kind = ""
	BadRequest         Kind = "bad_request"          // malformed message or value
	Unsupported        Kind = "unsupported"          // valid PostgreSQL that the proxy does not offer
	UnknownGroup       Kind = "unknown_group"        // no such database group
	Overloaded         Kind = "overloaded"           // refused before execution by admission control
	DeadlineExceeded   Kind = "deadline_exceeded"    // deadline passed before execution started
	NoPrimary          Kind = "no_primary"           // the group has no primary at present
	NoMember           Kind = "no_member"            // no member can serve the read at present
	NotOwner           Kind = "not_owner"            // the host holds no valid lease for the server
	StaleTerm          Kind = "stale_term"           // the request names a term that is over
	PositionNotReached Kind = "position_not_reached" // the replica has not applied the required position
	ReadOnlyMember     Kind = "read_only_member"     // a replica refused a write (SQLSTATE 25006)
	Draining           Kind = "draining"             // the host or server is being shut down
	ConfigStale        Kind = "config_stale"         // the host cannot confirm its configuration
	ConnectFailed      Kind = "connect_failed"       // the request was not sent: no connection
	RequestInProgress  Kind = "request_in_progress"  // the same request_id is being executed
	TransactionLost    Kind = "transaction_lost"     // the open transaction was rolled back
	Cancelled          Kind = "cancelled"            // cancelled before execution started
	AnswerTooLarge     Kind = "answer_too_large"     // executed, but the answer exceeds the limit
	OutcomeUnknown     Kind = "outcome_unknown"      // may have been executed
	ServerLost         Kind = "server_lost"          // connection lost after the request was sent
	NotLeader          Kind = "not_leader"           // control: ask the leader
	Conflict           Kind = "conflict"             // control: another change was accepted first
	Internal           Kind = "internal"             // broken invariant; outcome unknown
)

// Outcome says whether a request was executed.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Info is the answer that belongs to a kind.
type Info struct {
	SQLState string  // five characters
	Outcome  Outcome // whether the request was executed
	Retry    bool    // whether the caller may send the request again as it is
}

var table = map[Kind]Info{
	OK:                 {"00000", Ran, false},
	BadRequest:         {"08P01", NotRun, false},
	Unsupported:        {"0A000", NotRun, false},
	UnknownGroup:       {"3D000", NotRun, false},
	Overloaded:         {"53000", NotRun, true},
	DeadlineExceeded:   {"57014", NotRun, true},
	NoPrimary:          {"57P03", NotRun, true},
	NoMember:           {"57P03", NotRun, true},
	NotOwner:           {"57P03", NotRun, true},
	StaleTerm:          {"57P03", NotRun, true},
	PositionNotReached: {"57P03", NotRun, true},
	ReadOnlyMember:     {"25006", NotRun, true},
	Draining:           {"57P01", NotRun, true},
	ConfigStale:        {"57P03", NotRun, true},
	ConnectFailed:      {"08001", NotRun, true},
	RequestInProgress:  {"55006", NotRun, true},
	TransactionLost:    {"25P03", NotRun, true},
	Cancelled:          {"57014", NotRun, true},
	AnswerTooLarge:     {"54000", Ran, false},
	OutcomeUnknown:     {"08007", Unknown, false},
	ServerLost:         {"08006", Unknown, false},
	NotLeader:          {"57P03", NotRun, true},
	Conflict:           {"40001", NotRun, false},
	Internal:           {"XX000", Unknown, false},
}

// Info returns the answer for k. A kind outside the list is answered as
// Internal, because nothing is known about it.
func (k Kind) Info() Info {
	if info, ok := table[k]; ok {
		return info
	}
	return table[Internal]
}

// Kinds returns every kind of the table except OK, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		if k != OK {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

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

// Of returns the kind of err: OK for nil, Internal for an error without kind.
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
