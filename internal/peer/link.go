package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"
)

// link is one connection to a host, from its opening to its end.
type link struct {
	opts    PoolOptions
	address string

	ready  chan struct{} // closed once client or err is set
	client *rpc.Client   // valid after ready if err is nil
	err    error

	stopOnce sync.Once
	stopped  chan struct{}
}

func newLink(opts PoolOptions, address string) *link {
	return &link{opts: opts, address: address, ready: make(chan struct{}), stopped: make(chan struct{})}
}

// run opens the connection and sends heartbeats until one fails. The link is
// dropped from the pool before its connection is closed, so that no new call
// is sent on a connection that is known to be dead.
func (l *link) run(drop func(*link)) {
	if !l.open() {
		drop(l)
		close(l.ready)
		return
	}
	close(l.ready)
	l.loop()
	drop(l)
	_ = l.client.Close()
}

func (l *link) open() bool {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.DialTimeout)
	defer cancel()
	conn, err := l.opts.Dial(ctx, l.address)
	if err != nil {
		l.err = err
		return false
	}
	live := &liveConn{Conn: conn, idle: l.opts.Idle, writeLimit: l.opts.WriteLimit}
	l.client = rpc.NewClientWithCodec(newClientCodec(newBatchConn(live)))
	return true
}

// loop sends heartbeats. A heartbeat fails when the connection has ended,
// which includes the idle limit of the connection.
func (l *link) loop() {
	ticker := time.NewTicker(l.opts.Ping)
	defer ticker.Stop()
	for {
		call := l.client.Go(pingMethod, &PingArgs{}, &PingReply{}, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				return
			}
		case <-l.stopped:
			return
		}
		select {
		case <-ticker.C:
		case <-l.stopped:
			return
		}
	}
}

func (l *link) close() {
	l.stopOnce.Do(func() { close(l.stopped) })
}
