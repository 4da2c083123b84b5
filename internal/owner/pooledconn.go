package owner

import (
	"context"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// pooledConn is a connection of a pool. One cycle or transaction uses it at a
// time. An answer belongs to the request that was the last one on the
// connection when it was sent; every other answer is refused.
type pooledConn struct {
	conn       Conn
	generation uint64        // of the pool when it was opened
	number     atomic.Uint64 // grows at the start and the end of a request; odd during one
}

func (c *pooledConn) relay(ctx context.Context, cycle []byte, limit int, commit bool) (ans backend.Answer, pos logpos.Position, err error) {
	number := c.number.Add(1)
	if number%2 == 0 {
		panic("owner: two requests on one connection")
	}
	if commit {
		ans, pos, err = c.conn.RelayCommit(ctx, cycle, limit)
	} else {
		ans, err = c.conn.Relay(ctx, cycle, limit)
	}
	if !c.number.CompareAndSwap(number, number+1) {
		return backend.Answer{}, logpos.Position{}, errkind.New(errkind.ServerLost, "the answer belongs to request %d", number)
	}
	return ans, pos, err
}
