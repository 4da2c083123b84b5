package standin

import (
	"time"
)

// commit is a transaction that waits to be written to the log.
type commit struct {
	tx   *transaction
	done bool // set with logMu held
	err  error
}

// commit makes the changes of tx durable and visible. Transactions that
// commit at the same time share one sync: the first to get logMu writes all
// that are waiting.
func (n *node) commit(tx *transaction) error {
	c := &commit{tx: tx}
	n.commitMu.Lock()
	n.commits = append(n.commits, c)
	n.commitMu.Unlock()

	n.logMu.Lock()
	defer n.logMu.Unlock()
	if c.done {
		return c.err
	}
	n.commitMu.Lock()
	batch := n.commits
	n.commits = nil
	n.commitMu.Unlock()

	// meta and log are read without mu: they are only written with logMu held.
	var records []record
	var accepted []*commit
	for _, c := range batch {
		c.done = true
		if c.err = n.mayCommit(c.tx); c.err != nil {
			continue
		}
		records = append(records, record{
			Term: n.meta.PrimaryTerm,
			LSN:  uint64(len(n.log) + len(records) + 1),
			Time: time.Now().UnixNano(),
			Ops:  c.tx.ops(),
		})
		accepted = append(accepted, c)
	}
	if len(records) == 0 {
		return c.err
	}
	if err := n.store(records, true); err != nil {
		for _, c := range accepted {
			// The records may be on the disk, so the outcome is unknown.
			c.err = sqlErrorf(codeStorageFailure, "writing the log: %v", err)
		}
	}
	return c.err
}

// mayCommit checks that the server is still the primary on whose term tx made
// its first change; requires logMu.
func (n *node) mayCommit(tx *transaction) error {
	if n.meta.primary() && n.meta.PrimaryTerm == tx.term {
		return nil
	}
	if tx.explicit {
		return sqlErrorf(codeSerialization, "transaction is rolled back: the server is fenced at term %d", n.meta.Fenced)
	}
	return sqlErrorf(codeReadOnly, "cannot write: the server is fenced at term %d", n.meta.Fenced)
}
