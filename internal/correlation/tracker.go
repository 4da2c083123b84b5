package correlation

import (
	"fmt"
	"strconv"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Verdict is what happens to an answer.
type Verdict uint8

// The verdicts.
const (
	Accept Verdict = iota // it is the answer to the statement
	Skip                  // it is a copy of an earlier answer; the next one is to be read
	Reject                // it can't be attributed; the connection must be closed
)

// Error is the reason why an answer can't be attributed to its statement.
type Error struct{ Reason string }

// Error returns the reason.
func (e *Error) Error() string { return "the answer can't be attributed: " + e.Reason }

func reject(format string, args ...any) (Verdict, statement.Basis, error) {
	return Reject, "", &Error{Reason: fmt.Sprintf(format, args...)}
}

// Tracker follows the answers on one connection. It is not safe for concurrent use.
type Tracker struct {
	state    statement.State     // after the last accepted answer
	receipts receipts            // and the contents of answers without one
	errors   map[string]struct{} // code and text of the accepted errors
	bare     bool                // an answer without a receipt was accepted
	unproven bool                // since the last receipt, one was accepted that may be a copy
}

// NewTracker returns the tracker of a new connection.
func NewTracker() *Tracker { return &Tracker{state: statement.Idle, receipts: newReceipts()} }

// Judge decides on the next answer that was received after a statement was sent. It must
// be called for every answer, in the order of arrival.
func (t *Tracker) Judge(r statement.Request, a statement.Answer) (Verdict, statement.Basis, error) {
	switch {
	case a.Failure != nil:
		return t.judgeError(r, a)
	case a.Receipt != "" && t.receipts.contains(a.Receipt):
		return Skip, "", nil
	case hasReceipt(r.Kind):
		return t.judgeResult(r, a)
	}
	return t.judgeBare(r, a)
}

// hasReceipt reports whether the result of a statement comes with a receipt.
func hasReceipt(k statement.Kind) bool {
	switch k {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	}
	return false
}

// stateAfter returns the state that a successful statement leads to.
func (t *Tracker) stateAfter(k statement.Kind) statement.State {
	switch k {
	case statement.Begin:
		return statement.Open
	case statement.Commit, statement.Rollback:
		return statement.Idle
	}
	return t.state
}

// judgeResult judges a success of a statement that has a receipt.
func (t *Tracker) judgeResult(r statement.Request, a statement.Answer) (Verdict, statement.Basis, error) {
	switch want := t.stateAfter(r.Kind); {
	case a.Receipt == "" && t.bare:
		return Skip, "", nil
	case a.Receipt == "":
		return reject("a %s was answered without a receipt", r.Kind)
	case a.State != want:
		return reject("a %s was answered in state %c, not %c", r.Kind, a.State, want)
	case len(a.Rows) > 0 && (r.Kind == statement.Write || r.Kind == statement.Commit):
		return reject("a %s was answered with %d rows", r.Kind, len(a.Rows))
	}
	t.receipts.add(a.Receipt)
	t.state, t.unproven = a.State, false
	return Accept, statement.ByReceipt, nil
}

// judgeBare judges a success of a statement that has no receipt.
func (t *Tracker) judgeBare(r statement.Request, a statement.Answer) (Verdict, statement.Basis, error) {
	if want := t.stateAfter(r.Kind); a.Receipt != "" || !mayHaveRows(r.Kind, len(a.Rows)) || a.State != want {
		if a.Receipt == "" && t.bare {
			return Skip, "", nil
		}
		return reject("a %s was answered with receipt %q, %d rows and state %c", r.Kind, a.Receipt, len(a.Rows), a.State)
	}
	content := bareContent(a)
	repeated := t.receipts.contains(content)
	if repeated && (r.Kind == statement.Begin || r.Kind == statement.Rollback) {
		return reject("it may be a copy of the answer to an earlier %s", r.Kind)
	}
	t.receipts.add(content)
	t.bare, t.unproven, t.state = true, t.unproven || repeated, a.State
	return Accept, statement.ByState, nil
}

// mayHaveRows reports whether a success of a statement without a receipt may have n rows.
// The row of a Demote is not needed.
func mayHaveRows(k statement.Kind, n int) bool {
	switch k {
	case statement.Status:
		return n == 1
	case statement.Demote:
		return n <= 1
	}
	return n == 0
}

// bareContent returns the content of an answer without a receipt, which no receipt equals.
func bareContent(a statement.Answer) string {
	b := append(make([]byte, 0, 64), ' ', byte(a.State))
	b = strconv.AppendUint(b, a.Position.Term, 10)
	b = strconv.AppendUint(append(b, '.'), a.Position.LSN, 10)
	for _, row := range a.Rows {
		b = append(append(b, ' '), row...)
	}
	return string(b)
}

// believedUnproven reports whether the error of a statement of kind k is believed while
// the answer to an earlier statement without a receipt may still be due. Outside of a
// transaction, servers give some errors only to statements with a receipt, and a read has
// no effect, so that it does not matter which statement failed.
func (t *Tracker) believedUnproven(k statement.Kind, e errkind.Kind) bool {
	if t.state != statement.Idle {
		return false
	}
	switch e {
	case errkind.Overloaded, errkind.ReadOnlyMember, errkind.PositionNotReached:
		return true
	}
	return k == statement.Read
}

// judgeError judges an error.
func (t *Tracker) judgeError(r statement.Request, a statement.Answer) (Verdict, statement.Basis, error) {
	key := a.Failure.Code + " " + a.Failure.Detail
	if _, repeated := t.errors[key]; repeated {
		return reject("error %s has been received before", a.Failure.Code)
	}
	if t.state == statement.Idle && a.State == statement.Open {
		return reject("error %s names an open transaction", a.Failure.Code)
	}
	if t.unproven && hasReceipt(r.Kind) && !t.believedUnproven(r.Kind, a.Failure.Kind) {
		return reject("error %s may be that of an earlier statement", a.Failure.Code)
	}
	if t.errors == nil {
		t.errors = make(map[string]struct{})
	}
	t.errors[key] = struct{}{}
	t.state = a.State
	return Accept, statement.ByError, nil
}
