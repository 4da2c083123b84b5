package peer

import (
	"net"
	"time"
)

// liveConn closes itself when the other end is silent: every read must bring
// data within idle, every write must be taken within writeLimit. Heartbeats
// keep a healthy connection from reaching the idle limit.
type liveConn struct {
	net.Conn
	idle       time.Duration
	writeLimit time.Duration
}

// Read reads within the idle limit.
func (c *liveConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes within the write limit.
func (c *liveConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
