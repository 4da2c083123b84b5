package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// bind registers a transaction that is about to begin, with a permit that it
// holds until it ends.
func (s *server) bind(tx *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return errkind.New(errkind.NotOwner, "the lease of the server has ended")
	case s.txs[tx.key] != nil:
		return errkind.New(errkind.RequestInProgress, "another cycle of the session is running")
	}
	tx.used = time.Now()
	s.txs[tx.key] = tx
	return nil
}

// claim gives the transaction of a session to a cycle.
func (s *server) claim(key sessionKey) (*transaction, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx := s.txs[key]
	switch {
	case tx == nil:
		return nil, errkind.New(errkind.TransactionLost, "the session has no open transaction at server %s", s.id)
	case tx.busy:
		return nil, errkind.New(errkind.RequestInProgress, "another cycle of the transaction is running")
	}
	tx.busy = true
	return tx, nil
}

// settle ends the use of a transaction by a cycle. The transaction goes on if
// open is true and nothing doomed it; otherwise its connection returns to the
// pool if clean is true. It returns the reason for which it was rolled back.
func (s *server) settle(tx *transaction, open, clean bool) string {
	s.mu.Lock()
	tx.busy = false
	tx.used = time.Now()
	reason := tx.doomed
	if open && reason == "" {
		s.mu.Unlock()
		return ""
	}
	delete(s.txs, tx.key)
	s.mu.Unlock()
	if tx.conn != nil {
		s.pool.put(tx.conn, clean && !open)
	}
	s.permits.release()
	if !open {
		return ""
	}
	return reason
}

// endTransactions rolls back the transactions that match. One that a cycle
// uses is rolled back when the cycle has ended.
func (s *server) endTransactions(reason string, match func(*transaction) bool) {
	var ended []*transaction
	s.mu.Lock()
	for key, tx := range s.txs {
		if !match(tx) {
			continue
		}
		if tx.busy {
			tx.doomed = reason
			continue
		}
		delete(s.txs, key)
		ended = append(ended, tx)
	}
	s.mu.Unlock()
	for _, tx := range ended {
		s.pool.put(tx.conn, false)
		s.permits.release()
		s.log.Info().Str("entry", tx.key.entry).Uint64("session", tx.key.session).Str("reason", reason).Msg("rolled back a transaction")
	}
}

// sweep rolls back transactions that may not go on.
func (s *server) sweep() {
	s.followLease(s.leased())
	s.endTransactions("the lease or the primary role has ended", func(tx *transaction) bool { return !s.mayGoOn(tx) })
	s.endTransactions("the entry was silent", func(tx *transaction) bool {
		return s.entries.silent(tx.key.entry, s.limits.EntrySilence)
	})
	if since := s.view.Load().drainingSince; !since.IsZero() && time.Since(since) > s.limits.DrainTx {
		s.endTransactions("the server is leaving service", func(*transaction) bool { return true })
	}
	s.endTransactions("the transaction was idle", func(tx *transaction) bool {
		return !tx.busy && time.Since(tx.used) > s.limits.TxIdle
	})
}

// followLease gives up the connections when the lease has expired: the next
// owner needs them within the connection limit of the server.
func (s *server) followLease(valid bool) {
	s.mu.Lock()
	expired := !valid && !s.idle
	s.idle = !valid
	s.mu.Unlock()
	if expired {
		s.log.Warn().Msg("the lease expired; closing the connections")
		s.pool.retire()
	}
}

func (s *server) openTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.txs)
}

// mayGoOn reports whether the leases allow the transaction to go on.
func (s *server) mayGoOn(tx *transaction) bool {
	if tx.primary {
		return s.leases.finishingAsPrimary(s.id, tx.term)
	}
	return s.leased()
}
