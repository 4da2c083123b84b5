package faulttest

import (
	"net"
	"sync"
	"time"
)

// delayConn delays writes by a round trip time. Reads are not delayed, so a
// request and its answer together take one round trip.
type delayConn struct {
	net.Conn
	delay time.Duration
	queue chan delayedWrite
	done  chan struct{}
	once  sync.Once
}

type delayedWrite struct {
	data []byte
	due  time.Time
}

// delayQueueLength is the number of writes that may be in flight; further
// writes block.
const delayQueueLength = 4096

func newDelayConn(conn net.Conn, delay time.Duration) net.Conn {
	if delay == 0 {
		return conn
	}
	c := &delayConn{Conn: conn, delay: delay, queue: make(chan delayedWrite, delayQueueLength), done: make(chan struct{})}
	go c.loop()
	return c
}

// Write queues a copy of p.
func (c *delayConn) Write(p []byte) (int, error) {
	select {
	case c.queue <- delayedWrite{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close closes the connection at once; delayed writes are lost.
func (c *delayConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// loop writes queued data to the connection when it is due.
func (c *delayConn) loop() {
	for {
		select {
		case w := <-c.queue:
			time.Sleep(time.Until(w.due))
			if _, err := c.Conn.Write(w.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}
