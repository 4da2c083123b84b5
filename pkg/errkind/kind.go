// Package errkind is the closed list of the kinds of error that arbutusring
// answers with, and the single table that maps a kind to its answer.
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
// another package returned, and errors.Is and errors.As find that error.
package errkind

// Kind names one kind of error. Its text is part of the wire format between
// hosts and of the documented error table, so values are never renamed.
type Kind string

// The closed list of kinds. The empty Kind means success.
const (
	OK                 Kind = ""
	BadRequest         Kind = "bad_request"          // malformed message or value
	Unsupported        Kind = "unsupported"          // valid PostgreSQL that the proxy does not support
	UnknownGroup       Kind = "unknown_group"        // no such database group
	Denied             Kind = "denied"               // the key of the caller is unknown or was withdrawn
	OverAllowance      Kind = "over_allowance"       // the customer has used up its operations for now
	Overloaded         Kind = "overloaded"           // refused before execution by admission control
	DeadlineExceeded   Kind = "deadline_exceeded"    // deadline passed before execution started
	NoPrimary          Kind = "no_primary"           // the group has no primary at present
	NoMember           Kind = "no_member"            // no member can serve the read at present
	NotOwner           Kind = "not_owner"            // the host holds no valid lease for the server
	StaleTerm          Kind = "stale_term"           // the request names a term that has ended
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
