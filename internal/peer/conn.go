package peer

import (
	"net"
	"time"
)

// timeoutConn detects an unresponsive peer: every read fails if no data arrives
// within idleTimeout, every write fails if it is not complete within
// writeTimeout. Heartbeats keep a healthy connection below idleTimeout.
type timeoutConn struct {
	net.Conn
	idleTimeout  time.Duration
	writeTimeout time.Duration
}

// Read reads with a deadline of idleTimeout.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes with a deadline of writeTimeout.
func (c *timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
