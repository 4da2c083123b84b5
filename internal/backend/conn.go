package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// readBufferLen holds the answer of a typical cycle, so that it is read with
// one system call.
const readBufferLen = 16 << 10

// keptAnswerLen bounds the answer buffer that a connection keeps between
// cycles. With 40 connections for each server this is at most 10 MB.
const keptAnswerLen = 256 << 10

// generation numbers the connections of the process. It is process-wide so
// that an ID is never shared by two connections.
var generation atomic.Uint64

// Conn is one connection to a backend server. It is used by one goroutine at
// a time, except for Close and Closed.
type Conn struct {
	id     uint64
	nc     net.Conn
	r      *bufio.Reader
	prober *prober
	closed atomic.Bool

	header  [headerLen]byte
	answer  []byte // reused; holds the answer that is being read
	request []byte // reused; holds a cycle together with the position query
	sending sending
}

var _ io.Closer = (*Conn)(nil)

// ID returns the generation number of the connection, which no other
// connection of the process has.
func (c *Conn) ID() uint64 { return c.id }

// Closed reports whether the connection has been closed on this side.
func (c *Conn) Closed() bool { return c.closed.Load() }

// Close closes the connection without a Terminate message, which could block.
// The server rolls back an open transaction. Closing twice is allowed.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.nc.Close()
}

// fail closes the connection and returns an error of kind k.
func (c *Conn) fail(k errkind.Kind, cause error, detail string) error {
	_ = c.Close() // the cause is what matters to the caller
	return errkind.Wrap(k, cause, "server %s: %s", c.nc.RemoteAddr(), detail)
}

// guard closes the connection when ctx ends. The returned function ends the
// guard.
func (c *Conn) guard(ctx context.Context) (stop func() bool) {
	if ctx.Done() == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// cause prefers the end of the context to the error that it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
