package entry

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// request is the execution of one cycle, over all its attempts.
type request struct {
	plan       *plan
	eff        policy.Effective
	deadline   time.Time
	repeatable bool
	token      string // request_id of the caller

	sends      int       // requests that were sent, or may have been
	costly     int       // sends that may have used queue or slot; further ones need retry budget
	unknown    bool      // an owner answered an attempt with an unknown outcome
	unresolved []attempt // attempts without an answer, whose id is used again
	last       error     // of the last failed attempt
}

// id returns the id for an attempt at t. A resend to the same server of the
// same owner has the id of the attempt that got no answer, so that the owner
// does not execute it twice.
func (r *request) id(s *session, t *target) ownerrpc.RequestID {
	for _, a := range r.unresolved {
		if a.target.server == t.server && a.target.address == t.address {
			return a.id
		}
	}
	return s.nextID()
}

// args returns the message for an attempt at t.
func (r *request) args(s *session, t *target, id ownerrpc.RequestID, pos logpos.Position, term uint64) *ownerrpc.ExecArgs {
	write := !r.plan.read
	if s.tx != nil {
		// A read-only transaction at the primary can be made writable by SET
		// TRANSACTION; the owner has to know, in order to wait for the commit.
		write = !s.tx.readOnly || t.primary && write
	}
	return &ownerrpc.ExecArgs{
		ID:           id,
		Group:        s.group.name,
		Server:       t.server,
		Term:         term,
		Rank:         r.eff.Rank.Name,
		Budget:       time.Until(r.deadline) - 2*reserve(r.deadline),
		Write:        write,
		Begin:        r.plan.begin,
		InTx:         s.tx != nil,
		Repeatable:   s.isRepeatable(r.plan.read) || !r.plan.executes,
		RequestToken: r.token,
		Require:      pos,
		Messages:     r.plan.messages,
	}
}

// maxReserve bounds the part of the deadline that is kept back.
const maxReserve = 100 * time.Millisecond

// reserve is the part of the time left that is kept for asking what became of
// a request that got no answer. The owner gets twice as much less, so that its
// own answer to a missed deadline arrives first.
func reserve(deadline time.Time) time.Duration {
	return min(time.Until(deadline)/10, maxReserve)
}

// note records a failed attempt.
func (r *request) note(err error, sent Sent) {
	r.last = err
	kind := errkind.Of(err)
	if sent == Answered && kind.Info().Outcome != errkind.NotRun {
		r.unknown = true
	}
	// Other refusals are made before the queue: another attempt after them
	// adds no load, and without it every failover would drain the budgets.
	if sent == NoAnswer || sent == Answered && (kind == errkind.Overloaded || kind.Info().Outcome != errkind.NotRun) {
		r.costly++
	}
}

// unanswered records an attempt whose outcome is not known.
func (r *request) unanswered(a attempt) { r.unresolved = append(r.unresolved, a) }

// resolved records that the attempt with that id never ran.
func (r *request) resolved(id ownerrpc.RequestID) {
	r.unresolved = slices.DeleteFunc(r.unresolved, func(a attempt) bool { return a.id == id })
}

// mayHaveRun reports whether an attempt may have run.
func (r *request) mayHaveRun() bool { return r.unknown || len(r.unresolved) > 0 }

// final returns the error for the caller. It never states not_run if an
// earlier attempt may have run.
func (r *request) final(err error) error {
	if err == nil {
		err = errkind.New(errkind.DeadlineExceeded, "the deadline passed before the statement was sent")
	}
	if r.mayHaveRun() && errkind.Of(err).Info().Outcome == errkind.NotRun {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	return err
}
