package gateway

import (
	"context"
	"time"
)

// reopen replaces a connection on which the answer to BEGIN may have been a copy of an
// earlier one. The new connection has the state of the session.
func (m *member) reopen(ctx context.Context, deadline time.Time, pc *pooledConn, sess sessionState) (*pooledConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	opened, err := m.pool.reopen(ctx, pc)
	if err != nil {
		return nil, err
	}
	if err := opened.adapt(deadline, sess); err != nil {
		m.pool.drop(opened)
		return nil, err
	}
	return opened, nil
}
