package standin

// transaction is the open transaction of a connection. Its changes are visible
// only to itself until they are committed.
type transaction struct {
	explicit    bool // opened by BEGIN
	readOnly    bool
	failed      bool   // only ROLLBACK, and COMMIT with the same effect, are accepted
	term        uint64 // term of the primary at the first change or row lock; 0 before
	changes     map[rowKey]rowChange
	changeOrder []rowKey // keys of changes in the order in which they were first changed
	lockedRows  map[rowKey]struct{}
}

func newTransaction() *transaction {
	return &transaction{changes: make(map[rowKey]rowChange), lockedRows: make(map[rowKey]struct{})}
}

// set records a change.
func (tx *transaction) set(c rowChange) {
	if _, ok := tx.changes[c.Row]; !ok {
		tx.changeOrder = append(tx.changeOrder, c.Row)
	}
	tx.changes[c.Row] = c
}

// orderedChanges returns the changes in the order of changeOrder.
func (tx *transaction) orderedChanges() []rowChange {
	changes := make([]rowChange, len(tx.changeOrder))
	for i, row := range tx.changeOrder {
		changes[i] = tx.changes[row]
	}
	return changes
}
