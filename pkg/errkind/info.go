package errkind

// Outcome states whether a request was executed.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Info holds the answer to the caller for a kind of error.
type Info struct {
	SQLState string  // five characters
	Outcome  Outcome // whether the request was executed
	Retry    bool    // whether the caller may resend the request unchanged
}

var infoByKind = map[Kind]Info{
	OK:                 {"00000", Ran, false},
	BadRequest:         {"08P01", NotRun, false},
	Unsupported:        {"0A000", NotRun, false},
	UnknownGroup:       {"3D000", NotRun, false},
	Denied:             {"28000", NotRun, false},
	OverAllowance:      {"53400", NotRun, true},
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
	if info, ok := infoByKind[k]; ok {
		return info
	}
	return infoByKind[Internal]
}

// Kinds returns every kind of the table except OK, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(infoByKind))
	for k := range infoByKind {
		if k != OK {
			kinds = append(kinds, k)
		}
	}
	return kinds
}
