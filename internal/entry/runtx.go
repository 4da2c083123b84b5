package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// txSendTimeout is how long a statement of a transaction is resent to an
	// owner that has not received it. After that time the owner has rolled the
	// transaction back.
	txSendTimeout = 2 * time.Second
	// releaseTimeout limits the attempts to release an abandoned transaction.
	releaseTimeout = 5 * time.Second
	// releaseCallTimeout limits one of these attempts.
	releaseCallTimeout = 500 * time.Millisecond
)

// runInTx executes a cycle of an open transaction at its owner.
func (s *session) runInTx(ctx context.Context, r *request, c caller.Cycle) caller.Answer {
	t, term, start := s.tx.target, s.tx.term, time.Now()
	var delay backoff
	for {
		id := s.nextID()
		reply, delivery, err := s.call(ctx, r, t, r.execArgs(s, t, id, s.token, term))
		if delivery == NoAnswer {
			reply, err = s.recoverOutcome(ctx, t, id, err)
		}
		if err == nil && reply != nil {
			return s.complete(r.plan, t, term, reply)
		}
		resend := err == nil || delivery == NotSent && errkind.Of(err) == errkind.ConnectFailed
		if resend && time.Since(start) < txSendTimeout && delay.wait(ctx, nil) {
			continue
		}
		if err == nil {
			err = errkind.New(errkind.TransactionLost, "the owner of server %q did not receive the statement", t.server)
		}
		return s.failTx(r, c, reply, err)
	}
}

// recoverOutcome resolves the outcome of a statement that got no answer. It returns
// no reply and no error if the owner confirmed that the statement never runs. If
// the outcome stays unknown, it returns err.
func (s *session) recoverOutcome(ctx context.Context, t *target, id ownerrpc.RequestID, err error) (*ownerrpc.ExecReply, error) {
	reply, resolution := s.resolveOutcome(ctx, t, id)
	switch {
	case resolution == resolutionNotRun:
		return nil, nil
	case resolution == resolutionUnknown:
		return nil, err
	case reply.Kind != errkind.OK:
		return reply, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply, nil
}

// failTx abandons the transaction after a failed statement and returns the answer
// for the caller.
//
// A transaction without an executed COMMIT has no effect, so the loss of any other
// statement is reported as TransactionLost, which states not_run.
func (s *session) failTx(r *request, c caller.Cycle, reply *ownerrpc.ExecReply, err error) caller.Answer {
	if reply != nil {
		s.applyTxErrorReply(reply)
	}
	if r.plan.onlyRollback {
		// The transaction is rolled back either way; answer the ROLLBACK as
		// the end of a lost transaction.
		s.abandonTx()
		return s.run(context.Background(), c)
	}
	kind := errkind.Of(err)
	switch {
	case r.plan.mayCommit && kind.Info().Outcome == errkind.Unknown:
		err = errkind.Wrap(errkind.OutcomeUnknown, err, "the transaction may have been committed")
	case kind.Info().Outcome == errkind.Unknown, kind == errkind.NotOwner, kind == errkind.StaleTerm,
		kind == errkind.ConnectFailed, kind == errkind.Draining, kind == errkind.ConfigStale:
		err = errkind.Wrap(errkind.TransactionLost, err, "the transaction is rolled back")
	}
	answer := s.refuse(c.Kind, nil, err)
	if r.plan.onlyEndsTx && s.tx != nil {
		// A COMMIT that fails ends the transaction, as in PostgreSQL.
		s.tx = nil
		answer.TxStatus = 'I'
		if c.Kind != caller.KindFlush {
			answer.Messages[len(answer.Messages)-1] = 'I'
		}
	}
	return answer
}

// applyTxErrorReply updates the session from a reply with an error kind. The
// transaction may have ended in spite of the error, as with answer_too_large.
func (s *session) applyTxErrorReply(reply *ownerrpc.ExecReply) {
	s.token = s.token.Max(reply.Position)
	if reply.TxStatus == 'I' && reply.Kind.Info().Outcome == errkind.Ran {
		s.tx = nil
	}
}

// abandonTx marks the open transaction as abandoned and starts its rollback at
// the owner. The caller still has to end it.
func (s *session) abandonTx() {
	if s.tx == nil || s.tx.abandoned {
		return
	}
	s.tx.abandoned = true
	s.entry.metrics.abandonedTx.Inc(1)
	s.release(s.tx.target, ownerrpc.RequestID{})
}

// release starts the rollback of the session's transaction at a server. Until it
// is complete, the session begins no other transaction at that owner, because a
// late Release would end that one. begin is the id of an unanswered BEGIN, which
// is cancelled so that it doesn't open a transaction if it arrives after the
// release; the zero id stands for none.
func (s *session) release(t *target, begin ownerrpc.RequestID) {
	done := make(chan struct{})
	s.releases = append(s.releases, pendingRelease{t, done})
	s.entry.background.Add(1)
	go s.entry.runRelease(&ownerrpc.ReleaseArgs{Entry: s.entry.id, Session: s.number, Server: t.server}, begin, t.address, done)
}

// awaitRelease waits until no release at the server and owner of t is in
// progress. It returns false if ctx ends first.
func (s *session) awaitRelease(ctx context.Context, t *target) bool {
	var pending []pendingRelease
	for _, r := range s.releases {
		if r.target.server == t.server && r.target.address == t.address {
			select {
			case <-r.done:
			case <-ctx.Done():
				return false
			}
		}
		select {
		case <-r.done:
		default:
			pending = append(pending, r)
		}
	}
	s.releases = pending
	return true
}

// runRelease repeats the release until it succeeds or releaseTimeout has passed.
// An owner that cannot be reached rolls the transaction back by itself.
func (e *Entry) runRelease(args *ownerrpc.ReleaseArgs, begin ownerrpc.RequestID, address string, done chan struct{}) {
	defer e.background.Done()
	defer close(done)
	ctx, cancel := context.WithTimeout(e.ctx, releaseTimeout)
	defer cancel()
	var delay backoff
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, releaseCallTimeout)
		var err error
		if begin != (ownerrpc.RequestID{}) {
			_, err = e.opts.Owners.Cancel(callCtx, address, &ownerrpc.CancelArgs{ID: begin, Server: args.Server})
		}
		if err == nil {
			err = e.opts.Owners.Release(callCtx, address, args)
		}
		cancelCall()
		if err == nil || !delay.wait(ctx, nil) {
			return
		}
	}
}
