package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// function is a function of the contract, or one that PostgreSQL has too.
type function struct {
	columns []column
	args    int
	call    func(ctx context.Context, c *conn, args []string) ([][]any, error)
}

var statusColumns = []column{
	{"server_id", oidText}, {"fenced_term", oidInt8}, {"in_recovery", oidBool},
	{"received_term", oidInt8}, {"received_lsn", oidLSN}, {"applied_term", oidInt8}, {"applied_lsn", oidLSN},
}

// functions by name. It is not changed after the start of the process.
var functions = map[string]function{
	"arbutusring_status": {statusColumns, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return statusRow(c.srv.node.status(), nil)
	}},
	"arbutusring_fence": {statusColumns, 1, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return withTerm(args[0], c.srv.node.fence)
	}},
	"arbutusring_promote": {statusColumns, 1, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return withTerm(args[0], c.srv.node.promote)
	}},
	"arbutusring_follow": {statusColumns, 2, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return withTerm(args[1], func(term uint64) (status, error) { return c.srv.node.follow(args[0], term) })
	}},
	"arbutusring_current_position": {[]column{{"term", oidInt8}, {"lsn", oidLSN}}, 0, currentPosition},
	"arbutusring_replication": {[]column{
		{"application_name", oidText},
		{"received_term", oidInt8}, {"received_lsn", oidLSN}, {"applied_term", oidInt8}, {"applied_lsn", oidLSN},
	}, 0, replication},

	"pg_is_in_recovery": {[]column{{"pg_is_in_recovery", oidBool}}, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return [][]any{{!c.srv.node.status().meta.primary()}}, nil
	}},
	"pg_current_wal_lsn": {[]column{{"pg_current_wal_lsn", oidLSN}}, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		p, err := c.srv.node.currentPosition()
		return [][]any{{lsn(p.LSN)}}, err
	}},
	"pg_last_wal_receive_lsn": {[]column{{"pg_last_wal_receive_lsn", oidLSN}}, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return [][]any{{lsn(c.srv.node.status().received.LSN)}}, nil
	}},
	"pg_last_wal_replay_lsn": {[]column{{"pg_last_wal_replay_lsn", oidLSN}}, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return [][]any{{lsn(c.srv.node.status().applied.LSN)}}, nil
	}},
	"pg_sleep": {[]column{{"pg_sleep", oidVoid}}, 1, pgSleep},
	"standin_fault": {[]column{{"standin_fault", oidText}}, 2, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return c.setFault(Fault(args[0]), args[1])
	}},
}

// call runs SELECT function(...) or SELECT columns FROM function(...).
func (c *conn) call(ctx context.Context, st *statement, params []string) (*result, error) {
	f, ok := functions[st.name]
	if !ok || len(st.args) != f.args {
		return nil, sqlErrorf(codeUnknown, "function %s with %d arguments does not exist", st.name, len(st.args))
	}
	columns, indexes, err := project(f.columns, st.columns)
	if err != nil {
		return nil, err
	}
	args := make([]string, len(st.args))
	for i, a := range st.args {
		args[i] = a.value(params)
	}
	rows, err := f.call(ctx, c, args)
	if err != nil {
		return nil, err
	}
	for i, row := range rows {
		selected := make([]any, len(indexes))
		for j, index := range indexes {
			selected[j] = row[index]
		}
		rows[i] = selected
	}
	return &result{columns: columns, rows: rows, tag: fmt.Sprintf("SELECT %d", len(rows))}, nil
}

// withTerm parses the term and calls f.
func withTerm(text string, f func(uint64) (status, error)) ([][]any, error) {
	term, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return nil, sqlErrorf(codeBadValue, "invalid term %q", text)
	}
	return statusRow(f(term))
}

func statusRow(st status, err error) ([][]any, error) {
	if err != nil {
		return nil, err
	}
	rt, rl := positionValues(st.received)
	at, al := positionValues(st.applied)
	return [][]any{{st.meta.ID, int64(st.meta.Fenced), !st.meta.primary(), rt, rl, at, al}}, nil
}

func currentPosition(_ context.Context, c *conn, _ []string) ([][]any, error) {
	p, err := c.srv.node.currentPosition()
	if err != nil {
		return nil, err
	}
	term, l := positionValues(p)
	return [][]any{{term, l}}, nil
}

func replication(_ context.Context, c *conn, _ []string) ([][]any, error) {
	list, err := c.srv.node.replication()
	if err != nil {
		return nil, err
	}
	var rows [][]any
	for _, r := range list {
		rt, rl := positionValues(r.received)
		at, al := positionValues(r.applied)
		rows = append(rows, []any{r.server, rt, rl, at, al})
	}
	return rows, nil
}

func pgSleep(ctx context.Context, c *conn, args []string) ([][]any, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil || seconds < 0 {
		return nil, sqlErrorf(codeBadValue, "invalid number of seconds %q", args[0])
	}
	d := time.Duration(seconds * float64(time.Second))
	return [][]any{{""}}, c.work(ctx, d)
}

// setFault switches a fault on behalf of a client. A silence spares the
// client's own connection, so that it gets its answer.
func (c *conn) setFault(name Fault, value string) ([][]any, error) {
	if err := c.srv.faults.set(name, value); err != nil {
		return nil, sqlErrorf(codeBadValue, "%v", err)
	}
	if name == FaultSilent && value != "off" {
		c.srv.silence(c)
	}
	return [][]any{{"ok"}}, nil
}
