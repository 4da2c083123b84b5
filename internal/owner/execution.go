package owner

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// sendAttempts bounds how often a cycle is tried on another connection after
// a connection proved dead before anything was sent.
const sendAttempts = 3

// readOnlyState is the SQLSTATE read_only_sql_transaction: the server refused
// a change and ran nothing.
const readOnlyState = "25006"

// execution is one cycle on its way through a server. One goroutine owns it.
type execution struct {
	owner    *Owner
	server   *server
	args     *ownerrpc.ExecArgs
	reply    *ownerrpc.ExecReply
	record   *record
	deadline time.Time
	lease    controlrpc.HeldLease // at the moment of sending
}

func (x *execution) run(ctx context.Context) {
	var err error
	switch {
	case x.args.RequestToken != "" && (x.args.InTx || x.args.Begin):
		err = errkind.New(errkind.Unsupported, "request_id is offered only for a single cycle outside of a transaction")
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
		refuse(x.reply, err)
	}
}

// runSingle executes a cycle that uses a connection for itself only.
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
	if res.open() && !x.owner.opts.Disabled.CleanReturn {
		return errkind.New(errkind.Internal, "the cycle opened a transaction without being marked so; it was rolled back")
	}
	return x.answer(ctx, res)
}

// runBegin executes a cycle that may open a transaction.
func (x *execution) runBegin(ctx context.Context) error {
	s := x.server
	if err := x.precheck(ctx); err != nil {
		return err
	}
	key := sessionKey{x.args.ID.Entry, x.args.ID.Session}
	// A session that begins has lost sight of an earlier transaction.
	s.endTransactions("the session began another transaction", func(tx *transaction) bool { return tx.key == key })
	v := s.view.Load()
	rank := v.rank(x.args.Rank)
	if err := s.permits.acquire(ctx, v.higher[rank], v.effective[rank].QueueLimit); err != nil {
		return err
	}
	// From here on, a release of the session or the end of the lease finds
	// the transaction, although it is not open yet.
	tx := &transaction{key: key, rank: rank, primary: x.args.Write, term: x.args.Term, busy: true}
	if err := s.bind(tx); err != nil {
		s.permits.release()
		return err
	}
	c, slot, err := x.prepare(ctx)
	if err != nil {
		s.settle(tx, false, false)
		return err
	}
	res, c, err := x.send(ctx, c)
	x.release(slot)
	if err != nil {
		s.settle(tx, false, false)
		return err
	}
	tx.conn = c
	return x.answerTransaction(ctx, res, tx)
}

// runInTransaction executes a cycle of the session's open transaction.
func (x *execution) runInTransaction(ctx context.Context) error {
	s := x.server
	tx, err := s.claim(sessionKey{x.args.ID.Entry, x.args.ID.Session})
	if err != nil {
		return err
	}
	slot, err := s.sched.Acquire(ctx, s.view.Load().rank(x.args.Rank), x.deadline)
	if err != nil {
		// Nothing was sent, so the transaction is as it was.
		if reason := s.settle(tx, true, false); reason != "" {
			return errkind.New(errkind.TransactionLost, "%s", reason)
		}
		return err
	}
	primary, err := x.checkTransaction(ctx, tx)
	if err != nil {
		s.sched.Release(slot)
		s.settle(tx, errkind.Of(err) == errkind.Cancelled, false)
		return err
	}
	res := x.relay(ctx, tx.conn, primary)
	x.release(slot)
	if errkind.Of(res.err) == errkind.ConnectFailed {
		s.settle(tx, false, false)
		return errkind.Wrap(errkind.TransactionLost, res.err, "the connection of the transaction was lost before the cycle was sent")
	}
	return x.answerTransaction(ctx, res, tx)
}

// answerTransaction answers a cycle that a transaction ran.
func (x *execution) answerTransaction(ctx context.Context, res result, tx *transaction) error {
	open := res.open()
	if reason := x.server.settle(tx, open, res.clean()); reason != "" {
		return x.lost(reason, res)
	}
	if open {
		return x.answerOpen(ctx, res, tx.key)
	}
	return x.answer(ctx, res)
}

// answerOpen answers a cycle that left a transaction open. If the answer may
// not be given, the entry takes the transaction for lost, so it is ended.
func (x *execution) answerOpen(ctx context.Context, res result, key sessionKey) error {
	err := x.answer(ctx, res)
	if err == nil {
		return nil
	}
	x.server.endTransactions("a cycle could not be answered", func(tx *transaction) bool { return tx.key == key })
	return x.lost(detail(err), res)
}

// checkTransaction checks what must hold when a cycle of a transaction is
// about to be sent, and marks the cycle as started. It returns whether the
// transaction may write.
func (x *execution) checkTransaction(ctx context.Context, tx *transaction) (bool, error) {
	if x.server.pool.isRetired(tx.conn) && !x.answers(ctx, tx.conn) {
		return false, errkind.New(errkind.TransactionLost, "the connection of the transaction is silent")
	}
	l, valid := x.server.leases.valid(x.server.id)
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.lease = l
	if tx.primary {
		x.lease.Primary, x.lease.Term = true, tx.term
	}
	switch {
	case !x.server.mayGoOn(tx) || (tx.primary && x.server.monitor.fencedAbove(tx.term)):
		return false, errkind.New(errkind.TransactionLost, "the lease or the primary role of server %s has ended", x.server.id)
	case x.args.Write && !tx.primary && valid && l.Primary:
		// The cycle turns a read-only transaction into one that writes.
		tx.primary, tx.term = true, l.Term
	case x.args.Write && !tx.primary:
		return false, errkind.New(errkind.TransactionLost, "the transaction runs at a replica and cannot write")
	}
	if tx.doomed != "" {
		return false, errkind.New(errkind.TransactionLost, "%s", tx.doomed)
	}
	if !x.owner.outcomes.start(x.record) {
		return false, errkind.New(errkind.Cancelled, "cancelled before it started")
	}
	return tx.primary, nil
}

// answers reports whether a connection of a transaction still works. A cycle
// that is sent on a silent one would hold a slot until its deadline and leave
// its outcome unknown.
func (x *execution) answers(ctx context.Context, c *pooledConn) bool {
	ctx, cancel := context.WithTimeout(ctx, x.server.limits.StatusTimeout)
	defer cancel()
	res := x.statement(ctx, c, "SELECT 1", false)
	return res.err == nil
}

// precheck refuses early what cannot run, and waits for the position that the
// cycle requires. It holds no slot meanwhile.
func (x *execution) precheck(ctx context.Context) error {
	s := x.server
	if _, err := s.admit(x.args); err != nil {
		return err
	}
	if x.args.Require == (logpos.Position{}) {
		return nil
	}
	v := s.view.Load()
	wait, cancel := context.WithTimeout(ctx, v.effective[v.rank(x.args.Rank)].PositionWait)
	defer cancel()
	return s.monitor.waitApplied(wait, x.args.Require)
}

// prepare obtains a slot and a connection.
func (x *execution) prepare(ctx context.Context) (*pooledConn, schedule.Slot, error) {
	s := x.server
	if err := x.precheck(ctx); err != nil {
		return nil, schedule.Slot{}, err
	}
	start := time.Now()
	rank := s.view.Load().rank(x.args.Rank)
	slot, err := s.sched.Acquire(ctx, rank, x.deadline)
	if err != nil {
		return nil, schedule.Slot{}, err
	}
	since(x.owner.meters.slotWait(rank), start)
	c, err := s.pool.get(ctx)
	if err != nil {
		s.sched.Release(slot)
		return nil, schedule.Slot{}, err
	}
	return c, slot, nil
}

// send checks the lease, role and term at the last moment and sends the
// cycle. An error means that nothing was sent and that the connection was
// given back.
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
	res.answer, res.position, res.err = c.relay(ctx, x.args.Messages, x.owner.opts.MaxAnswerBytes, commit)
	since(x.owner.meters.service, start)
	if res.err == nil {
		x.server.monitor.heardTraffic()
	}
	return res
}

func (x *execution) release(slot schedule.Slot) { x.server.sched.Release(slot) }

// answer turns a result into the reply. It waits for the majority if the
// cycle may have committed a write.
func (x *execution) answer(ctx context.Context, res result) error {
	kind := errkind.Of(res.err)
	if kind != errkind.OK && kind != errkind.AnswerTooLarge {
		return x.answerError(res.err)
	}
	if kind == errkind.OK && res.answer.SQLState == readOnlyState && res.answer.TxStatus == 'I' {
		if effect, _ := tags(res.answer.Messages); !effect {
			return errkind.New(errkind.ReadOnlyMember, "server %s refused a change", x.server.id)
		}
	}
	pos, wrote, err := x.committed(ctx, res)
	if err == nil && wrote {
		err = x.confirm(ctx, pos)
	}
	if err == nil && x.lease.Primary && !x.owner.opts.Disabled.LeaseAtAnswer && !x.server.mayAnswer(x.lease) {
		err = errkind.New(errkind.OutcomeUnknown, "the lease or the primary role of server %s ended before the answer", x.server.id)
	}
	if err != nil {
		return x.unknown(err)
	}
	if res.err != nil {
		x.reply.Kind, x.reply.Detail = kind, detail(res.err)
	}
	x.reply.Messages = res.answer.Messages
	x.reply.TxStatus = res.answer.TxStatus
	if wrote && res.answer.SQLState == "" {
		x.reply.Position = pos
	}
	return nil
}

// committed returns the position that the answer depends on, if the cycle may
// have committed a write.
//
// An answer without any CommandComplete besides ROLLBACK acknowledges
// nothing, so it need not wait. An error answer alone proves less: a Query
// message with an explicit COMMIT may fail in a later statement.
func (x *execution) committed(ctx context.Context, res result) (logpos.Position, bool, error) {
	if !res.commit {
		return logpos.Position{}, false, nil
	}
	if res.err == nil {
		effect, commit := tags(res.answer.Messages)
		switch {
		case res.answer.TxStatus == 'I' && effect:
			return res.position, true, nil
		case !effect || !commit:
			return logpos.Position{}, false, nil
		}
	}
	// The cycle committed and went on, or its answer was too large. A
	// position that is read now lies after the commit.
	st, err := x.server.monitor.waitStatus(ctx)
	return st.Received.Max(st.Applied), true, err
}

// confirm waits until a majority has received pos.
func (x *execution) confirm(ctx context.Context, pos logpos.Position) error {
	m := x.server.monitor
	m.advanceApplied(pos)
	if !x.owner.opts.Disabled.Majority {
		start := time.Now()
		if err := m.waitMajority(ctx, pos); err != nil {
			return err
		}
		since(x.owner.meters.commitWait, start)
	}
	m.advanceAcked(pos)
	return nil
}

// answerError returns the error for a cycle that a relay failed on. A kind
// whose outcome is not_run means that nothing was sent.
func (x *execution) answerError(err error) error {
	if errkind.Of(err).Info().Outcome == errkind.NotRun {
		return err
	}
	return x.unknown(err)
}

// unknown returns the error for a cycle that was sent and has no answer. The
// kind of a repeatable read lets the entry send it to another member.
func (x *execution) unknown(err error) error {
	if x.args.Repeatable && !x.args.Write && !x.args.InTx && !x.args.Begin {
		return errkind.Wrap(errkind.ServerLost, err, "the read was not answered")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the cycle may have been executed")
}

// lost returns the error for a transaction that was rolled back after a cycle
// of it ran. Only a commit within the cycle makes the outcome unknown.
func (x *execution) lost(reason string, res result) error {
	if res.err != nil {
		return x.answerError(res.err)
	}
	if effect, commit := tags(res.answer.Messages); effect && commit {
		return errkind.New(errkind.OutcomeUnknown, "the cycle committed, then its transaction was lost: %s", reason)
	}
	return errkind.New(errkind.TransactionLost, "%s", reason)
}
