package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Session is one caller session. Execute and Close are called one at a time.
type Session struct {
	gateway *Gateway
	name    string // of the database

	mu       sync.Mutex // held by Execute; expire takes it only when it is free
	values   map[string]string
	prepared map[string]*shape
	token    logpos.Position // of the session's own commits
	tx       *transaction    // nil outside of a transaction
	closed   bool
}

// Execute runs one statement and returns its answer. ctx ends when the caller
// leaves; a statement that was sent to a server goes on.
func (s *Session) Execute(ctx context.Context, r statement.Request) statement.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil {
		s.tx.used = time.Now()
		defer s.touch()
	}
	if s.tx != nil && s.tx.failed && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		return s.refuse(errkind.New(errkind.BadRequest, "the transaction has failed and can only be ended"))
	}
	switch r.Kind {
	case statement.Set:
		s.values[r.Name] = r.Value
		return s.local()
	case statement.Prepare:
		s.prepared[r.Name] = s.gateway.shapes.get(r.Value, r.ReadOnly)
		return s.local()
	case statement.Deallocate:
		delete(s.prepared, r.Name)
		return s.local()
	case statement.Begin:
		return s.begin(r)
	case statement.Rollback:
		return s.rollback()
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return s.run(ctx, r)
	}
	return s.refuse(errkind.New(errkind.BadRequest, "the statement is not known"))
}

// touch starts the idle time of the transaction anew.
func (s *Session) touch() {
	if s.tx != nil {
		s.tx.used = time.Now()
	}
}

// state returns the state that the caller sees.
func (s *Session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	}
	return statement.Open
}

// local answers a statement that concerns only the session.
func (s *Session) local() statement.Answer { return statement.Answer{State: s.state()} }

func (s *Session) refuse(err error) statement.Answer { return statement.Fail(s.state(), err) }

// begin opens a transaction. It is sent to a server with its first statement,
// so that no connection is held while the caller thinks.
func (s *Session) begin(r statement.Request) statement.Answer {
	if s.tx != nil {
		return s.refuse(errkind.New(errkind.BadRequest, "a transaction is open already"))
	}
	s.tx = &transaction{begin: r, used: time.Now()}
	return s.local()
}

// rollback ends a transaction on both sides.
func (s *Session) rollback() statement.Answer {
	if s.tx == nil {
		return s.refuse(errkind.New(errkind.BadRequest, "no transaction is open"))
	}
	s.tx.abandon()
	s.tx = nil
	return s.local()
}

// run executes a statement at a server and accounts for it.
func (s *Session) run(ctx context.Context, r statement.Request) statement.Answer {
	o, a := s.newOperation(ctx, r)
	if a == nil {
		answer := o.execute()
		a = &answer
	}
	o.finish(a)
	return *a
}

// newOperation looks the database up. The database of a transaction stays as
// it was when the transaction began.
func (s *Session) newOperation(ctx context.Context, r statement.Request) (*operation, *statement.Answer) {
	o := &operation{session: s, gateway: s.gateway, request: r, ctx: ctx, started: clock.Now(), tried: make(map[*member]bool)}
	fail := func(err error) (*operation, *statement.Answer) {
		if s.tx != nil {
			s.tx.fail()
		}
		a := s.refuse(err)
		return o, &a
	}
	var ok bool
	if s.tx != nil && s.tx.bound() {
		o.db = s.tx.db
	} else if o.db, ok = s.gateway.view.Load().cfg.Databases[s.name]; !ok {
		if !s.gateway.leased() {
			return fail(errkind.New(errkind.ConfigStale, "this host can't be sure of its configuration"))
		}
		return fail(errkind.New(errkind.UnknownGroup, "database %q is no longer declared", s.name))
	}
	o.deadline = o.started.Add(o.db.StatementTimeout)
	o.read = r.Kind == statement.Read
	if r.Kind == statement.Execute {
		if o.shape = s.prepared[r.Name]; o.shape == nil {
			return fail(errkind.New(errkind.BadRequest, "statement %q is not prepared", r.Name))
		}
		o.request.Name, o.read = o.shape.name, o.shape.readOnly
	}
	if r.Kind == statement.Commit && s.tx == nil {
		a := s.refuse(errkind.New(errkind.BadRequest, "no transaction is open"))
		return o, &a
	}
	return o, nil
}

// expected returns what a connection has to know for a statement. The values are
// those of the session, which nobody changes while its statement runs.
func (s *Session) expected(sh *shape) sessionState {
	return sessionState{values: s.values, shape: sh}
}

// expire ends a transaction that has had no statement for the limit.
func (s *Session) expire(limit time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.tx == nil || s.tx.failed || time.Since(s.tx.used) < limit {
		return
	}
	s.gateway.opts.Events.Event("transaction_expired").Str("database", s.name).Dur("idle_ms", time.Since(s.tx.used)).Msg("an idle transaction was rolled back")
	s.gateway.meters.aborted.Inc(1)
	s.tx.fail()
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tx != nil
}

// Close ends the session; its open transaction is rolled back.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.tx != nil {
		s.tx.abandon()
		s.tx = nil
	}
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	delete(s.gateway.sessions, s)
}

// resultKind returns the kind of an answer.
func resultKind(a *statement.Answer) errkind.Kind {
	if a.Failure == nil {
		return errkind.OK
	}
	return a.Failure.Kind
}

// usesPrimary reports whether every read of the database runs at the primary.
func usesPrimary(db database.Database) bool { return db.Consistency == database.Primary }
