package capacity

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections as one end sees them.
type Traffic struct {
	In, Out atomic.Int64 // bytes read and written
	Writes  atomic.Int64
}

// Total returns the bytes in both directions.
func (t *Traffic) Total() int64 { return t.In.Load() + t.Out.Load() }

// CountingConn counts the payload bytes of a connection. Headers of TCP and IP
// are not included.
type CountingConn struct {
	net.Conn
	Traffic *Traffic
}

// Read reads and counts.
func (c *CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Traffic.In.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Traffic.Out.Add(int64(n))
	c.Traffic.Writes.Add(1)
	return n, err
}
