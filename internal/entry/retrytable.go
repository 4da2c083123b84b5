package entry

import "github.com/arbutusring/arbutusring/pkg/errkind"

// Sent says how far a failed request came.
type Sent uint8

// How far a request came.
const (
	NotSent  Sent = iota // no owner has received it
	NoAnswer             // sent, and no answer came
	Answered             // the owner answered with the kind
)

// Action is what follows a failed attempt.
type Action uint8

// The actions.
const (
	GiveUp      Action = iota // answer the caller
	OtherMember               // try another member at once
	Wait                      // wait for a change or a backoff, then try again
	AskOutcome                // ask the owner what became of the request
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"give_up", "other_member", "wait", "ask_outcome"}[a]
}

// rule is a row of the retry table.
type rule struct {
	read, write Action
}

// notRunRules hold for kinds whose outcome is not_run, if the owner answered
// or nothing was sent. Whether the request is repeatable does not matter,
// because it did not run. A write has only the primary to go to.
var notRunRules = map[errkind.Kind]rule{
	errkind.Overloaded:         {OtherMember, GiveUp}, // a retry would add load to the full queue
	errkind.DeadlineExceeded:   {GiveUp, GiveUp},
	errkind.NoPrimary:          {Wait, Wait},
	errkind.NoMember:           {Wait, Wait},
	errkind.NotOwner:           {OtherMember, Wait},
	errkind.StaleTerm:          {OtherMember, Wait},
	errkind.PositionNotReached: {OtherMember, Wait},
	errkind.ReadOnlyMember:     {OtherMember, Wait},
	errkind.Draining:           {OtherMember, Wait},
	errkind.ConfigStale:        {OtherMember, Wait},
	errkind.ConnectFailed:      {OtherMember, Wait},
	errkind.RequestInProgress:  {Wait, Wait}, // the first execution ends, and its outcome is returned
}

// Decide is the retry table: it maps what failed to what follows. Kinds that
// are not listed end the request.
//
//	outcome not_run, answered or not sent   by notRunRules
//	unknown outcome, no answer, read        repeatable: other member; otherwise: ask
//	unknown outcome, no answer, write       ask
//	unknown outcome, answered, read         repeatable: other member; otherwise: give up
//	unknown outcome, answered, write        repeatable: wait; otherwise: give up
func Decide(kind errkind.Kind, sent Sent, repeatable, write bool) Action {
	if sent == NoAnswer {
		if repeatable && !write {
			return OtherMember
		}
		return AskOutcome
	}
	switch kind {
	case errkind.ServerLost, errkind.OutcomeUnknown:
		switch {
		case !repeatable:
			return GiveUp
		case write:
			return Wait
		}
		return OtherMember
	}
	r := notRunRules[kind]
	if write {
		return r.write
	}
	return r.read
}
