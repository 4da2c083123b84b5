package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// readBufferBytes is enough for the answer to a typical cycle, so that it is
// read with one system call.
const readBufferBytes = 16 << 10

// maxKeptBufferBytes limits the answer buffer that a connection keeps between
// cycles, and likewise the request buffer. With 40 connections to each server,
// each kind of buffer takes at most 10 MB per server.
const maxKeptBufferBytes = 256 << 10

// lastConnID is the ID of the last connection. It is process-wide so that no
// two connections share an ID.
var lastConnID atomic.Uint64

// Conn is one connection to a backend server. It is used by one goroutine at
// a time, except for Close and Closed.
type Conn struct {
	id     uint64
	nc     net.Conn
	r      *bufio.Reader
	prober *prober
	closed atomic.Bool
	unsafe bool // a setting has a value that is not in safeSettings; the next request is refused

	header  [headerLen]byte
	answer  []byte // reused buffer of the answer that is being read
	request []byte // reused buffer of a request with the queries that the proxy adds
	body    []byte // reused buffer of one message of the answer to such a query
	write   requestWrite
}

var _ io.Closer = (*Conn)(nil)

// ID returns the number of the connection, which is unique within the process.
func (c *Conn) ID() uint64 { return c.id }

// Closed reports whether the connection has been closed on this side.
func (c *Conn) Closed() bool { return c.closed.Load() }

// Close closes the connection without sending Terminate, which could block. The
// server rolls back an open transaction. Close may be called more than once.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.nc.Close()
}

// fail closes the connection and returns an error of kind k with the address of
// the server.
func (c *Conn) fail(k errkind.Kind, cause error, detail string) error {
	_ = c.Close() // cause explains the failure better than an error of Close
	return errkind.Wrap(k, cause, "server %s: %s", c.nc.RemoteAddr(), detail)
}

// closeOnDone closes the connection when ctx ends. The returned function stops
// this, and reports whether it did so before ctx ended.
func (c *Conn) closeOnDone(ctx context.Context) (stop func() bool) {
	if ctx.Done() == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// contextCause returns the cause of the end of ctx if ctx has ended, otherwise
// err.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
