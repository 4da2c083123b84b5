package owner

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// sendAttempts limits the attempts to send a cycle. A failed attempt is
// repeated on another connection only if nothing was sent.
const sendAttempts = 3

// sqlStateReadOnlyTransaction is the SQLSTATE read_only_sql_transaction: the
// server refused a change without executing it.
const sqlStateReadOnlyTransaction = "25006"

// execution is the state of one cycle while a server executes it. One goroutine
// uses it.
type execution struct {
	owner    *Owner
	server   *server
	args     *ownerrpc.ExecArgs
	reply    *ownerrpc.ExecReply
	record   *record
	deadline time.Time
	lease    controlrpc.HeldLease // lease under which the cycle was sent
}

func (x *execution) run(ctx context.Context) {
	var err error
	switch {
	case x.args.RequestToken != "" && (x.args.InTx || x.args.Begin):
		err = errkind.New(errkind.Unsupported, "request_id is supported only for a single cycle outside of a transaction")
	case x.args.InTx:
		err = x.runInTransaction(ctx)
	case x.args.RequestToken != "" && x.args.Write:
		err = x.runWithToken(ctx)
	case x.args.Begin:
		err = x.runBegin(ctx)
	default:
		err = x.runSingle(ctx)
	}
	if err != nil {
		replyError(x.reply, err)
	}
}

// runSingle executes a cycle outside of a transaction.
func (x *execution) runSingle(ctx context.Context) error {
	c, slot, err := x.prepare(ctx)
	if err != nil {
		return err
	}
	res, c, err := x.send(ctx, c)
	x.release(slot)
	if err != nil {
		return err
	}
	x.server.pool.put(c, res.clean() || x.owner.opts.Disabled.CleanReturn)
	if res.leftTransactionOpen() && !x.owner.opts.Disabled.CleanReturn {
		return errkind.New(errkind.Internal, "the cycle was not marked as opening a transaction but left one open; it was rolled back")
	}
	return x.answerResult(ctx, res)
}

// runBegin executes a cycle that may open a transaction.
func (x *execution) runBegin(ctx context.Context) error {
	s := x.server
	if err := x.precheck(ctx); err != nil {
		return err
	}
	key := sessionKey{x.args.ID.Entry, x.args.ID.Session}
	// A session that begins a transaction no longer knows of an earlier one.
	s.endTransactions("the session began another transaction", func(tx *transaction) bool { return tx.key == key })
	v := s.view.Load()
	rank := v.rank(x.args.Rank)
	if err := s.permits.acquire(ctx, v.higherRanks[rank], v.effective[rank].QueueLimit); err != nil {
		return err
	}
	// The transaction is registered before it is open, so that a release of
	// the session or the end of the lease finds it from here on.
	tx := &transaction{key: key, rank: rank, primary: x.args.Write, term: x.args.Term, busy: true}
	if err := s.registerTransaction(tx); err != nil {
		s.permits.release()
		return err
	}
	c, slot, err := x.prepare(ctx)
	if err != nil {
		s.endTransactionUse(tx, false, false)
		return err
	}
	res, c, err := x.send(ctx, c)
	x.release(slot)
	if err != nil {
		s.endTransactionUse(tx, false, false)
		return err
	}
	tx.conn = c
	return x.answerTransaction(ctx, res, tx)
}

// runInTransaction executes a cycle in the session's open transaction.
func (x *execution) runInTransaction(ctx context.Context) error {
	s := x.server
	tx, err := s.claimTransaction(sessionKey{x.args.ID.Entry, x.args.ID.Session})
	if err != nil {
		return err
	}
	slot, err := s.sched.Acquire(ctx, s.view.Load().rank(x.args.Rank), "", x.deadline)
	if err != nil {
		// Nothing was sent, so the transaction is unchanged.
		if reason := s.endTransactionUse(tx, true, false); reason != "" {
			return errkind.New(errkind.TransactionLost, "%s", reason)
		}
		return err
	}
	primary, err := x.checkTransaction(ctx, tx)
	if err != nil {
		s.sched.Release(slot)
		s.endTransactionUse(tx, errkind.Of(err) == errkind.Cancelled, false)
		return err
	}
	res := x.relay(ctx, tx.conn, primary)
	x.release(slot)
	if errkind.Of(res.err) == errkind.ConnectFailed {
		s.endTransactionUse(tx, false, false)
		return errkind.Wrap(errkind.TransactionLost, res.err, "the connection of the transaction was lost before the cycle was sent")
	}
	return x.answerTransaction(ctx, res, tx)
}

// answerTransaction answers a cycle that was sent in a transaction.
func (x *execution) answerTransaction(ctx context.Context, res result, tx *transaction) error {
	open := res.leftTransactionOpen()
	if reason := x.server.endTransactionUse(tx, open, res.clean()); reason != "" {
		return x.transactionLost(reason, res)
	}
	if open {
		return x.answerOpen(ctx, res, tx.key)
	}
	return x.answerResult(ctx, res)
}

// answerOpen answers a cycle that left a transaction open. If it returns an
// error, the entry regards the transaction as lost, so it is rolled back.
func (x *execution) answerOpen(ctx context.Context, res result, key sessionKey) error {
	err := x.answerResult(ctx, res)
	if err == nil {
		return nil
	}
	x.server.endTransactions("a cycle could not be answered", func(tx *transaction) bool { return tx.key == key })
	return x.transactionLost(errorDetail(err), res)
}

// checkTransaction checks connection, lease, role and term immediately before a
// cycle of a transaction is sent, and marks the cycle as started. It returns
// whether the transaction may write.
func (x *execution) checkTransaction(ctx context.Context, tx *transaction) (bool, error) {
	if x.server.pool.isRetired(tx.conn) && !x.connResponds(ctx, tx.conn) {
		return false, errkind.New(errkind.TransactionLost, "the connection of the transaction no longer answers")
	}
	l, valid := x.server.leases.validLease(x.server.id)
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.lease = l
	if tx.primary {
		x.lease.Primary, x.lease.Term = true, tx.term
	}
	switch {
	case !x.server.mayContinue(tx) || (tx.primary && x.server.monitor.fencedAbove(tx.term)):
		return false, errkind.New(errkind.TransactionLost, "the lease or the primary role of server %s has ended", x.server.id)
	case x.args.Write && !tx.primary && valid && l.Primary:
		// The cycle makes a transaction that only read so far one that may
		// write.
		tx.primary, tx.term = true, l.Term
	case x.args.Write && !tx.primary:
		return false, errkind.New(errkind.TransactionLost, "the transaction runs at a replica and cannot write")
	}
	if tx.rollbackReason != "" {
		return false, errkind.New(errkind.TransactionLost, "%s", tx.rollbackReason)
	}
	if !x.owner.outcomes.start(x.record) {
		return false, errkind.New(errkind.Cancelled, "cancelled before it started")
	}
	return tx.primary, nil
}

// connResponds reports whether the server still answers on the connection of a
// transaction. A cycle sent on a connection without answers would hold a slot
// until its deadline, and its outcome would be unknown.
func (x *execution) connResponds(ctx context.Context, c *pooledConn) bool {
	ctx, cancel := context.WithTimeout(ctx, x.server.limits.StatusTimeout)
	defer cancel()
	res := x.execSQL(ctx, c, "SELECT 1", false)
	return res.err == nil
}

// precheck refuses a cycle that cannot be admitted, and waits for the position
// that the cycle requires. It holds no slot while it waits.
func (x *execution) precheck(ctx context.Context) error {
	s := x.server
	if _, err := s.admit(x.args); err != nil {
		return err
	}
	if x.args.RequiredPosition == (logpos.Position{}) {
		return nil
	}
	v := s.view.Load()
	wait, cancel := context.WithTimeout(ctx, v.effective[v.rank(x.args.Rank)].PositionWait)
	defer cancel()
	return s.monitor.waitApplied(wait, x.args.RequiredPosition)
}

// prepare calls precheck and then obtains a slot and a connection.
func (x *execution) prepare(ctx context.Context) (*pooledConn, schedule.Slot, error) {
	s := x.server
	if err := x.precheck(ctx); err != nil {
		return nil, schedule.Slot{}, err
	}
	start := time.Now()
	rank := s.view.Load().rank(x.args.Rank)
	slot, err := s.sched.Acquire(ctx, rank, "", x.deadline)
	if err != nil {
		return nil, schedule.Slot{}, err
	}
	observeSince(x.owner.metrics.slotWait(rank), start)
	c, err := s.pool.get(ctx)
	if err != nil {
		s.sched.Release(slot)
		return nil, schedule.Slot{}, err
	}
	return c, slot, nil
}

// send checks lease, role and term again and sends the cycle. An error means
// that nothing was sent and that the connection was returned to the pool.
func (x *execution) send(ctx context.Context, c *pooledConn) (result, *pooledConn, error) {
	s := x.server
	l, err := s.admit(x.args)
	if err == nil && !x.owner.outcomes.start(x.record) {
		err = errkind.New(errkind.Cancelled, "cancelled before it started")
	}
	if err != nil {
		s.pool.put(c, true)
		return result{}, nil, err
	}
	x.lease = l
	for attempt := 1; ; attempt++ {
		res := x.relay(ctx, c, x.args.Write)
		if errkind.Of(res.err) != errkind.ConnectFailed {
			return res, c, nil
		}
		s.pool.put(c, false)
		if attempt == sendAttempts {
			return result{}, nil, res.err
		}
		if c, err = s.pool.get(ctx); err != nil {
			return result{}, nil, err
		}
	}
}

func (x *execution) relay(ctx context.Context, c *pooledConn, commit bool) result {
	start := time.Now()
	res := result{commit: commit}
	if !workpool.Guard(x.owner.opts.Logger, func() {
		res.answer, res.position, res.err = c.relay(ctx, x.args.Messages, x.owner.opts.MaxAnswerBytes, commit)
	}) {
		// Handled like a lost server, so that the slot and the connection are released.
		x.owner.logPanic(x.args)
		res.err = errkind.New(errkind.ServerLost, "a panic ended the exchange with server %s", x.server.id)
	}
	observeSince(x.owner.metrics.serviceTime, start)
	if res.err == nil {
		x.server.monitor.recordTraffic()
	}
	return res
}

func (x *execution) release(slot schedule.Slot) { x.server.sched.Release(slot) }

// answerResult fills the reply from a result. If the cycle may have committed a
// write, it first waits until a majority has received it.
func (x *execution) answerResult(ctx context.Context, res result) error {
	kind := errkind.Of(res.err)
	if kind != errkind.OK && kind != errkind.AnswerTooLarge {
		return x.relayError(res.err)
	}
	if kind == errkind.OK && res.answer.SQLState == sqlStateReadOnlyTransaction && res.answer.TxStatus == 'I' {
		if effect, _ := commandTags(res.answer.Messages); !effect {
			return errkind.New(errkind.ReadOnlyMember, "server %s refused a change", x.server.id)
		}
	}
	pos, wrote, err := x.commitPosition(ctx, res)
	if err == nil && wrote {
		err = x.confirmMajority(ctx, pos)
	}
	if err == nil && x.lease.Primary && !x.owner.opts.Disabled.LeaseAtAnswer && !x.server.mayAnswer(x.lease) {
		err = errkind.New(errkind.OutcomeUnknown, "the lease or the primary role of server %s ended before the answer", x.server.id)
	}
	if err != nil {
		return x.unknownOutcome(err)
	}
	if res.err != nil {
		x.reply.Kind, x.reply.Detail = kind, errorDetail(res.err)
	}
	x.reply.Messages = res.answer.Messages
	x.reply.TxStatus = res.answer.TxStatus
	if wrote && res.answer.SQLState == "" {
		x.reply.Position = pos
	}
	return nil
}

// commitPosition returns the position that a majority must have received before
// the answer, and whether the cycle may have committed a write at all.
//
// An answer whose only CommandComplete tags are ROLLBACK acknowledges nothing,
// so it need not wait. An error in the answer does not prove that nothing was
// committed: a Query message with an explicit COMMIT may fail in a later
// statement.
func (x *execution) commitPosition(ctx context.Context, res result) (logpos.Position, bool, error) {
	if !res.commit {
		return logpos.Position{}, false, nil
	}
	if res.err == nil {
		effect, commit := commandTags(res.answer.Messages)
		switch {
		case res.answer.TxStatus == 'I' && effect:
			return res.position, true, nil
		case !effect || !commit:
			return logpos.Position{}, false, nil
		}
	}
	// The cycle committed and then began another transaction, or its answer
	// was too large. A position that is read now is at or after the commit.
	st, err := x.server.monitor.waitStatus(ctx)
	return st.Received.Max(st.Applied), true, err
}

// confirmMajority records pos as applied, waits until a majority has received
// it, and records it as acknowledged.
func (x *execution) confirmMajority(ctx context.Context, pos logpos.Position) error {
	m := x.server.monitor
	m.advanceApplied(pos)
	if !x.owner.opts.Disabled.Majority {
		start := time.Now()
		if err := m.waitMajority(ctx, pos); err != nil {
			return err
		}
		observeSince(x.owner.metrics.commitWait, start)
	}
	m.advanceAcked(pos)
	return nil
}

// relayError returns the error to answer with after relaying a cycle failed. A
// kind whose outcome is not_run means that nothing was sent.
func (x *execution) relayError(err error) error {
	if errkind.Of(err).Info().Outcome == errkind.NotRun {
		return err
	}
	return x.unknownOutcome(err)
}

// unknownOutcome returns the error for a cycle that was sent but has no answer.
// For a repeatable read it is ServerLost, with which the entry may send the
// read to another member.
func (x *execution) unknownOutcome(err error) error {
	if x.args.Repeatable && !x.args.Write && !x.args.InTx && !x.args.Begin {
		return errkind.Wrap(errkind.ServerLost, err, "the read was not answered")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the cycle may have been executed")
}

// transactionLost returns the error for a transaction that was rolled back
// after it ran a cycle. The outcome is unknown only if the cycle itself may
// have committed.
func (x *execution) transactionLost(reason string, res result) error {
	if res.err != nil {
		return x.relayError(res.err)
	}
	if effect, commit := commandTags(res.answer.Messages); effect && commit {
		return errkind.New(errkind.OutcomeUnknown, "the cycle committed, but its transaction was then lost: %s", reason)
	}
	return errkind.New(errkind.TransactionLost, "%s", reason)
}
