package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// withdrawnKeys returns the number of keys by customer that old has and owners does
// not have for the same customer.
func withdrawnKeys(old, owners map[database.KeyDigest]string) map[string]int {
	withdrawn := make(map[string]int)
	for key, customer := range old {
		if owners[key] != customer {
			withdrawn[customer]++
		}
	}
	return withdrawn
}

// logWithdrawnKeys logs the keys that v no longer has.
func (g *Gateway) logWithdrawnKeys(old, v *view) {
	for customer, keys := range withdrawnKeys(old.keyOwners, v.keyOwners) {
		g.opts.Events.Event("key_withdrawn").Str("customer", customer).Int("keys", keys).
			Uint64("config_version", v.cfg.Version).Msg("keys of a customer were withdrawn")
	}
}

// endDeniedTransactions rolls back the open transactions of sessions whose key was
// withdrawn. Sessions that run a statement are checked again in the next round.
func (g *Gateway) endDeniedTransactions(sessions []*Session) {
	if !g.keysChanged.Swap(false) {
		return
	}
	v := g.view.Load()
	for _, s := range sessions {
		if !s.mu.TryLock() {
			g.keysChanged.Store(true)
			continue
		}
		if s.tx != nil && !s.tx.failed && !v.authorize(s.identity, s.name) {
			g.opts.Events.Event("transaction_denied").Str("database", s.name).Str("customer", s.identity.customer).
				Uint64("config_version", v.cfg.Version).Msg("rolled back a transaction, because its key was withdrawn")
			g.metrics.abortedTransactions.Inc(1)
			s.tx.fail()
		}
		s.mu.Unlock()
	}
}

// allSessions returns the open sessions.
func (g *Gateway) allSessions() []*Session {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.sessions))
}

// awaitAuthorization waits until a statement of the session that was received at begun
// may run, or returns why it may not. It waits for a lease as long as a statement
// outside of a transaction does.
func (s *Session) awaitAuthorization(ctx context.Context, begun time.Time) error {
	for {
		err := s.gateway.authorize(s.identity, s.name)
		if errkind.Of(err) != errkind.ConfigStale {
			return err
		}
		v := s.gateway.view.Load()
		deadline := begun.Add(v.cfg.Databases[s.name].StatementTimeout)
		if s.gateway.CutOff() || ctx.Err() != nil || !clock.Now().Before(deadline) {
			return err
		}
		waitForView(ctx, v, retryPause)
	}
}

// refuseUnauthorized answers a statement that may not run.
func (s *Session) refuseUnauthorized(ctx context.Context, r statement.Request, begun time.Time, err error) statement.Answer {
	o := s.operation(ctx, r, begun)
	o.db = s.gateway.view.Load().cfg.Databases[s.name]
	if s.tx != nil {
		s.tx.fail()
		if r.Kind == statement.Rollback || r.Kind == statement.Commit {
			s.tx = nil
		}
	}
	a := s.failureAnswer(err)
	o.recordResult(&a)
	return a
}

// endIfDenied ends the transaction of a session whose statement was denied; the
// protocol closes the connection after the answer.
func (s *Session) endIfDenied(a *statement.Answer) {
	if resultKind(a) != errkind.Denied {
		return
	}
	if s.tx != nil {
		s.tx.rollBackInBackground()
		s.tx = nil
	}
	a.State = s.state()
	s.gateway.opts.Events.Event("session_ended").Str("database", s.name).Str("customer", s.identity.customer).
		Uint64("config_version", s.gateway.view.Load().cfg.Version).Msg("a session ended, because its key was withdrawn")
}

// mayRun returns nil if the statement may be sent to a server now, as far as its key
// and its admission are concerned.
func (o *operation) mayRun() error {
	if err := o.gateway.authorize(o.session.identity, o.session.name); err != nil {
		return err
	}
	if !o.admissionUsable() {
		return errkind.New(errkind.ConfigStale, "the admission of the operation has run out")
	}
	return nil
}

// endUnauthorized ends a transaction whose next statement may not be sent.
func (o *operation) endUnauthorized(err error) statement.Answer {
	s := o.session
	s.tx.fail()
	if errkind.Of(err) != errkind.Denied {
		err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was rolled back")
	}
	if o.request.Kind == statement.Commit {
		s.tx = nil
	}
	return s.failureAnswer(err)
}
