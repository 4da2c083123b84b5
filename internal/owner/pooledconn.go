package owner

import (
	"context"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// pooledConn is a connection of a pool. It is used by one cycle or transaction
// at a time. An answer is accepted only if no other request was started on the
// connection since its request was sent.
type pooledConn struct {
	conn          Conn
	generation    uint64        // generation of the pool when the connection was opened
	requestNumber atomic.Uint64 // incremented at the start and the end of a request; odd during a request
}

// relay sends a cycle and returns its answer. If commit is true, it also
// returns the log position after the cycle.
func (c *pooledConn) relay(ctx context.Context, cycle []byte, limit int, commit bool) (ans backend.Answer, pos logpos.Position, err error) {
	number := c.requestNumber.Add(1)
	if number%2 == 0 {
		panic("owner: two requests on one connection")
	}
	if commit {
		ans, pos, err = c.conn.RelayCommit(ctx, cycle, limit)
	} else {
		ans, err = c.conn.Relay(ctx, cycle, limit)
	}
	if !c.requestNumber.CompareAndSwap(number, number+1) {
		return backend.Answer{}, logpos.Position{}, errkind.New(errkind.ServerLost, "the answer to request %d came after another request had started on the connection", number)
	}
	return ans, pos, err
}
