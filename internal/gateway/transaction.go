package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// rollbackTimeout bounds the end of an abandoned transaction. A connection
// that does not answer is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// transaction is an open transaction of a session. It is bound to a connection
// with its first statement.
type transaction struct {
	begin  statement.Request
	used   time.Time // last statement
	failed bool      // lost or refused; the caller has not ended it yet

	db     database.Database
	member *member // nil until it is bound
	link   *link
	use    *use // nil at a replica
	wrote  bool
}

func (t *transaction) bound() bool { return t.link != nil }

// detach takes the connection away from the transaction.
func (t *transaction) detach() (*member, *link, bool) {
	m, l, u := t.member, t.link, t.use
	t.member, t.link, t.use = nil, nil, nil
	valid := u == nil || u.end()
	return m, l, valid
}

// fail rolls the transaction back. The caller has to end it.
func (t *transaction) fail() {
	t.abandon()
	t.failed = true
}

// abandon rolls back at the server, in the background.
func (t *transaction) abandon() {
	if !t.bound() {
		return
	}
	m, l, _ := t.detach()
	r := rollback{m, l}
	go r.run()
}

// rollback gives the connection of an abandoned transaction back.
type rollback struct {
	member *member
	link   *link
}

func (r rollback) run() {
	a, err := r.link.do(time.Now().Add(rollbackTimeout), statement.Request{Kind: statement.Rollback})
	if err != nil || a.Failure != nil || a.State != statement.Idle {
		r.member.pool.drop(r.link)
		return
	}
	r.member.pool.put(r.link)
}
