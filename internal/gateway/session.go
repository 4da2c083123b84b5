package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Session is a caller's session for one database. Execute and Close must not be
// called concurrently.
type Session struct {
	gateway *Gateway
	name    string // of the database
	// identity is empty if the configuration named no customers, or the database was
	// public, when the session was opened.
	identity identity

	mu       sync.Mutex // held by Execute; expireTransaction only tries to lock it
	settings map[string]string
	prepared map[string]*preparedStatement
	token    logpos.Position // newest position of the session's own commits
	tx       *transaction    // nil outside of a transaction
	closed   bool
	kept     limit.State  // what settings and prepared take
	meter    *limit.Meter // counts the last answer; nil once that was encoded
}

// Customer returns the name of the customer of the session; empty if it has none.
func (s *Session) Customer() string { return s.identity.customer }

// Execute runs one statement and returns its answer. ctx ends when the caller
// disconnects; a statement that was already sent to a server continues.
func (s *Session) Execute(ctx context.Context, r statement.Request) statement.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := false
	defer func() {
		if !returned {
			s.gateway.opts.Events.Event("statement_panicked").Str("request", r.ID).Str("database", s.name).Msg("a panic ended the statement and its session")
		}
	}()
	a := s.execute(ctx, r)
	s.endIfDenied(&a)
	returned = true
	return a
}

// execute runs one statement. The caller holds mu.
func (s *Session) execute(ctx context.Context, r statement.Request) statement.Answer {
	if s.tx != nil {
		s.tx.lastUsed = time.Now()
		defer s.touchTransaction()
	}
	begun := clock.Now()
	if err := s.awaitAuthorization(ctx, begun); err != nil {
		return s.refuseUnauthorized(ctx, r, begun, err)
	}
	if s.tx != nil && s.tx.failed && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		return s.failureAnswer(errkind.New(errkind.BadRequest, "the transaction has failed and can only be ended"))
	}
	switch r.Kind {
	case statement.Set:
		return s.set(r.Name, r.Value)
	case statement.Prepare:
		return s.prepare(r)
	case statement.Deallocate:
		return s.deallocate(r.Name)
	case statement.Begin:
		return s.begin(r)
	case statement.Rollback:
		return s.rollback()
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return s.run(ctx, r, begun)
	}
	return s.failureAnswer(errkind.New(errkind.BadRequest, "the statement is not known"))
}

// touchTransaction restarts the idle time of the transaction.
func (s *Session) touchTransaction() {
	if s.tx != nil {
		s.tx.lastUsed = time.Now()
	}
}

// state returns the transaction state that is reported to the caller.
func (s *Session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	}
	return statement.Open
}

// localAnswer returns the answer to a statement that changes only session state.
func (s *Session) localAnswer() statement.Answer { return statement.Answer{State: s.state()} }

// failureAnswer returns the answer that reports err to the caller.
func (s *Session) failureAnswer(err error) statement.Answer { return statement.Fail(s.state(), err) }

// begin opens a transaction. BEGIN is sent to a server only when the first
// statement follows, so that no connection is held until then.
func (s *Session) begin(r statement.Request) statement.Answer {
	if s.tx != nil {
		return s.failureAnswer(errkind.New(errkind.BadRequest, "a transaction is already open"))
	}
	s.tx = &transaction{begin: r, lastUsed: time.Now()}
	return s.localAnswer()
}

// rollback ends a transaction in the session and at the server.
func (s *Session) rollback() statement.Answer {
	if s.tx == nil {
		return s.failureAnswer(errkind.New(errkind.BadRequest, "no transaction is open"))
	}
	s.tx.rollBackInBackground()
	s.tx = nil
	return s.localAnswer()
}

// run executes a statement that was received at begun at a server, and logs and counts
// its result.
func (s *Session) run(ctx context.Context, r statement.Request, begun time.Time) statement.Answer {
	o, a := s.newOperation(ctx, r, begun)
	if a == nil {
		answer := o.execute()
		a = &answer
	}
	o.recordResult(a)
	return *a
}

// operation returns the operation of a statement that was received at begun, without
// its database.
func (s *Session) operation(ctx context.Context, r statement.Request, begun time.Time) *operation {
	return &operation{session: s, gateway: s.gateway, request: r, ctx: ctx, started: begun, tried: make(map[*member]bool)}
}

// newOperation prepares the execution of a statement, or returns the answer that
// refuses it. The database configuration of a transaction stays as it was when
// the transaction was begun at a server.
func (s *Session) newOperation(ctx context.Context, r statement.Request, begun time.Time) (*operation, *statement.Answer) {
	o := s.operation(ctx, r, begun)
	o.meter = limit.Meter{Budget: s.gateway.opts.Memory, Max: s.gateway.opts.MaxAnswerBytes}
	s.meter.Release() // an answer that was not encoded
	s.meter, o.request.Meter = &o.meter, &o.meter
	fail := func(err error) (*operation, *statement.Answer) {
		if s.tx != nil {
			s.tx.fail()
		}
		a := s.failureAnswer(err)
		return o, &a
	}
	var ok bool
	if s.tx != nil && s.tx.bound() {
		o.db = s.tx.db
	} else if o.db, ok = s.gateway.view.Load().cfg.Databases[s.name]; !ok {
		if !s.gateway.hasLease() {
			return fail(errkind.New(errkind.ConfigStale, "the configuration of this host may be out of date"))
		}
		return fail(errkind.New(errkind.UnknownGroup, "database %q is no longer declared", s.name))
	}
	o.deadline = o.started.Add(o.db.StatementTimeout)
	o.isRead = r.Kind == statement.Read
	if r.Kind == statement.Execute {
		if o.preparedStmt = s.prepared[r.Name]; o.preparedStmt == nil {
			return fail(errkind.New(errkind.BadRequest, "statement %q is not prepared", r.Name))
		}
		o.request.Name, o.isRead = o.preparedStmt.name, o.preparedStmt.readOnly
	}
	if r.Kind == statement.Commit && s.tx == nil {
		a := s.failureAnswer(errkind.New(errkind.BadRequest, "no transaction is open"))
		return o, &a
	}
	return o, nil
}

// requiredState returns the connection state that a statement requires. It shares
// the settings map of the session, which does not change while a statement runs.
func (s *Session) requiredState(ps *preparedStatement) sessionState {
	return sessionState{settings: s.settings, preparedStmt: ps}
}

// expireTransaction rolls back a transaction that has been idle for limit. It does
// nothing while a statement runs.
func (s *Session) expireTransaction(limit time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.tx == nil || s.tx.failed || time.Since(s.tx.lastUsed) < limit {
		return
	}
	s.gateway.opts.Events.Event("transaction_expired").Str("database", s.name).Dur("idle_ms", time.Since(s.tx.lastUsed)).Msg("rolled back an idle transaction")
	s.gateway.metrics.abortedTransactions.Inc(1)
	s.tx.fail()
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tx != nil
}

// Close ends the session and rolls back its open transaction.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.releaseState()
	if s.tx != nil {
		s.tx.rollBackInBackground()
		s.tx = nil
	}
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	delete(s.gateway.sessions, s)
}

// resultKind returns the error kind of an answer; errkind.OK if it has no failure.
func resultKind(a *statement.Answer) errkind.Kind {
	if a.Failure == nil {
		return errkind.OK
	}
	return a.Failure.Kind
}

// readsAtPrimary reports whether every read of the database runs at the primary.
func readsAtPrimary(db database.Database) bool { return db.Consistency == database.Primary }
