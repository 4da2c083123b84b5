package standin

import (
	"time"
)

// pendingCommit is a transaction that waits to be written to the log.
type pendingCommit struct {
	tx   *transaction
	done bool // set with logMu held
	err  error
}

// commit makes the changes of tx durable and visible. Concurrent commits share
// one sync (group commit): the first to acquire logMu writes all pending ones.
func (n *node) commit(tx *transaction) error {
	c := &pendingCommit{tx: tx}
	n.commitMu.Lock()
	n.pendingCommits = append(n.pendingCommits, c)
	n.commitMu.Unlock()

	n.logMu.Lock()
	defer n.logMu.Unlock()
	if c.done {
		return c.err
	}
	n.commitMu.Lock()
	batch := n.pendingCommits
	n.pendingCommits = nil
	n.commitMu.Unlock()

	// meta and log are read without mu: they are only modified with logMu held.
	var records []record
	var accepted []*pendingCommit
	for _, c := range batch {
		c.done = true
		if c.err = n.checkCommit(c.tx); c.err != nil {
			continue
		}
		records = append(records, record{
			Term:    n.meta.PrimaryTerm,
			LSN:     uint64(len(n.log) + len(records) + 1),
			Time:    time.Now().UnixNano(),
			Changes: c.tx.orderedChanges(),
		})
		accepted = append(accepted, c)
	}
	if len(records) == 0 {
		return c.err
	}
	if err := n.store(records, true); err != nil {
		for _, c := range accepted {
			// The records may have reached the disk, so the outcome is unknown.
			c.err = sqlErrorf(codeIOError, "cannot write the log: %v", err)
		}
	}
	return c.err
}

// checkCommit returns an error unless the server is still the primary of the
// term at which tx made its first change or row lock; requires logMu.
func (n *node) checkCommit(tx *transaction) error {
	if n.meta.isPrimary() && n.meta.PrimaryTerm == tx.term {
		return nil
	}
	if tx.explicit {
		return sqlErrorf(codeSerializationFailure, "transaction is rolled back: the server is fenced at term %d", n.meta.FencedTerm)
	}
	return sqlErrorf(codeReadOnlyTransaction, "cannot write: the server is fenced at term %d", n.meta.FencedTerm)
}
