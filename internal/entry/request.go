package entry

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// request is the execution of one cycle with all its attempts.
type request struct {
	plan         *plan
	eff          policy.Effective
	deadline     time.Time
	repeatable   bool
	requestToken string // request_id of the caller, if any

	sendCount int // attempts that were sent, or may have been
	// budgetedSends counts the failed attempts that may have taken a place in
	// the owner's queue or a server slot. After the first of them, each attempt
	// takes a token of the member's retry budget.
	budgetedSends  int
	outcomeUnknown bool      // an owner answered an attempt with an error that doesn't state not_run
	unresolved     []attempt // attempts without an answer; a resend uses their id again
	lastErr        error     // error of the last failed attempt
}

// id returns the request id for an attempt at t. A resend to the same server of
// the same owner reuses the id of the attempt that got no answer, so that the
// owner doesn't execute it twice.
func (r *request) id(s *session, t *target) ownerrpc.RequestID {
	for _, a := range r.unresolved {
		if a.target.server == t.server && a.target.address == t.address {
			return a.id
		}
	}
	return s.nextID()
}

// execArgs returns the arguments of Owner.Exec for an attempt at t.
func (r *request) execArgs(s *session, t *target, id ownerrpc.RequestID, pos logpos.Position, term uint64) *ownerrpc.ExecArgs {
	write := !r.plan.isRead
	if s.tx != nil {
		// SET TRANSACTION can make a read-only transaction at the primary
		// writable. Write must then be true, because only then does the owner
		// wait until a majority has the commit.
		write = !s.tx.readOnly || t.primary && write
	}
	return &ownerrpc.ExecArgs{
		ID:               id,
		Group:            s.group.name,
		Server:           t.server,
		Term:             term,
		Rank:             r.eff.Rank.Name,
		Budget:           time.Until(r.deadline) - 2*outcomeReserve(r.deadline),
		Write:            write,
		Begin:            r.plan.mayBegin,
		InTx:             s.tx != nil,
		Repeatable:       s.isRepeatable(r.plan.isRead) || !r.plan.executes,
		RequestToken:     r.requestToken,
		RequiredPosition: pos,
		Messages:         r.plan.messages,
	}
}

// maxOutcomeReserve limits the result of outcomeReserve.
const maxOutcomeReserve = 100 * time.Millisecond

// outcomeReserve returns the part of the remaining time that is reserved for
// resolving the outcome of a request without an answer. The time budget of the
// owner is shorter by twice the reserve, so that the owner's answer to a missed
// deadline arrives before the entry stops waiting.
func outcomeReserve(deadline time.Time) time.Duration {
	return min(time.Until(deadline)/10, maxOutcomeReserve)
}

// recordFailure records a failed attempt.
func (r *request) recordFailure(err error, delivery Delivery) {
	r.lastErr = err
	kind := errkind.Of(err)
	if delivery == Answered && kind.Info().Outcome != errkind.NotRun {
		r.outcomeUnknown = true
	}
	// Owners make all other refusals before they queue the request. Attempts
	// after these add no load and don't count, as every failover would
	// otherwise drain the retry budgets.
	if delivery == NoAnswer || delivery == Answered && (kind == errkind.Overloaded || kind.Info().Outcome != errkind.NotRun) {
		r.budgetedSends++
	}
}

// recordUnanswered records an attempt without an answer, which may have run.
func (r *request) recordUnanswered(a attempt) { r.unresolved = append(r.unresolved, a) }

// recordNotRun records that the attempt with that id never ran.
func (r *request) recordNotRun(id ownerrpc.RequestID) {
	r.unresolved = slices.DeleteFunc(r.unresolved, func(a attempt) bool { return a.id == id })
}

// mayHaveRun reports whether an attempt may have run.
func (r *request) mayHaveRun() bool { return r.outcomeUnknown || len(r.unresolved) > 0 }

// finalError returns the error for the caller. A nil err stands for the deadline.
// The returned error doesn't state not_run if an earlier attempt may have run.
func (r *request) finalError(err error) error {
	if err == nil {
		err = errkind.New(errkind.DeadlineExceeded, "the deadline passed before the statement was sent")
	}
	if r.mayHaveRun() && errkind.Of(err).Info().Outcome == errkind.NotRun {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	return err
}
