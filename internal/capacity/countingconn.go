package capacity

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and writes of one or more connections, as seen from
// one end.
type Traffic struct {
	BytesRead, BytesWritten atomic.Int64
	Writes                  atomic.Int64
}

// TotalBytes returns the bytes in both directions.
func (t *Traffic) TotalBytes() int64 { return t.BytesRead.Load() + t.BytesWritten.Load() }

// CountingConn counts the payload bytes of a connection, without TCP and IP
// headers.
type CountingConn struct {
	net.Conn
	Traffic *Traffic
}

// Read reads from the connection and counts the bytes.
func (c *CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Traffic.BytesRead.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes and the write.
func (c *CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Traffic.BytesWritten.Add(int64(n))
	c.Traffic.Writes.Add(1)
	return n, err
}
