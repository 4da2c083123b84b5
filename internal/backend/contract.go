package backend

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// SQLSTATEs defined by docs/backend-contract.md.
const (
	codeStaleTerm  = "ARB01" // the term is lower than the fenced term, or is not the fenced term
	codeNotPrimary = "55000" // the server is not a primary
	codeShutdown   = "57P01" // the server is shutting down
	codeBadValue   = "22023" // a parameter has an invalid value
)

// SQLSTATEs of PostgreSQL.
const (
	codeFailedTransaction  = "25P02" // only the end of the transaction is accepted
	codeUndefinedStatement = "26000" // the prepared statement does not exist
)

const statusColumns = "server_id, fenced_term, in_recovery, received_term, received_lsn, applied_term, applied_lsn"

// Status returns the status of the server.
func (c *Conn) Status(ctx context.Context) (Status, error) {
	return c.status(ctx, "arbutusring_status()")
}

// Fence makes the server durably refuse every lower term and returns its status
// at that moment. Fencing again at the same term has no effect. The error has
// kind StaleTerm if the server is fenced at a higher term.
func (c *Conn) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.status(ctx, fmt.Sprintf("arbutusring_fence(%d)", term))
}

// Promote makes the server, which must be fenced at term, the primary of term.
// Promoting it again at the same term has no effect. The error has kind
// StaleTerm if the server is fenced at another term.
func (c *Conn) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.status(ctx, fmt.Sprintf("arbutusring_promote(%d)", term))
}

// Follow makes the server replicate from the primary of term at
// primaryAddress, and fences it at term. It returns before replication has
// caught up. The error has kind StaleTerm if the server is fenced at a higher
// term or is itself the primary of term.
func (c *Conn) Follow(ctx context.Context, primaryAddress string, term uint64) (Status, error) {
	quoted := strings.ReplaceAll(primaryAddress, "'", "''")
	return c.status(ctx, fmt.Sprintf("arbutusring_follow('%s', %d)", quoted, term))
}

// Replicas returns the progress of the replicas of a primary. The error has
// kind NoPrimary if the server is not a primary.
func (c *Conn) Replicas(ctx context.Context) ([]Replica, error) {
	const sql = "SELECT application_name, received_term, received_lsn, applied_term, applied_lsn FROM arbutusring_replication()"
	set, err := c.callFunction(ctx, sql)
	if err != nil {
		return nil, err
	}
	replicas := make([]Replica, 0, len(set.rows))
	for _, row := range set.rows {
		if len(row) != 5 {
			return nil, c.fail(errkind.Internal, nil, "replication progress does not have five columns")
		}
		r := Replica{ServerID: row[0]}
		if r.Received, r.Applied, err = parsePositions(row[1:]); err != nil {
			return nil, c.fail(errkind.Internal, err, "replication progress has a malformed position")
		}
		replicas = append(replicas, r)
	}
	return replicas, nil
}

// status calls a contract function that returns the status of the server.
func (c *Conn) status(ctx context.Context, function string) (Status, error) {
	set, err := c.callFunction(ctx, "SELECT "+statusColumns+" FROM "+function)
	if err != nil {
		return Status{}, err
	}
	if len(set.rows) != 1 || len(set.rows[0]) != 7 {
		return Status{}, c.fail(errkind.Internal, nil, "status is not one row with seven columns")
	}
	row := set.rows[0]
	st := Status{ServerID: row[0], Primary: row[2] == "f"}
	if st.Term, err = strconv.ParseUint(row[1], 10, 64); err != nil {
		return Status{}, c.fail(errkind.Internal, err, "status has a malformed fenced term")
	}
	if st.Received, st.Applied, err = parsePositions(row[3:]); err != nil {
		return Status{}, c.fail(errkind.Internal, err, "status has a malformed position")
	}
	return st, nil
}

// parsePositions parses the received and the applied position from four
// columns.
func parsePositions(row []string) (received, applied logpos.Position, err error) {
	if received, err = parsePosition(row[0], row[1]); err != nil {
		return received, applied, err
	}
	applied, err = parsePosition(row[2], row[3])
	return received, applied, err
}

// callFunction executes a contract function. An error that the server itself
// reports leaves the connection open; any other error closes it.
func (c *Conn) callFunction(ctx context.Context, sql string) (rowSet, error) {
	if err := c.checkUsable(ctx); err != nil {
		return rowSet{}, err
	}
	t := newTag()
	c.request = appendTagQuery(c.request[:0], t, sql)
	stop := c.closeOnDone(ctx)
	w := c.send(c.request, nil)
	set, err := c.readRows(t, sql)
	if err == nil && (!set.tagged || set.txStatus != 'I') {
		err = errUntagged()
	}
	if err := c.finish(ctx, stop, w, err); err != nil {
		return rowSet{}, err
	}
	return set, set.err()
}
