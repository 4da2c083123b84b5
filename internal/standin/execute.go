package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// execute runs one statement. An error makes the caller fail the transaction.
func (c *conn) execute(st *statement, params []string) (*result, error) {
	switch st.kind {
	case kindCommit:
		return c.executeCommit()
	case kindRollback:
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.tx != nil && c.tx.failed {
		return nil, sqlErrorf(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
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
			return nil, sqlErrorf(codeActiveTx, "DISCARD ALL cannot run inside a transaction block")
		}
		clear(c.statements)
		return &result{tag: "DISCARD ALL"}, nil
	case kindUtility:
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
		return c.change(ctx, st, params)
	}
	return nil, sqlErrorf(codeInternal, "statement kind %d", st.kind)
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

// commit ends the transaction, with an error if it was rolled back.
func (c *conn) commit() error {
	tx := c.tx
	if tx == nil {
		return nil
	}
	c.tx = nil
	defer c.srv.locks.release(tx)
	if len(tx.order) == 0 {
		return nil
	}
	if err := c.srv.node.commit(tx); err != nil {
		return err
	}
	c.wrote = true
	return nil
}

// rollback drops the transaction, if there is one.
func (c *conn) rollback() {
	if c.tx != nil {
		c.srv.locks.release(c.tx)
		c.tx = nil
	}
}

// work holds a slot for the service time of a statement and extra.
func (c *conn) work(ctx context.Context, extra time.Duration) error {
	return c.srv.slots.use(ctx, c.srv.faults.delay(FaultServiceTime)+extra)
}

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
		if !c.srv.node.status().meta.primary() || name == "transaction_read_only" && c.tx.readOnly {
			value = "on"
		}
	case "server_version":
		value = "16.0"
	case "transaction_isolation", "transaction isolation level":
		value = "read committed"
	}
	return &result{columns: textColumns([]string{name}), rows: [][]any{{value}}, tag: "SHOW"}
}

func (c *conn) selectConst(ctx context.Context, st *statement, params []string) (*result, error) {
	if err := c.work(ctx, 0); err != nil {
		return nil, err
	}
	columns, _ := describeColumns(st)
	text := st.args[0].value(params)
	var value any = text
	if columns[0].oid == oidInt4 {
		value, _ = strconv.ParseInt(text, 10, 32) // describeColumns has checked it
	}
	return &result{columns: columns, rows: [][]any{{value}}, tag: "SELECT 1"}, nil
}

// describeColumns returns the result columns of a statement, or nil if it
// returns no rows.
func describeColumns(st *statement) ([]column, error) {
	switch st.kind {
	case kindConst:
		oid := uint32(oidText)
		if _, err := strconv.ParseInt(st.args[0].text, 10, 32); err == nil && st.args[0].param == 0 {
			oid = oidInt4
		}
		return []column{{"?column?", oid}}, nil
	case kindCount:
		return []column{{"count", oidInt8}}, nil
	case kindShow:
		return textColumns([]string{st.name}), nil
	case kindCall:
		f, ok := functions[st.name]
		if !ok {
			return nil, sqlErrorf(codeUnknown, "function %s does not exist", st.name)
		}
		columns, _, err := project(f.columns, st.columns)
		return columns, err
	case kindSelect, kindInsert, kindUpdate, kindDelete:
		if len(st.columns) == 0 {
			return nil, nil
		}
		for _, name := range st.columns {
			if name != "k" && name != "v" {
				return nil, sqlErrorf(codeNoColumn, "column %q does not exist", name)
			}
		}
		return textColumns(st.columns), nil
	}
	return nil, nil
}

// project selects columns by name and returns their indexes. No names select
// all.
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
		return nil, nil, sqlErrorf(codeNoColumn, "column %q does not exist", name)
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
		if err := c.lockTargets(ctx, st, params); err != nil {
			return nil, err
		}
	}
	if err := c.work(ctx, 0); err != nil {
		return nil, err
	}
	c.touched = true
	n := c.srv.node
	n.mu.RLock()
	defer n.mu.RUnlock()
	keys := c.targets(st, params)
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

// targets returns the keys that the WHERE clause selects; requires node.mu.
func (c *conn) targets(st *statement, params []string) []string {
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

// lockTargets checks that the transaction may write and locks the rows of a
// statement. It takes no slot while it waits, so that the holder of a lock can
// always proceed.
func (c *conn) lockTargets(ctx context.Context, st *statement, params []string) error {
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
		keys = c.targets(st, params)
	}
	n.mu.RUnlock()
	switch {
	case c.tx.readOnly, !m.primary() && c.tx.term == 0:
		return sqlErrorf(codeReadOnly, "cannot execute %s in a read-only transaction", st.verb())
	case c.tx.term == 0:
		c.tx.term = m.PrimaryTerm
	case !m.primary() || c.tx.term != m.PrimaryTerm:
		return sqlErrorf(codeSerialization, "transaction is rolled back: the server is fenced at term %d", m.Fenced)
	}
	for _, k := range keys {
		if err := c.srv.locks.acquire(ctx, c.tx, rowKey{st.name, k}, c.srv.opts.LockTimeout); err != nil {
			return err
		}
	}
	return nil
}

// change runs INSERT, UPDATE or DELETE. The rows are locked, so the values
// that it reads are the newest ones.
func (c *conn) change(ctx context.Context, st *statement, params []string) (*result, error) {
	columns, err := describeColumns(st)
	if err != nil {
		return nil, err
	}
	if err := c.lockTargets(ctx, st, params); err != nil {
		return nil, err
	}
	if err := c.work(ctx, 0); err != nil {
		return nil, err
	}
	c.touched = true
	n := c.srv.node
	n.mu.RLock()
	defer n.mu.RUnlock()
	var changes []change
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
func (c *conn) insertChanges(st *statement, params []string) ([]change, error) {
	var changes []change
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
			return nil, sqlErrorf(codeUnique, "duplicate key value violates unique constraint \"%s_pkey\"", st.name)
		}
		changes = append(changes, change{Row: row, Value: values[1].value(params)})
	}
	return changes, nil
}

// updateChanges returns the rows that UPDATE or DELETE changes.
func (c *conn) updateChanges(st *statement, params []string) []change {
	var changes []change
	for _, k := range c.targets(st, params) {
		row := rowKey{st.name, k}
		old, _ := c.srv.node.tables.get(c.tx, row)
		ch := change{Row: row, Value: old, Deleted: st.kind == kindDelete}
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
