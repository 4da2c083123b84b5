package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// rollbackTimeout bounds the ROLLBACK of an abandoned transaction. If it is not
// answered, the connection is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// transaction is an open transaction of a session. Its first statement binds it
// to a connection.
type transaction struct {
	begin    statement.Request
	lastUsed time.Time // start or end of the last statement
	failed   bool      // rolled back, but the caller has not ended it yet

	db         database.Database
	member     *member // nil until it is bound
	conn       *pooledConn
	primaryUse *primaryUse // nil at a replica
	wrote      bool        // a statement that may write was sent
}

// bound reports whether the transaction has been begun at a server.
func (t *transaction) bound() bool { return t.conn != nil }

// detach removes the connection from the transaction. The use of a primary, which
// may be nil, is left to the caller.
func (t *transaction) detach() (*member, *pooledConn, *primaryUse) {
	m, pc, u := t.member, t.conn, t.primaryUse
	t.member, t.conn, t.primaryUse = nil, nil, nil
	return m, pc, u
}

// detachUnfinished is detach for a transaction that does not commit.
func (t *transaction) detachUnfinished() (*member, *pooledConn) {
	m, pc, u := t.detach()
	u.abandon()
	return m, pc
}

// fail rolls the transaction back and marks it as failed. The caller still has
// to end it.
func (t *transaction) fail() {
	t.rollBackInBackground()
	t.failed = true
}

// rollBackInBackground rolls back at the server without waiting for the answer.
func (t *transaction) rollBackInBackground() {
	if !t.bound() {
		return
	}
	m, pc := t.detachUnfinished()
	r := rollback{m, pc}
	go r.run()
}

// rollback rolls back an abandoned transaction and returns its connection to the
// pool.
type rollback struct {
	member *member
	conn   *pooledConn
}

func (r rollback) run() {
	a, err := r.conn.do(time.Now().Add(rollbackTimeout), statement.Request{Kind: statement.Rollback})
	if err != nil || a.Failure != nil || a.State != statement.Idle {
		r.member.pool.drop(r.conn)
		return
	}
	r.member.pool.put(r.conn)
}
