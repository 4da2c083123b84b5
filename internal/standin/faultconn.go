package standin

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// faultConn applies injected faults to the byte stream of one connection.
type faultConn struct {
	net.Conn
	ctx    context.Context // ends when the server is aborted or the connection is closed
	faults *faults
	silent atomic.Bool // bytes are discarded in both directions

	// Bytes that may still be sent before the connection is cut or stalled;
	// negative without such a fault. Used by the writing goroutine only.
	cutAfter   int
	stallAfter int

	// For FaultRepeatAnswer. Used by the writing goroutine only.
	late []byte // sent before the next bytes
	keep bool   // what is sent is added to kept
	kept []byte
}

func newFaultConn(ctx context.Context, nc net.Conn, f *faults) *faultConn {
	return &faultConn{Conn: nc, ctx: ctx, faults: f, cutAfter: -1, stallAfter: -1}
}

// Read discards all input while the connection is silent. During a freeze it
// blocks until the freeze ends.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if waitErr := c.faults.awaitOff(c.ctx, FaultFreeze); waitErr != nil {
			return 0, waitErr
		}
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// Write sends p subject to the active faults. On a silent connection it reports
// success, because a sender does not notice packet loss either.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.faults.awaitOff(c.ctx, FaultFreeze); err != nil {
		return 0, err
	}
	if c.keep {
		c.kept = append(c.kept, p...)
	}
	if late := c.late; len(late) > 0 && !c.silent.Load() {
		c.late = nil
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
	}
	switch {
	case c.silent.Load():
		return len(p), nil
	case c.cutAfter >= 0 && len(p) >= c.cutAfter:
		n, _ := c.Conn.Write(p[:c.cutAfter])
		_ = c.Close()
		return n, net.ErrClosed
	case c.stallAfter >= 0 && len(p) >= c.stallAfter:
		_, err := c.Conn.Write(p[:c.stallAfter])
		c.silent.Store(true)
		return len(p), err
	}
	n, err := c.Conn.Write(p)
	if c.cutAfter >= 0 {
		c.cutAfter -= n
	}
	if c.stallAfter >= 0 {
		c.stallAfter -= n
	}
	return n, err
}
