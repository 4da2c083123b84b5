package entry

import "github.com/arbutusring/arbutusring/pkg/errkind"

// Delivery states how far a request got.
type Delivery uint8

// The delivery states.
const (
	NotSent  Delivery = iota // no owner received the request
	NoAnswer                 // the request was sent, but no answer was received
	Answered                 // the owner answered
)

// Action is the next step after a failed attempt.
type Action uint8

// The actions.
const (
	GiveUp      Action = iota // return the error to the caller
	OtherMember               // try another member at once
	Wait                      // wait for a new view or a backoff delay, then try again
	AskOutcome                // ask the owner for the outcome of the request
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"give_up", "other_member", "wait", "ask_outcome"}[a]
}

// rule is a row of the retry table.
type rule struct {
	read, write Action
}

// notRunRules are the rules for kinds whose outcome is not_run, if the owner
// answered or nothing was sent. They apply to repeatable and other requests
// alike, because the request did not run. A write can go only to the primary.
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
	errkind.RequestInProgress:  {Wait, Wait}, // a later attempt returns the outcome of the first execution
}

// Decide returns the action after an attempt that failed with an error of the
// given kind. For a kind that no rule lists, it is GiveUp.
//
//	outcome not_run, answered or not sent   see notRunRules
//	unknown outcome, no answer, read        repeatable: other member; otherwise: ask for the outcome
//	unknown outcome, no answer, write       ask for the outcome
//	unknown outcome, answered, read         repeatable: other member; otherwise: give up
//	unknown outcome, answered, write        repeatable: wait; otherwise: give up
func Decide(kind errkind.Kind, delivery Delivery, repeatable, write bool) Action {
	if delivery == NoAnswer {
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
