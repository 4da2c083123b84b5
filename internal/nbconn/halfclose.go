// Package nbconn has what nbio does not offer for its connections.
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

// HalfClose tells the other end that nothing more comes, and leaves it linger to
// read the answer and to close. Closing a socket with unread input would reset
// the connection, and the answer on its way might be lost.
func HalfClose(nc *nbio.Conn, linger time.Duration) {
	// nbio marks the connection closed under its lock before it closes the
	// descriptor, which the next connection may get.
	nc.Lock()
	if closed, _ := nc.IsClosed(); !closed {
		if raw, err := nc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
		}
	}
	nc.Unlock()
	_ = nc.SetReadDeadline(time.Now().Add(linger))
}
