package capacity

import (
	"context"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// BackendConn is a fake connection to a backend server that answers without
// delay.
type BackendConn struct {
	Server string
	Answer backend.Answer

	Polls *atomic.Int64 // calls of Status and Replicas
}

var _ owner.Conn = (*BackendConn)(nil)

// Relay returns Answer for any cycle.
func (c *BackendConn) Relay(context.Context, []byte, int) (backend.Answer, error) {
	return c.Answer, nil
}

// RelayCommit returns Answer for a cycle that commits, and its commit position.
func (c *BackendConn) RelayCommit(context.Context, []byte, int) (backend.Answer, logpos.Position, error) {
	return c.Answer, logpos.Position{Term: 1, LSN: 1}, nil
}

// Status reports the primary of term 1.
func (c *BackendConn) Status(context.Context) (backend.Status, error) {
	c.Polls.Add(1)
	p := logpos.Position{Term: 1, LSN: 1}
	return backend.Status{ServerID: c.Server, Term: 1, Primary: true, Received: p, Applied: p}, nil
}

// Replicas reports that no replica has received anything.
func (c *BackendConn) Replicas(context.Context) ([]backend.Replica, error) {
	c.Polls.Add(1)
	return nil, nil
}

// Closed always reports false.
func (c *BackendConn) Closed() bool { return false }

// Close does nothing.
func (c *BackendConn) Close() error { return nil }
