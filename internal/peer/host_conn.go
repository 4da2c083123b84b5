package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"
)

// hostConn is one connection of a Pool to a host, from dialling to closing.
type hostConn struct {
	opts    PoolOptions
	address string

	ready  chan struct{} // closed when client or err has been set
	client *rpc.Client   // valid after ready if err is nil
	err    error

	stopOnce sync.Once
	stopped  chan struct{}
}

func newHostConn(opts PoolOptions, address string) *hostConn {
	return &hostConn{opts: opts, address: address, ready: make(chan struct{}), stopped: make(chan struct{})}
}

// run opens the connection and sends heartbeats until one fails or close is
// called. It removes c from the pool before it closes the client, so that no new
// call uses a connection that is known to have failed.
func (c *hostConn) run(remove func(*hostConn)) {
	if !c.open() {
		remove(c)
		close(c.ready)
		return
	}
	close(c.ready)
	c.runHeartbeats()
	remove(c)
	_ = c.client.Close()
}

// open dials the host and sets client or err. It reports whether it succeeded.
func (c *hostConn) open() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.DialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, c.address)
	if err != nil {
		c.err = err
		return false
	}
	timed := &timeoutConn{Conn: conn, idleTimeout: c.opts.IdleTimeout, writeTimeout: c.opts.WriteTimeout}
	c.client = rpc.NewClientWithCodec(newClientCodec(newBatchConn(timed)))
	return true
}

// runHeartbeats sends heartbeats until one fails or close is called. A heartbeat
// fails when the connection has ended, which includes its idle timeout.
func (c *hostConn) runHeartbeats() {
	ticker := time.NewTicker(c.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		call := c.client.Go(pingMethod, &PingArgs{}, &PingReply{}, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				return
			}
		case <-c.stopped:
			return
		}
		select {
		case <-ticker.C:
		case <-c.stopped:
			return
		}
	}
}

// close makes run close the connection.
func (c *hostConn) close() {
	c.stopOnce.Do(func() { close(c.stopped) })
}
