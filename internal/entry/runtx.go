package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// txSendTime is how long a statement of a transaction is offered to an
	// owner that cannot be connected; after that the owner has rolled back.
	txSendTime = 2 * time.Second
	// releaseTime bounds the attempts to release an abandoned transaction.
	releaseTime = 5 * time.Second
	// releaseCallTime bounds one attempt.
	releaseCallTime = 500 * time.Millisecond
)

// runInTx executes a cycle of an open transaction at its owner.
func (s *session) runInTx(ctx context.Context, r *request, c caller.Cycle) caller.Answer {
	t, term, begun := s.tx.target, s.tx.term, time.Now()
	var pause backoff
	for {
		id := s.nextID()
		reply, sent, err := s.call(ctx, r, t, r.args(s, t, id, s.token, term))
		if sent == NoAnswer {
			reply, err = s.recover(ctx, t, id, err)
		}
		if err == nil && reply != nil {
			return s.complete(r.plan, t, term, reply)
		}
		again := err == nil || sent == NotSent && errkind.Of(err) == errkind.ConnectFailed
		if again && time.Since(begun) < txSendTime && pause.wait(ctx, nil) {
			continue
		}
		if err == nil {
			err = errkind.New(errkind.TransactionLost, "the owner of server %q did not receive the statement", t.server)
		}
		return s.failTx(r, c, reply, err)
	}
}

// recover finds out what became of a statement that got no answer. It returns
// no reply and no error if the owner confirmed that the statement never runs.
func (s *session) recover(ctx context.Context, t *target, id ownerrpc.RequestID, err error) (*ownerrpc.ExecReply, error) {
	reply, v := s.ask(ctx, t, id)
	switch {
	case v == verdictNotRun:
		return nil, nil
	case v == verdictUnknown:
		return nil, err
	case reply.Kind != errkind.OK:
		return reply, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply, nil
}

// failTx ends the transaction on the entry's side and answers the caller.
//
// A transaction of which no COMMIT was executed has no effect, so the loss of
// any other statement is TransactionLost, which states not_run.
func (s *session) failTx(r *request, c caller.Cycle, reply *ownerrpc.ExecReply, err error) caller.Answer {
	if reply != nil {
		s.settleTx(reply)
	}
	if r.plan.rollback {
		// The transaction is rolled back either way; answer the ROLLBACK as
		// the end of a lost transaction.
		s.abandon()
		return s.run(context.Background(), c)
	}
	kind := errkind.Of(err)
	switch {
	case r.plan.commit && kind.Info().Outcome == errkind.Unknown:
		err = errkind.Wrap(errkind.OutcomeUnknown, err, "the transaction may have been committed")
	case kind.Info().Outcome == errkind.Unknown, kind == errkind.NotOwner, kind == errkind.StaleTerm,
		kind == errkind.ConnectFailed, kind == errkind.Draining, kind == errkind.ConfigStale:
		err = errkind.Wrap(errkind.TransactionLost, err, "the transaction is rolled back")
	}
	answer := s.refuse(c.Kind, nil, err)
	if r.plan.ends && s.tx != nil {
		// A COMMIT that fails ends the transaction, as in PostgreSQL.
		s.tx = nil
		answer.TxStatus = 'I'
		if c.Kind != caller.KindFlush {
			answer.Messages[len(answer.Messages)-1] = 'I'
		}
	}
	return answer
}

// settleTx takes over that the transaction has ended although the answer is an
// error, such as answer_too_large.
func (s *session) settleTx(reply *ownerrpc.ExecReply) {
	s.token = s.token.Max(reply.Position)
	if reply.TxStatus == 'I' && reply.Kind.Info().Outcome == errkind.Ran {
		s.tx = nil
	}
}

// abandon gives the open transaction up: it is rolled back at its owner, and
// the caller has to end it.
func (s *session) abandon() {
	if s.tx == nil || s.tx.failed {
		return
	}
	s.tx.failed = true
	s.entry.metrics.abandonedTx.Inc(1)
	s.release(s.tx.target, ownerrpc.RequestID{})
}

// release rolls back what the session has open at a server. Until it is done,
// the session begins no other transaction at that owner, which a late Release
// would end. An unanswered BEGIN is stated, so that it opens nothing when it
// arrives after the release; the zero id states none.
func (s *session) release(t *target, begin ownerrpc.RequestID) {
	done := make(chan struct{})
	s.releases = append(s.releases, pendingRelease{t, done})
	s.entry.background.Add(1)
	go s.entry.runRelease(&ownerrpc.ReleaseArgs{Entry: s.entry.id, Session: s.number, Server: t.server}, begin, t.address, done)
}

// awaitRelease waits until no release is on its way to the owner of t. It
// returns false when ctx ends first.
func (s *session) awaitRelease(ctx context.Context, t *target) bool {
	var left []pendingRelease
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
			left = append(left, r)
		}
	}
	s.releases = left
	return true
}

// runRelease repeats the release until it arrives. An owner that cannot be
// reached rolls back by itself.
func (e *Entry) runRelease(args *ownerrpc.ReleaseArgs, begin ownerrpc.RequestID, address string, done chan struct{}) {
	defer e.background.Done()
	defer close(done)
	ctx, cancel := context.WithTimeout(e.ctx, releaseTime)
	defer cancel()
	var pause backoff
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, releaseCallTime)
		var err error
		if begin != (ownerrpc.RequestID{}) {
			_, err = e.opts.Owners.Cancel(callCtx, address, &ownerrpc.CancelArgs{ID: begin, Server: args.Server})
		}
		if err == nil {
			err = e.opts.Owners.Release(callCtx, address, args)
		}
		cancelCall()
		if err == nil || !pause.wait(ctx, nil) {
			return
		}
	}
}
