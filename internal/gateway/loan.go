package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// LoanArgs describes a statement of another host that needs a connection.
type LoanArgs struct {
	Server   string
	Born     int64 // start of the server's process
	Customer string
	Rank     int
	Begin    bool      // the statement begins a transaction
	Start    time.Time // latest time to get a connection, on clock.Now
	Deadline time.Time // for the answer, on clock.Now
}

// Loan is a connection to a backend server that a statement or a transaction of
// another host uses. Its methods are not called concurrently, except for Abort.
type Loan struct {
	gateway *Gateway
	member  *member
	slot    schedule.Slot
	release sync.Once // of slot
	unsent  bool      // the last statement was refused before anything of it was sent

	mu      sync.Mutex  // guards the fields below
	conn    *pooledConn // nil if opening another one has failed
	aborted bool
}

// connection returns the connection that is in use.
func (l *Loan) connection() *pooledConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// reopen replaces the connection. After an error there is none.
func (l *Loan) reopen(deadline time.Time, sess sessionState) error {
	opened, err := l.member.reopen(context.Background(), deadline, l.connection(), sess)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn = opened; opened != nil && l.aborted {
		opened.abort()
	}
	return err
}

// lendable returns the server if this host lends connections to it. The view of the
// sender may be newer or older than that of this host, and then it has to ask another
// connector.
func (g *Gateway) lendable(server string, born int64) (*member, error) {
	g.mu.Lock()
	m := g.members[server]
	g.mu.Unlock()
	switch {
	case m == nil || m.server.Born != born:
		return nil, errkind.New(errkind.NotOwner, "server %s with start %d is not known to this connector", server, born)
	case m.drainingFor() >= primaryDrainTime:
		return nil, errkind.New(errkind.NotOwner, "server %s is draining", server)
	case m.role() != roleConnector:
		return nil, errkind.New(errkind.NotOwner, "this host is no connector of server %s", server)
	}
	return m, nil
}

// minRefusalReserve is the least time that is left for a refusal to reach the sender. It
// is above a round trip between regions.
const minRefusalReserve = 100 * time.Millisecond

// Borrow waits for a slot and a connection. An error means that nothing was sent. It
// is NotOwner if the sender has to use another connector, Draining if this host is
// about to stop and takes no new transactions, and Overloaded at once if the statement
// is not expected to start in time.
func (g *Gateway) Borrow(ctx context.Context, args LoanArgs, s RelayedStatement) (*Loan, error) {
	m, err := g.lendable(args.Server, args.Born)
	if err != nil {
		return nil, err
	}
	if args.Begin && g.Draining() {
		return nil, errkind.New(errkind.Draining, "this connector is about to stop")
	}
	// The refusal of a statement that can't start in time must reach the sender before
	// the deadline: after it, the outcome of a write is unknown there.
	left := args.Deadline.Sub(clock.Now())
	startBy := time.Now().Add(left - min(max(answerReserveFactor*m.expectedAnswerTime(), minRefusalReserve), left/2))
	if latest := time.Now().Add(args.Start.Sub(clock.Now())); latest.Before(startBy) {
		startBy = latest
	}
	ctx, cancel := context.WithDeadline(ctx, startBy)
	defer cancel()
	slot, err := m.sched.Acquire(ctx, g.view.Load().ranks.Name(args.Rank), args.Customer, startBy)
	if errkind.Of(err) == errkind.DeadlineExceeded && clock.Now().Before(args.Deadline) {
		err = errkind.Wrap(errkind.Overloaded, err, "the connector has no slot in time") // another one may have
	}
	if err != nil {
		return nil, err
	}
	sess, err := g.sessionState(s)
	if err != nil {
		m.sched.Release(slot)
		return nil, err
	}
	defer g.releasePrepared(sess)
	pc, err := m.pool.get(ctx, args.Rank, args.Customer, sess)
	if err != nil {
		m.sched.Release(slot)
		if errkind.Of(err) == errkind.ConnectFailed && ctx.Err() == nil {
			g.recordFailure(m, "", err)
		}
		return nil, err
	}
	if m.drainingFor() >= primaryDrainTime {
		m.pool.put(pc)
		m.sched.Release(slot)
		return nil, errkind.New(errkind.NotOwner, "server %s is draining", args.Server)
	}
	return &Loan{gateway: g, member: m, conn: pc, slot: slot}, nil
}

// sessionState converts the session state of a relayed statement, for which
// releasePrepared must be called. The error has kind errkind.Overloaded if there is no
// room for the text of a prepared statement.
func (g *Gateway) sessionState(s RelayedStatement) (sessionState, error) {
	sess := sessionState{settings: s.Settings}
	if s.Prepared == nil {
		return sess, nil
	}
	var err error
	sess.preparedStmt, err = g.preparedStatements.get(s.Prepared.Text, s.Prepared.ReadOnly)
	return sess, err
}

// releasePrepared ends the use of a prepared statement by sessionState.
func (g *Gateway) releasePrepared(sess sessionState) {
	if sess.preparedStmt != nil {
		g.preparedStatements.release(sess.preparedStmt)
	}
}

// Do runs a statement with a latest start and a deadline on clock.Now. Its errors are
// those of Conn.Do, and errkind.DeadlineExceeded if nothing was sent because one of
// them has passed, for instance while this host was suspended. After errkind.BadRequest
// nothing was sent either, and that is no failure of the server.
func (l *Loan) Do(start, end time.Time, s RelayedStatement) (statement.Answer, error) {
	defer l.releaseSlot() // the first statement of a transaction holds it, too
	l.unsent = false
	m := l.member
	left := end.Sub(clock.Now())
	if left <= 0 {
		return statement.Answer{}, errkind.New(errkind.DeadlineExceeded, "the deadline passed at the connector")
	}
	deadline := time.Now().Add(left)
	r := s.Request
	var sess sessionState
	if s.HasState {
		var err error
		sess, err = l.gateway.sessionState(s)
		if err != nil {
			return statement.Answer{}, err
		}
		defer l.gateway.releasePrepared(sess)
		if sess.preparedStmt != nil {
			r.Name = sess.preparedStmt.name
		}
		if err := l.connection().adapt(deadline, sess); badRequest(err) {
			return statement.Answer{}, errkind.Wrap(errkind.BadRequest, err, "the session state")
		} else if err != nil {
			l.gateway.recordFailure(m, r.ID, err)
			return statement.Answer{}, err
		}
	}
	if clock.Now().After(start) {
		return statement.Answer{}, errkind.New(errkind.DeadlineExceeded, "the latest start passed at the connector")
	}
	begun := time.Now()
	m.startStatement()
	a, err := l.connection().do(deadline, r)
	if r.Kind == statement.Begin && unattributed(err) {
		l.gateway.recordFailure(m, r.ID, err)
		if err = l.reopen(deadline, sess); err == nil {
			a, err = l.connection().do(deadline, r)
		}
	}
	l.unsent = badRequest(err)
	m.endStatement(err == nil || l.unsent)
	if err != nil {
		if pc := l.connection(); !l.unsent && (pc == nil || !pc.aborted.Load()) {
			l.gateway.recordFailure(m, r.ID, err)
		}
		return statement.Answer{}, err
	}
	l.gateway.metrics.lent.Inc(1)
	l.gateway.opts.Events.Sample("statement_lent").Str("request", r.ID).Str("server", m.server.ID).Str("connection", a.Source.Connection).
		Uint64("answer", a.Source.Number).Str("basis", string(a.Source.Basis)).Str("receipt", a.Receipt).Msg("ran a statement of another host")
	m.recordAnswer(time.Since(begun), a.Position)
	return a, nil
}

// Unsent reports whether nothing of the last statement was sent, so that the connection
// is as it was before.
func (l *Loan) Unsent() bool { return l.unsent }

// Return gives the connection back, which has no open transaction.
func (l *Loan) Return() {
	l.releaseSlot()
	if pc := l.connection(); pc != nil {
		l.member.pool.put(pc)
	}
}

// Drop closes the connection, so that the server rolls back.
func (l *Loan) Drop() {
	l.releaseSlot()
	if pc := l.connection(); pc != nil {
		l.member.pool.drop(pc)
	}
}

// Abort ends a statement in progress by closing the connection. Drop must still be
// called.
func (l *Loan) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted = true; l.conn != nil {
		l.conn.abort()
	}
}

func (l *Loan) releaseSlot() {
	l.release.Do(func() { l.member.sched.Release(l.slot) })
}

// recentAnswer is the age up to which an answer of a server replaces a probe for
// another host.
const recentAnswer = unresponsiveAfter

// probePollInterval is how often ProbeFor checks whether a probe has ended.
const probePollInterval = 10 * time.Millisecond

// ProbeFor reports to another host whether a server answers: from what this host has
// observed lately, or by a probe, which it shares with all that ask. Senders would
// otherwise each open a connection.
func (g *Gateway) ProbeFor(ctx context.Context, server string, born int64) error {
	m, err := g.lendable(server, born)
	if err != nil {
		return err
	}
	for {
		now := clock.Now()
		age, failing := m.sinceLastAnswer(now), m.failingFor(now)
		if age > 0 && age < recentAnswer && failing == 0 {
			return nil
		}
		if m.claimProbeFor() {
			if m.probe(ctx) {
				return nil
			}
			return errkind.New(errkind.ConnectFailed, "server %s does not answer a probe", server)
		}
		select {
		case <-ctx.Done():
			return errkind.New(errkind.ConnectFailed, "server %s has not answered for %v", server, age)
		case <-time.After(probePollInterval):
		}
	}
}

// claimProbeFor is claimProbe for another host, whose statements are not answered.
func (m *member) claimProbeFor() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing || clock.Now().Before(m.nextProbe) {
		return false
	}
	m.probing = true
	return true
}
