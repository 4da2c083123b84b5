package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// execute runs one statement. After an error the caller must call fail.
func (c *conn) execute(st *statement, params []string) (*result, error) {
	switch st.kind {
	case kindCommit:
		return c.executeCommit()
	case kindRollback:
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.tx != nil && c.tx.failed {
		return nil, sqlErrorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if c.tx == nil {
		c.tx = newTransaction()
	}
	ctx, done := c.statementContext()
	defer done()
	switch st.kind {
	case kindBegin:
		c.tx.explicit = true
		c.tx.readOnly = c.tx.readOnly || st.readOnly
		return &result{tag: "BEGIN"}, nil
	case kindSetReadOnly:
		c.tx.readOnly = true
		return &result{tag: "SET"}, nil
	case kindDiscard:
		if c.tx.explicit {
			return nil, sqlErrorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		clear(c.statements)
		return &result{tag: "DISCARD ALL"}, nil
	case kindNoOp:
		return &result{tag: st.name}, nil
	case kindShow:
		return c.show(st.name), nil
	case kindCall:
		return c.call(ctx, st, params)
	case kindConst:
		return c.selectConst(ctx, st, params)
	case kindSelect, kindCount:
		return c.selectRows(ctx, st, params)
	case kindInsert, kindUpdate, kindDelete:
		return c.changeRows(ctx, st, params)
	}
	return nil, sqlErrorf(codeInternalError, "statement kind %d", st.kind)
}

// executeCommit runs COMMIT.
func (c *conn) executeCommit() (*result, error) {
	if c.tx != nil && c.tx.failed {
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if err := c.commit(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// commitImplicit commits a transaction that was not opened by BEGIN.
func (c *conn) commitImplicit() error {
	if c.tx == nil || c.tx.explicit {
		return nil
	}
	return c.commit()
}

// commit ends the transaction. On an error it was rolled back, or its outcome
// is unknown.
func (c *conn) commit() error {
	tx := c.tx
	if tx == nil {
		return nil
	}
	c.tx = nil
	defer c.srv.locks.release(tx)
	if len(tx.changeOrder) == 0 {
		return nil
	}
	if err := c.srv.node.commit(tx); err != nil {
		return err
	}
	c.cycleCommitted = true
	return nil
}

// rollback discards the transaction, if there is one.
func (c *conn) rollback() {
	if c.tx != nil {
		c.srv.locks.release(c.tx)
		c.tx = nil
	}
}

// holdSlot occupies a slot for the service time of a statement plus extra.
func (c *conn) holdSlot(ctx context.Context, extra time.Duration) error {
	return c.srv.slots.hold(ctx, c.srv.faults.delay(FaultServiceTime)+extra)
}

// value returns the literal, or the value of the parameter.
func (e expr) value(params []string) string {
	if e.param > 0 {
		return params[e.param-1]
	}
	return e.text
}

func (c *conn) show(name string) *result {
	value := ""
	switch name {
	case "transaction_read_only", "in_hot_standby":
		value = "off"
		if !c.srv.node.status().meta.isPrimary() || name == "transaction_read_only" && c.tx.readOnly {
			value = "on"
		}
	case "server_version":
		value = "16.0"
	case "transaction_isolation", "transaction isolation level":
		value = "read committed"
	}
	return &result{columns: textColumns([]string{name}), rows: [][]any{{value}}, tag: "SHOW"}
}

// tagColumn is the name of the column in which a client asks for the tag of an
// answer, as docs/backend-contract.md describes.
const tagColumn = "arbutusring_tag"

func (c *conn) selectConst(ctx context.Context, st *statement, params []string) (*result, error) {
	if st.name != tagColumn {
		if err := c.holdSlot(ctx, 0); err != nil {
			return nil, err
		}
	}
	columns, _ := describeColumns(st)
	text := st.args[0].value(params)
	var value any = text
	if columns[0].oid == oidInt4 {
		value, _ = strconv.ParseInt(text, 10, 32) // validated by describeColumns
	}
	return &result{columns: columns, rows: [][]any{{value}}, tag: "SELECT 1"}, nil
}

// describeColumns returns the result columns of a statement, or nil if it
// returns no rows.
func describeColumns(st *statement) ([]column, error) {
	switch st.kind {
	case kindConst:
		oid, name := uint32(oidText), "?column?"
		if st.name != "" {
			name = st.name
		}
		if st.name == tagColumn {
			return []column{{name, oid}}, nil // also if all its digits are decimal
		}
		if _, err := strconv.ParseInt(st.args[0].text, 10, 32); err == nil && st.args[0].param == 0 {
			oid = oidInt4
		}
		return []column{{name, oid}}, nil
	case kindCount:
		return []column{{"count", oidInt8}}, nil
	case kindShow:
		return textColumns([]string{st.name}), nil
	case kindCall:
		f, ok := functions[st.name]
		if !ok {
			return nil, sqlErrorf(codeUndefinedFunction, "function %s does not exist", st.name)
		}
		columns, _, err := project(f.columns, st.columns)
		return columns, err
	case kindSelect, kindInsert, kindUpdate, kindDelete:
		if len(st.columns) == 0 {
			return nil, nil
		}
		for _, name := range st.columns {
			if name != "k" && name != "v" {
				return nil, sqlErrorf(codeUndefinedColumn, "column %q does not exist", name)
			}
		}
		return textColumns(st.columns), nil
	}
	return nil, nil
}

// project selects columns by name and returns them with their indexes. An empty
// list of names selects all columns.
func project(columns []column, names []string) ([]column, []int, error) {
	var selected []column
	var indexes []int
	for i, c := range columns {
		if len(names) == 0 {
			selected, indexes = append(selected, c), append(indexes, i)
		}
	}
names:
	for _, name := range names {
		for i, c := range columns {
			if c.name == name {
				selected, indexes = append(selected, c), append(indexes, i)
				continue names
			}
		}
		return nil, nil, sqlErrorf(codeUndefinedColumn, "column %q does not exist", name)
	}
	return selected, indexes, nil
}

// rowValues returns the named columns of a row.
func rowValues(names []string, key, value string) []any {
	row := make([]any, len(names))
	for i, name := range names {
		row[i] = key
		if name == "v" {
			row[i] = value
		}
	}
	return row
}

// selectRows runs SELECT on a table.
func (c *conn) selectRows(ctx context.Context, st *statement, params []string) (*result, error) {
	columns, err := describeColumns(st)
	if err != nil {
		return nil, err
	}
	if st.writes() {
		if err := c.lockTargetRows(ctx, st, params); err != nil {
			return nil, err
		}
	}
	if err := c.holdSlot(ctx, 0); err != nil {
		return nil, err
	}
	c.cycleAccessedTables = true
	n := c.srv.node
	n.mu.RLock()
	defer n.mu.RUnlock()
	keys := c.targetKeys(st, params)
	if st.kind == kindCount {
		return &result{columns: columns, rows: [][]any{{int64(len(keys))}}, tag: "SELECT 1"}, nil
	}
	res := &result{columns: columns, tag: fmt.Sprintf("SELECT %d", len(keys))}
	for _, k := range keys {
		v, _ := n.tables.get(c.tx, rowKey{st.name, k})
		res.rows = append(res.rows, rowValues(st.columns, k, v))
	}
	return res, nil
}

// targetKeys returns the keys that the WHERE clause selects; requires node.mu.
func (c *conn) targetKeys(st *statement, params []string) []string {
	t := c.srv.node.tables
	if st.key == nil {
		return t.keys(c.tx, st.name)
	}
	k := st.key.value(params)
	if _, ok := t.get(c.tx, rowKey{st.name, k}); !ok {
		return nil
	}
	return []string{k}
}

// lockTargetRows checks that the transaction may write and locks the rows of a
// statement. It holds no slot while it waits, so that the lock holder can
// always proceed.
func (c *conn) lockTargetRows(ctx context.Context, st *statement, params []string) error {
	n := c.srv.node
	n.mu.RLock()
	m := n.meta
	var keys []string
	switch {
	case st.kind == kindInsert:
		for _, row := range st.rows {
			keys = append(keys, row[0].value(params))
		}
	case st.key != nil:
		keys = []string{st.key.value(params)}
	default:
		keys = c.targetKeys(st, params)
	}
	n.mu.RUnlock()
	switch {
	case c.tx.readOnly, !m.isPrimary() && c.tx.term == 0:
		return sqlErrorf(codeReadOnlyTransaction, "cannot execute %s in a read-only transaction", st.verb())
	case c.tx.term == 0:
		c.tx.term = m.PrimaryTerm
	case !m.isPrimary() || c.tx.term != m.PrimaryTerm:
		return sqlErrorf(codeSerializationFailure, "transaction is rolled back: the server is fenced at term %d", m.FencedTerm)
	}
	for _, k := range keys {
		if err := c.srv.locks.acquire(ctx, c.tx, rowKey{st.name, k}, c.srv.opts.LockTimeout); err != nil {
			return err
		}
	}
	return nil
}

// changeRows runs INSERT, UPDATE or DELETE. It locks the rows first, so it
// reads their latest values.
func (c *conn) changeRows(ctx context.Context, st *statement, params []string) (*result, error) {
	columns, err := describeColumns(st)
	if err != nil {
		return nil, err
	}
	if err := c.lockTargetRows(ctx, st, params); err != nil {
		return nil, err
	}
	if err := c.holdSlot(ctx, 0); err != nil {
		return nil, err
	}
	c.cycleAccessedTables = true
	n := c.srv.node
	n.mu.RLock()
	defer n.mu.RUnlock()
	var changes []rowChange
	if st.kind == kindInsert {
		changes, err = c.insertChanges(st, params)
	} else {
		changes = c.updateChanges(st, params)
	}
	if err != nil {
		return nil, err
	}
	res := &result{columns: columns}
	for _, ch := range changes {
		if columns != nil {
			res.rows = append(res.rows, rowValues(st.columns, ch.Row.Key, ch.Value))
		}
		c.tx.set(ch)
	}
	res.tag = fmt.Sprintf("%s %d", st.verb(), len(changes))
	if st.kind == kindInsert {
		res.tag = fmt.Sprintf("INSERT 0 %d", len(changes))
	}
	return res, nil
}

// insertChanges returns the rows that INSERT adds or replaces.
func (c *conn) insertChanges(st *statement, params []string) ([]rowChange, error) {
	var changes []rowChange
	for _, values := range st.rows {
		row := rowKey{st.name, values[0].value(params)}
		_, exists := c.srv.node.tables.get(c.tx, row)
		for _, earlier := range changes {
			exists = exists || earlier.Row == row
		}
		if exists && st.conflict == conflictNothing {
			continue
		}
		if exists && st.conflict == conflictError {
			return nil, sqlErrorf(codeUniqueViolation, "duplicate key value violates unique constraint \"%s_pkey\"", st.name)
		}
		changes = append(changes, rowChange{Row: row, Value: values[1].value(params)})
	}
	return changes, nil
}

// updateChanges returns the rows that UPDATE or DELETE changes.
func (c *conn) updateChanges(st *statement, params []string) []rowChange {
	var changes []rowChange
	for _, k := range c.targetKeys(st, params) {
		row := rowKey{st.name, k}
		old, _ := c.srv.node.tables.get(c.tx, row)
		ch := rowChange{Row: row, Value: old, Deleted: st.kind == kindDelete}
		if st.kind == kindUpdate {
			ch.Value = st.value.value(params)
			if st.appending {
				ch.Value = old + ch.Value
			}
		}
		changes = append(changes, ch)
	}
	return changes
}
