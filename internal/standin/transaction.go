package standin

// transaction is the open transaction of a connection. Its changes are seen
// by itself only until they are committed.
type transaction struct {
	explicit bool // opened by BEGIN
	readOnly bool
	failed   bool   // only ROLLBACK is accepted
	term     uint64 // term of the primary at the first change; 0 without changes
	changes  map[rowKey]change
	order    []rowKey // keys of changes in the order of their first change
	locked   map[rowKey]struct{}
}

func newTransaction() *transaction {
	return &transaction{changes: make(map[rowKey]change), locked: make(map[rowKey]struct{})}
}

// set records a change.
func (tx *transaction) set(c change) {
	if _, ok := tx.changes[c.Row]; !ok {
		tx.order = append(tx.order, c.Row)
	}
	tx.changes[c.Row] = c
}

// ops returns the changes in order.
func (tx *transaction) ops() []change {
	ops := make([]change, len(tx.order))
	for i, row := range tx.order {
		ops[i] = tx.changes[row]
	}
	return ops
}
