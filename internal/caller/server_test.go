package caller_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// echoHandler answers a Query with its text as the command tag.
type echoHandler struct {
	opened, closed, cancelled atomic.Int64
	run                       func(sql string) // called for each cycle; may block
}

func (h *echoHandler) handler() caller.Handler {
	return caller.Handler{
		Open: func(context.Context, caller.Startup) (caller.Opened, error) {
			h.opened.Add(1)
			return caller.Opened{Session: new(byte)}, nil
		},
		Run: func(_ context.Context, session any, c caller.Cycle) caller.Answer {
			status := session.(*byte)
			if *status == 0 {
				*status = 'I'
			}
			if c.Kind != caller.KindQuery {
				out, _ := (&pgproto3.ParseComplete{}).Encode(nil)
				if c.Kind == caller.KindFlush {
					return caller.Answer{Messages: caller.AppendError(nil, caller.SeverityError, io.ErrUnexpectedEOF), TxStatus: 'I', Failed: true}
				}
				return caller.Answer{Messages: caller.AppendReady(out, 'I'), TxStatus: 'I'}
			}
			sql := string(c.Messages[5 : len(c.Messages)-1])
			if h.run != nil {
				h.run(sql)
			}
			switch sql {
			case "begin":
				*status = 'T'
			case "commit":
				*status = 'I'
			}
			out, _ := (&pgproto3.CommandComplete{CommandTag: []byte(sql)}).Encode(nil)
			if strings.HasPrefix(sql, "big") {
				out = make([]byte, 32<<20)
				out[0] = 'd'
				binary.BigEndian.PutUint32(out[1:], uint32(len(out)-1))
			}
			return caller.Answer{Messages: caller.AppendReady(out, *status), TxStatus: *status}
		},
		Close:  func(any) { h.closed.Add(1) },
		Cancel: func(context.Context, any) { h.cancelled.Add(1) },
	}
}

func startServer(tb testing.TB, h *echoHandler, opts caller.Options) *caller.Server {
	opts.Address, opts.Handler = "127.0.0.1:0", h.handler()
	srv := caller.New(opts)
	if err := srv.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := srv.Close(); err != nil {
			tb.Error(err)
		}
		if h.opened.Load() != h.closed.Load() {
			tb.Errorf("%d sessions opened, %d closed", h.opened.Load(), h.closed.Load())
		}
	})
	return srv
}

// client is a raw protocol client.
type client struct {
	net.Conn
	*pgproto3.Frontend
	tb  testing.TB
	key pgproto3.BackendKeyData
}

func dial(tb testing.TB, srv *caller.Server) *client {
	sock, err := net.Dial("tcp", srv.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = sock.Close() })
	_ = sock.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{Conn: sock, Frontend: pgproto3.NewFrontend(sock, sock), tb: tb}
}

func connect(tb testing.TB, srv *caller.Server) *client {
	c := dial(tb, srv)
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	for {
		switch m := c.receive().(type) {
		case *pgproto3.BackendKeyData:
			c.key = *m
		case *pgproto3.ReadyForQuery:
			return c
		}
	}
}

func (c *client) send(messages ...pgproto3.FrontendMessage) {
	for _, m := range messages {
		c.Send(m)
	}
	if err := c.Flush(); err != nil {
		c.tb.Fatal(err)
	}
}

func (c *client) receive() pgproto3.BackendMessage {
	m, err := c.Receive()
	if err != nil {
		c.tb.Fatalf("reading an answer: %v", err)
	}
	return m
}

// query sends a Query and returns its command tag.
func (c *client) query(sql string) string {
	c.send(&pgproto3.Query{String: sql})
	tag := string(c.receive().(*pgproto3.CommandComplete).CommandTag)
	_ = c.receive().(*pgproto3.ReadyForQuery)
	return tag
}

// expectFatal reads the FATAL error and the end of the connection.
func (c *client) expectFatal(code string) {
	c.tb.Helper()
	m, ok := c.receive().(*pgproto3.ErrorResponse)
	if !ok || m.Severity != "FATAL" || m.Code != code {
		c.tb.Fatalf("got %#v, want a FATAL error with code %s", m, code)
	}
	if _, err := c.Receive(); err == nil {
		c.tb.Fatal("the connection is still open")
	}
}

// TestMalformedInput guards against malformed, oversized and unknown messages
// that crash the server, hang the connection, end it without an error message,
// or affect other connections.
func TestMalformedInput(t *testing.T) {
	srv := startServer(t, new(echoHandler), caller.Options{MaxMessageBytes: 1 << 10, MaxCycleBytes: 2 << 10, StartupTimeout: 200 * time.Millisecond})
	other := connect(t, srv)
	startups := map[string]string{
		"http":            "GET / HTTP/1.1\r\n\r\n",
		"version 2":       "\x00\x00\x00\x09\x00\x02\x00\x00\x00",
		"version 4":       "\x00\x00\x00\x09\x00\x04\x00\x00\x00",
		"short length":    "\x00\x00\x00\x04",
		"no parameters":   "\x00\x00\x00\x08\x00\x03\x00\x00",
		"unterminated":    "\x00\x00\x00\x0c\x00\x03\x00\x00user",
		"many encryption": strings.Repeat("\x00\x00\x00\x08\x04\xd2\x16\x2f", 3),
	}
	for name, bytes := range startups {
		t.Run(name, func(t *testing.T) {
			c := dial(t, srv)
			_, _ = c.Write([]byte(bytes))
			if name == "many encryption" {
				_, _ = io.ReadFull(c.Conn, make([]byte, 2))
			}
			c.expectFatal("08P01")
		})
	}
	messages := map[string]string{
		"unknown type":      "?\x00\x00\x00\x04",
		"short length":      "Q\x00\x00\x00\x03",
		"oversized":         "Q\x00\x10\x00\x00" + strings.Repeat("x", 100000),
		"long cycle":        strings.Repeat("P\x00\x00\x03\xe8"+strings.Repeat("x", 0x3e4), 3),
		"query before sync": "D\x00\x00\x00\x06S\x00Q\x00\x00\x00\x06x\x00",
	}
	for name, bytes := range messages {
		t.Run(name, func(t *testing.T) {
			c := connect(t, srv)
			_, _ = c.Write([]byte(bytes))
			c.expectFatal("08P01")
		})
	}
	t.Run("truncated startup", func(t *testing.T) {
		c := dial(t, srv)
		_, _ = c.Write([]byte("\x00\x00\x00\x20\x00\x03"))
		if _, err := c.Conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("the connection is open after the startup timeout: %v", err)
		}
	})
	if got := other.query("still here"); got != "still here" {
		t.Fatalf("got %q", got)
	}
}

// TestStartup guards against refusing the requests that drivers send before
// the StartupMessage and the minor protocol versions that they request, and
// against accepting more sessions than MaxConnections.
func TestStartup(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, new(echoHandler), caller.Options{MaxConnections: 3})
	c := dial(t, srv)
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		c.send(m)
		answer := make([]byte, 1)
		_, err := io.ReadFull(c.Conn, answer)
		is.NoErr(err)
		is.Equal(string(answer), "N")
	}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{"user": "u"}})
	_, negotiated := c.receive().(*pgproto3.NegotiateProtocolVersion)
	is.True(negotiated)
	_, ok := c.receive().(*pgproto3.AuthenticationOk)
	is.True(ok)
	connect(t, srv)
	connect(t, srv)
	full := dial(t, srv)
	full.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	full.expectFatal("53300")
}

// TestPipelineBackpressure guards against unbounded buffering for a caller that
// sends faster than its cycles run, against answers out of order, and against
// such a caller blocking others.
func TestPipelineBackpressure(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := &echoHandler{run: func(sql string) {
		if strings.HasPrefix(sql, "slow") {
			<-release
		}
	}}
	srv := startServer(t, h, caller.Options{MaxQueuedCycles: 4, MaxQueuedBytes: 64 << 10})
	slow, other := connect(t, srv), connect(t, srv)
	_ = slow.Conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	const cycles = 1500
	padding := strings.Repeat("x", 16<<10)
	var sent atomic.Int64
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := range cycles {
			m, _ := (&pgproto3.Query{String: fmt.Sprintf("slow %d %s", i, padding)}).Encode(nil)
			if _, err := slow.Write(m); err != nil {
				t.Error(err)
				return
			}
			sent.Add(1)
		}
	})
	before := int64(-1)
	for sent.Load() != before {
		before = sent.Load()
		time.Sleep(200 * time.Millisecond)
	}
	is.True(before < cycles) // the socket buffers are full and the server does not read
	is.Equal(other.query("quick"), "quick")
	close(release)
	for i := range cycles {
		tag := string(slow.receive().(*pgproto3.CommandComplete).CommandTag)
		if !strings.HasPrefix(tag, fmt.Sprintf("slow %d ", i)) {
			t.Fatalf("answer %d is %.20q", i, tag)
		}
		_ = slow.receive().(*pgproto3.ReadyForQuery)
	}
	writer.Wait()
}

// TestSlowReader guards against keeping the answers of a caller that does not
// read, and against disconnecting a caller that reads slowly.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, new(echoHandler), caller.Options{WriteTimeout: 300 * time.Millisecond})
	stalled, slow := connect(t, srv), connect(t, srv)
	stalled.send(&pgproto3.Query{String: "big"}, &pgproto3.Query{String: "big"})
	slow.send(&pgproto3.Query{String: "big"})
	start := time.Now()
	buf := make([]byte, 4<<20)
	for left := 32<<20 + 6; left > 0; {
		n, err := io.ReadAtLeast(slow.Conn, buf[:min(left, len(buf))], 1)
		is.NoErr(err)
		left -= n
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(slow.query("after"), "after")
	for srv.Connections() > 1 {
		is.True(time.Since(start) < 10*time.Second) // the stalled caller is disconnected
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	is.Equal(slow.query("idle is no stall"), "idle is no stall")
}

// TestFlushSkipsToSync guards against executing the rest of a cycle after its
// flushed part has failed.
func TestFlushSkipsToSync(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, new(echoHandler), caller.Options{})
	c := connect(t, srv)
	parse := &pgproto3.Parse{Query: "x"}
	c.send(parse, &pgproto3.Flush{}, parse, &pgproto3.Flush{}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Query{String: "next"})
	_, failed := c.receive().(*pgproto3.ErrorResponse)
	is.True(failed)
	_, ready := c.receive().(*pgproto3.ReadyForQuery)
	is.True(ready)
	is.Equal(string(c.receive().(*pgproto3.CommandComplete).CommandTag), "next")
}

// TestCancelRequest guards against cancelling a cycle for a CancelRequest with
// a wrong key.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	h := new(echoHandler)
	srv := startServer(t, h, caller.Options{})
	c := connect(t, srv)
	for _, key := range [][]byte{{1, 2, 3, 4}, {}, c.key.SecretKey} {
		req := dial(t, srv)
		m, _ := (&pgproto3.CancelRequest{ProcessID: c.key.ProcessID, SecretKey: key}).Encode(nil)
		_, err := req.Write(m)
		is.NoErr(err)
		n, _ := req.Read(make([]byte, 1))
		is.Equal(n, 0) // no answer, as the protocol requires
	}
	for deadline := time.Now().Add(5 * time.Second); h.cancelled.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.cancelled.Load(), int64(1))
}

// TestShutdown guards against interrupting a cycle or a transaction in
// progress, and against waiting for idle callers.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := &echoHandler{run: func(sql string) {
		if sql == "slow" {
			<-release
		}
	}}
	srv := startServer(t, h, caller.Options{})
	idle, busy, tx, unfinished := connect(t, srv), connect(t, srv), connect(t, srv), connect(t, srv)
	is.Equal(tx.query("begin"), "begin")
	is.Equal(unfinished.query("begin"), "begin")
	busy.send(&pgproto3.Query{String: "slow"})
	time.Sleep(20 * time.Millisecond)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- srv.Shutdown(ctx) }()
	idle.expectFatal("57P01")
	if sock, err := net.Dial("tcp", srv.Addr().String()); err == nil {
		_ = sock.Close()
		t.Fatal("a new connection was accepted")
	}
	is.Equal(tx.query("in transaction"), "in transaction")
	is.Equal(tx.query("commit"), "commit")
	tx.expectFatal("57P01")
	close(release)
	is.Equal(string(busy.receive().(*pgproto3.CommandComplete).CommandTag), "slow")
	_ = busy.receive()
	busy.expectFatal("57P01")
	select {
	case err := <-done:
		t.Fatalf("the shutdown did not wait for the open transaction: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	unfinished.expectFatal("57P01")
	is.True(<-done != nil)
}

// TestIdleMemory guards against idle connections that hold buffers or
// goroutines, and logs the bytes held for each. Client and server share the
// process, so the figure is an upper bound that includes the client's socket.
func TestIdleMemory(t *testing.T) {
	const connections, limit = 5000, 8 << 10
	srv := startServer(t, new(echoHandler), caller.Options{})
	connect(t, srv).query("warm up")
	measure := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}).Encode(nil)
	query, _ := (&pgproto3.Query{String: "select 1"}).Encode(nil)
	goroutines, before := runtime.NumGoroutine(), measure()
	socks := make([]net.Conn, connections)
	buf := make([]byte, 512)
	for i := range socks {
		sock, err := net.Dial("tcp", srv.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		socks[i] = sock
		for _, m := range [][]byte{startup, query} {
			_, _ = sock.Write(m)
			for n := 0; n < 6 || buf[n-6] != 'Z'; {
				k, err := sock.Read(buf[n:])
				if err != nil {
					t.Fatal(err)
				}
				n += k
			}
		}
	}
	held := int64(measure()-before) / connections
	t.Logf("%d idle connections: %d bytes held for each, client socket included; %d goroutines more",
		connections, held, runtime.NumGoroutine()-goroutines)
	if held > limit || runtime.NumGoroutine() > goroutines+100 {
		t.Errorf("%d bytes for each connection, the limit is %d; %d goroutines", held, limit, runtime.NumGoroutine())
	}
	for _, sock := range socks {
		_ = sock.Close()
	}
}
