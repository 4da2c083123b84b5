package standin

import (
	"context"
	"sync"
	"time"
)

// rowLocks is the lock table of a server. A lock is granted to its waiters in
// FIFO order.
type rowLocks struct {
	mu   sync.Mutex
	held map[rowKey]*rowLock
}

type rowLock struct {
	owner   *transaction
	waiters []*lockWaiter
}

type lockWaiter struct {
	tx      *transaction
	granted chan struct{}
}

// acquire locks row for tx and waits at most timeout. There is no deadlock
// detection: the timeout resolves deadlocks.
func (l *rowLocks) acquire(ctx context.Context, tx *transaction, row rowKey, timeout time.Duration) error {
	l.mu.Lock()
	lock := l.held[row]
	switch {
	case lock == nil:
		l.held[row] = &rowLock{owner: tx}
		l.mu.Unlock()
		tx.lockedRows[row] = struct{}{}
		return nil
	case lock.owner == tx:
		l.mu.Unlock()
		return nil
	}
	w := &lockWaiter{tx: tx, granted: make(chan struct{})}
	lock.waiters = append(lock.waiters, w)
	l.mu.Unlock()

	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var err error
	select {
	case <-w.granted:
		tx.lockedRows[row] = struct{}{}
		return nil
	case <-timer.C:
		err = sqlErrorf(codeLockNotAvailable, "canceling statement due to lock timeout")
	case <-ctx.Done():
		err = sqlErrorf(codeQueryCancelled, "canceling statement due to user request")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range lock.waiters {
		if other == w {
			lock.waiters = append(lock.waiters[:i], lock.waiters[i+1:]...)
			return err
		}
	}
	// The lock was granted in the meantime; it is released at the end of the
	// transaction.
	tx.lockedRows[row] = struct{}{}
	return nil
}

// release releases all locks of tx.
func (l *rowLocks) release(tx *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for row := range tx.lockedRows {
		lock := l.held[row]
		if len(lock.waiters) == 0 {
			delete(l.held, row)
			continue
		}
		next := lock.waiters[0]
		lock.waiters = lock.waiters[1:]
		lock.owner = next.tx
		close(next.granted)
	}
	clear(tx.lockedRows)
}
