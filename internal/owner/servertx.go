package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// registerTransaction registers a transaction that is about to begin. The
// caller has acquired a permit for it, which endTransactionUse or
// endTransactions releases when the transaction ends.
func (s *server) registerTransaction(tx *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return errkind.New(errkind.NotOwner, "the lease of the server has ended")
	case s.txs[tx.key] != nil:
		return errkind.New(errkind.RequestInProgress, "another cycle of the session is running")
	}
	tx.lastUsed = time.Now()
	s.txs[tx.key] = tx
	return nil
}

// claimTransaction marks the open transaction of a session as busy and returns
// it.
func (s *server) claimTransaction(key sessionKey) (*transaction, error) {
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

// endTransactionUse ends the use of a transaction by a cycle. The transaction
// stays open if open is true and it has no rollbackReason. Otherwise it is
// removed, and its connection is kept in the pool only if the transaction has
// ended and clean is true. It returns the reason if it rolled back an open
// transaction.
func (s *server) endTransactionUse(tx *transaction, open, clean bool) string {
	s.mu.Lock()
	tx.busy = false
	tx.lastUsed = time.Now()
	reason := tx.rollbackReason
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

// endTransactions rolls back the transactions that match. A busy one is rolled
// back when its cycle has ended.
func (s *server) endTransactions(reason string, match func(*transaction) bool) {
	var ended []*transaction
	s.mu.Lock()
	for key, tx := range s.txs {
		if !match(tx) {
			continue
		}
		if tx.busy {
			tx.rollbackReason = reason
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

// sweep retires the connections of the pool if the lease has expired, and rolls
// back transactions that may not continue.
func (s *server) sweep() {
	s.closeConnsOnExpiry(s.leased())
	s.endTransactions("the lease or the primary role has ended", func(tx *transaction) bool { return !s.mayContinue(tx) })
	s.endTransactions("the entry sent no request within the entry timeout", func(tx *transaction) bool {
		return s.entries.timedOut(tx.key.entry, s.limits.EntryTimeout)
	})
	if drainingSince := s.view.Load().drainingSince; !drainingSince.IsZero() && time.Since(drainingSince) > s.limits.DrainTxTimeout {
		s.endTransactions("the server is draining", func(*transaction) bool { return true })
	}
	s.endTransactions("the transaction was idle for longer than its idle timeout", func(tx *transaction) bool {
		return !tx.busy && time.Since(tx.lastUsed) > s.limits.TxIdleTimeout
	})
}

// closeConnsOnExpiry retires the connections of the pool when the lease has
// expired, because the next owner needs them within the connection limit of the
// server.
func (s *server) closeConnsOnExpiry(valid bool) {
	s.mu.Lock()
	expired := !valid && !s.leaseExpired
	s.leaseExpired = !valid
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

// mayContinue reports whether the leases allow the transaction to continue.
func (s *server) mayContinue(tx *transaction) bool {
	if tx.primary {
		return s.leases.mayFinishAsPrimary(s.id, tx.term)
	}
	return s.leased()
}
