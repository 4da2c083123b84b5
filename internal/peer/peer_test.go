package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

type EchoArgs struct {
	Wait time.Duration
	Data []byte
}

type EchoReply struct{ Data []byte }

type echoService struct{ calls atomic.Int64 }

func (e *echoService) Echo(args *EchoArgs, reply *EchoReply) error {
	e.calls.Add(1)
	time.Sleep(args.Wait)
	reply.Data = args.Data
	return nil
}

// pipeListener passes the far end of each dialled pipe to a server.
type pipeListener struct {
	conns    chan net.Conn
	done     chan struct{}
	dials    atomic.Int64
	failures atomic.Int64 // accepts that still fail for want of a file descriptor
	lastConn atomic.Pointer[blackholeConn]
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	l.dials.Add(1)
	conn := &blackholeConn{Conn: near}
	l.lastConn.Store(conn)
	select {
	case l.conns <- far:
		return conn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// blackholeConn discards everything that is written once dropWrites is set, like
// a middlebox that has lost the state of a connection.
type blackholeConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func startServerAndPool(t *testing.T) (*echoService, *peer.Server, *peer.Pool, *pipeListener) {
	t.Helper()
	e := new(echoService)
	srv := peer.NewServer(peer.ServerOptions{})
	if err := srv.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	ln := newPipeListener()
	go func() { _ = srv.Serve(ln) }()
	return e, srv, peer.NewPool(peer.PoolOptions{Dial: ln.dial}), ln
}

// TestSilentConnectionIsReplaced guards against calls that block forever on a
// connection whose packets are dropped while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, srv, pool, ln := startServerAndPool(t)
		ctx := context.Background()
		is.NoErr(pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{Data: []byte("x")}, new(EchoReply)))
		ln.lastConn.Load().dropWrites.Store(true)
		startTime := time.Now()
		err := pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{}, new(EchoReply))
		is.Equal(errkind.Of(err), errkind.ServerLost)
		is.True(time.Since(startTime) <= 1300*time.Millisecond) // idle timeout of 1 s plus one heartbeat interval
		time.Sleep(10 * time.Millisecond)
		reply := new(EchoReply)
		is.NoErr(pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{Data: []byte("y")}, reply))
		is.Equal(string(reply.Data), "y")
		is.Equal(ln.dials.Load(), int64(2))
		pool.Close()
		is.NoErr(srv.Shutdown(ctx))
	})
}

// TestServeAfterFailedAccept guards against a process that no peer reaches any more once
// it has run out of file descriptors for a moment.
func TestServeAfterFailedAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		srv, ln := peer.NewServer(peer.ServerOptions{}), newPipeListener()
		ln.failures.Store(3)
		ended := make(chan error, 1)
		go func() { ended <- srv.Serve(ln) }()
		pool := peer.NewPool(peer.PoolOptions{Dial: ln.dial})
		is.NoErr(pool.Call(t.Context(), "a", "Peer.Ping", &peer.PingArgs{}, new(peer.PingReply)))
		pool.Close()
		is.NoErr(srv.Shutdown(t.Context()))
		is.NoErr(<-ended)
	})
}

// TestLongCallOutlivesIdleTimeout guards against treating a connection with a
// slow call as unresponsive.
func TestLongCallOutlivesIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, srv, pool, ln := startServerAndPool(t)
		ctx := context.Background()
		is.NoErr(pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{Wait: 30 * time.Second}, new(EchoReply)))
		is.Equal(ln.dials.Load(), int64(1))
		pool.Close()
		is.NoErr(srv.Shutdown(ctx))
	})
}

// TestShutdownWaitsForRunningCalls guards against a planned stop that interrupts
// a call in progress.
func TestShutdownWaitsForRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, srv, pool, _ := startServerAndPool(t)
		ctx := context.Background()
		result := make(chan error, 1)
		go func() {
			result <- pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{Wait: 3 * time.Second}, new(EchoReply))
		}()
		time.Sleep(time.Second)
		is.Equal(e.calls.Load(), int64(1))
		is.NoErr(srv.Shutdown(ctx))
		is.NoErr(<-result)
		err := pool.Call(ctx, "a", "Echo.Echo", &EchoArgs{}, new(EchoReply))
		is.True(err != nil) // no new work after the shutdown
		is.Equal(e.calls.Load(), int64(1))
		pool.Close()
	})
}

// TestDialFailureIsConnectFailed guards against reporting an unknown outcome for
// a request that was never sent.
func TestDialFailureIsConnectFailed(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(peer.PoolOptions{Dial: func(context.Context, string) (net.Conn, error) {
		return nil, net.ErrClosed
	}})
	err := pool.Call(context.Background(), "a", "Echo.Echo", &EchoArgs{}, new(EchoReply))
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
	is.Equal(errkind.Of(err).Info().Outcome, errkind.NotRun)
}

// BenchmarkCall measures one call over loopback TCP.
func BenchmarkCall(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := peer.NewServer(peer.ServerOptions{})
	if err := srv.Register("Echo", new(echoService)); err != nil {
		b.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	pool := peer.NewPool(peer.PoolOptions{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		args := &EchoArgs{Data: make([]byte, 200)}
		for pb.Next() {
			if err := pool.Call(context.Background(), ln.Addr().String(), "Echo.Echo", args, new(EchoReply)); err != nil {
				b.Error(err)
				return
			}
		}
	})
	pool.Close()
	_ = srv.Shutdown(context.Background())
}
