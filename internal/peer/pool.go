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
	// defaultIdle is the time after which a silent connection is replaced.
	defaultIdle = time.Second
	// defaultPing leaves room for three lost heartbeats within defaultIdle.
	defaultPing = 250 * time.Millisecond
	// defaultWriteLimit is longer than defaultIdle because one answer may be
	// megabytes long.
	defaultWriteLimit = 5 * time.Second
	// defaultDialTimeout bounds a connection attempt. The kernel repeats a lost
	// opening packet after 1 s, for example to a host that is just starting; a
	// fresh attempt is faster. It is longer than a round trip between regions.
	defaultDialTimeout = 300 * time.Millisecond
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	Dial        func(ctx context.Context, address string) (net.Conn, error) // default: TCP
	Ping        time.Duration                                               // heartbeat interval; default 250 ms
	Idle        time.Duration                                               // a connection silent for this time is closed; default 1 s
	WriteLimit  time.Duration                                               // default 5 s
	DialTimeout time.Duration                                               // default 300 ms
}

// Pool holds one connection to each host that this process calls. All methods
// are safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu     sync.Mutex // guards the fields below; never held while dialling or calling
	links  map[string]*link
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
	if opts.Ping == 0 {
		opts.Ping = defaultPing
	}
	if opts.Idle == 0 {
		opts.Idle = defaultIdle
	}
	if opts.WriteLimit == 0 {
		opts.WriteLimit = defaultWriteLimit
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	return &Pool{opts: opts, links: make(map[string]*link)}
}

// Call calls a method at the host with the given address and waits for the
// answer or the end of ctx. The error has kind errkind.ConnectFailed if the
// request was certainly not sent, errkind.ServerLost otherwise. After an
// error, reply must not be read: a late answer may still be written to it.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.link(ctx, address)
	if err != nil {
		return errkind.Wrap(errkind.ConnectFailed, err, "host %s", address)
	}
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errkind.Wrap(errkind.ServerLost, ctx.Err(), "waiting for %s of host %s", method, address)
	}
	if call.Error != nil {
		return errkind.Wrap(errkind.ServerLost, call.Error, "%s of host %s", method, address)
	}
	return nil
}

// Close closes every connection; calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	clear(p.links)
}

var errPoolClosed = errors.New("the connection pool is closed")

// link returns the live connection to address and opens one if there is none.
// Callers that come while it is being opened wait for the same attempt.
func (p *Pool) link(ctx context.Context, address string) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	l := p.links[address]
	if l == nil {
		l = newLink(p.opts, address)
		p.links[address] = l
		go l.run(p.drop)
	}
	p.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.err != nil {
		return nil, l.err
	}
	return l, nil
}

// drop removes a connection that has ended, so that the next call opens a new
// one.
func (p *Pool) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		delete(p.links, l.address)
	}
}
