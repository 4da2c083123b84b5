// Package nbconn adds socket operations that nbio connections lack.
//
// # Usage
//
//	nbconn.HalfClose(nc, time.Second) // after the last answer was written
package nbconn

import (
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// HalfClose closes the sending direction of nc, and nc itself when the time linger
// has passed. Until then the other end can read the answer and close the
// connection. Closing a socket with unread input would reset the connection, and
// an answer in flight might be lost.
func HalfClose(nc *nbio.Conn, linger time.Duration) {
	// nbio marks a connection closed under its lock before it closes the file
	// descriptor. Without the lock, the descriptor could already belong to
	// another connection.
	nc.Lock()
	if closed, _ := nc.IsClosed(); !closed {
		if raw, err := nc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
		}
	}
	nc.Unlock()
	_ = nc.SetReadDeadline(time.Now().Add(linger))
}
