package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// defaultIdleTimeout is the time without received data after which a
	// connection is replaced.
	defaultIdleTimeout = time.Second
	// defaultHeartbeatInterval allows three lost heartbeats within
	// defaultIdleTimeout.
	defaultHeartbeatInterval = 250 * time.Millisecond
	// defaultWriteTimeout is longer than defaultIdleTimeout because one answer
	// may be several megabytes long.
	defaultWriteTimeout = 5 * time.Second
	// defaultDialTimeout limits a connection attempt. The kernel retransmits a
	// lost SYN, for example to a host that is just starting, only after 1 s; a
	// new attempt is faster. The limit is longer than a round trip between
	// regions.
	defaultDialTimeout = 300 * time.Millisecond
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Dial              func(ctx context.Context, address string) (net.Conn, error) // default: TCP
	HeartbeatInterval time.Duration                                               // default 250 ms
	IdleTimeout       time.Duration                                               // a connection that receives no data for this time is closed; default 1 s
	WriteTimeout      time.Duration                                               // limit for one write; default 5 s
	DialTimeout       time.Duration                                               // limit for one connection attempt; default 300 ms
}

// Pool holds one connection to each host that this process calls. All methods
// are safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu     sync.Mutex // guards the fields below; never held while dialling or calling
	conns  map[string]*hostConn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	if opts.Dial == nil {
		var d net.Dialer
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = defaultHeartbeatInterval
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	return &Pool{opts: opts, conns: make(map[string]*hostConn)}
}

// Call calls a method of the host at address and waits for the answer or the end
// of ctx. The error has kind errkind.ConnectFailed if the request was certainly
// not sent, errkind.ServerLost otherwise. After an error, reply must not be read:
// a late answer may still be written to it.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	wait, err := p.Start(ctx, address, method, args, reply)
	if err != nil {
		return err
	}
	return wait(ctx)
}

// Start is Call without the wait for the answer, which wait does. Requests that are
// started one after the other are sent in this order.
func (p *Pool) Start(ctx context.Context, address, method string, args, reply any) (wait func(ctx context.Context) error, err error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "connecting to host %s", address)
	}
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	return func(ctx context.Context) error {
		select {
		case <-call.Done:
		case <-ctx.Done():
			return errkind.Wrap(errkind.ServerLost, ctx.Err(), "waiting for the answer to %s from host %s", method, address)
		}
		if call.Error != nil {
			return errkind.Wrap(errkind.ServerLost, call.Error, "calling %s on host %s", method, address)
		}
		return nil
	}, nil
}

// Close closes every connection; calls in progress and later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.close()
	}
	clear(p.conns)
}

var errPoolClosed = errors.New("the connection pool is closed")

// conn returns the open connection to address and opens one if there is none.
// Concurrent calls wait for the same connection attempt.
func (p *Pool) conn(ctx context.Context, address string) (*hostConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	c := p.conns[address]
	if c == nil {
		c = newHostConn(p.opts, address)
		p.conns[address] = c
		go c.run(p.remove)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.err != nil {
		return nil, c.err
	}
	return c, nil
}

// remove removes a connection that has ended, so that the next call opens a new
// one.
func (p *Pool) remove(c *hostConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
}
