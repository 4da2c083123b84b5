package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// function is an SQL function: one of the backend server contract, one that
// PostgreSQL has, or standin_fault.
type function struct {
	columns []column
	args    int // number of arguments
	call    func(ctx context.Context, c *conn, args []string) ([][]any, error)
}

var statusColumns = []column{
	{"server_id", oidText}, {"fenced_term", oidInt8}, {"in_recovery", oidBool},
	{"received_term", oidInt8}, {"received_lsn", oidLSN}, {"applied_term", oidInt8}, {"applied_lsn", oidLSN},
}

// functions maps names to SQL functions. It is read-only after initialisation.
var functions = map[string]function{
	"arbutusring_status": {statusColumns, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return statusRow(c.srv.node.status(), nil)
	}},
	"arbutusring_fence": {statusColumns, 1, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return callWithTerm(args[0], c.srv.node.fence)
	}},
	"arbutusring_promote": {statusColumns, 1, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return callWithTerm(args[0], c.srv.node.promote)
	}},
	"arbutusring_follow": {statusColumns, 2, func(_ context.Context, c *conn, args []string) ([][]any, error) {
		return callWithTerm(args[1], func(term uint64) (status, error) { return c.srv.node.follow(args[0], term) })
	}},
	"arbutusring_current_position": {[]column{{"term", oidInt8}, {"lsn", oidLSN}}, 0, currentPositionRow},
	"arbutusring_replication": {[]column{
		{"application_name", oidText},
		{"received_term", oidInt8}, {"received_lsn", oidLSN}, {"applied_term", oidInt8}, {"applied_lsn", oidLSN},
	}, 0, replicationRows},

	"pg_is_in_recovery": {[]column{{"pg_is_in_recovery", oidBool}}, 0, func(_ context.Context, c *conn, _ []string) ([][]any, error) {
		return [][]any{{!c.srv.node.status().meta.isPrimary()}}, nil
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
		return nil, sqlErrorf(codeUndefinedFunction, "function %s with %d arguments does not exist", st.name, len(st.args))
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

// callWithTerm parses the term, calls f and returns the resulting status row.
func callWithTerm(text string, f func(uint64) (status, error)) ([][]any, error) {
	term, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return nil, sqlErrorf(codeInvalidParameter, "invalid term %q", text)
	}
	return statusRow(f(term))
}

func statusRow(st status, err error) ([][]any, error) {
	if err != nil {
		return nil, err
	}
	receivedTerm, receivedLSN := positionValues(st.received)
	appliedTerm, appliedLSN := positionValues(st.applied)
	return [][]any{{st.meta.ID, int64(st.meta.FencedTerm), !st.meta.isPrimary(), receivedTerm, receivedLSN, appliedTerm, appliedLSN}}, nil
}

func currentPositionRow(_ context.Context, c *conn, _ []string) ([][]any, error) {
	p, err := c.srv.node.currentPosition()
	if err != nil {
		return nil, err
	}
	term, endLSN := positionValues(p)
	return [][]any{{term, endLSN}}, nil
}

func replicationRows(_ context.Context, c *conn, _ []string) ([][]any, error) {
	replicas, err := c.srv.node.listReplicas()
	if err != nil {
		return nil, err
	}
	var rows [][]any
	for _, r := range replicas {
		receivedTerm, receivedLSN := positionValues(r.received)
		appliedTerm, appliedLSN := positionValues(r.applied)
		rows = append(rows, []any{r.serverID, receivedTerm, receivedLSN, appliedTerm, appliedLSN})
	}
	return rows, nil
}

func pgSleep(ctx context.Context, c *conn, args []string) ([][]any, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil || seconds < 0 {
		return nil, sqlErrorf(codeInvalidParameter, "invalid number of seconds %q", args[0])
	}
	d := time.Duration(seconds * float64(time.Second))
	return [][]any{{""}}, c.holdSlot(ctx, d)
}

// setFault sets a fault on behalf of a client. FaultSilent does not apply to the
// client's own connection, so that the client receives the answer.
func (c *conn) setFault(name Fault, value string) ([][]any, error) {
	if err := c.srv.faults.set(name, value); err != nil {
		return nil, sqlErrorf(codeInvalidParameter, "%v", err)
	}
	if name == FaultSilent && value != "off" {
		c.srv.silenceConns(c)
	}
	return [][]any{{"ok"}}, nil
}
