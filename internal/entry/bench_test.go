package entry_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// rawClient is a protocol client whose round trips don't allocate.
type rawClient struct {
	sock net.Conn
	buf  [4096]byte
}

func (c *rawClient) roundTrip(message []byte) error {
	if _, err := c.sock.Write(message); err != nil {
		return err
	}
	for n := 0; n < 6 || c.buf[n-6] != 'Z'; {
		k, err := c.sock.Read(c.buf[n:])
		if err != nil {
			return err
		}
		n += k
	}
	return nil
}

// benchServer starts a caller server and an entry with fake owners that answer at
// once, and returns its address.
func benchServer(tb testing.TB) string {
	f := newFake()
	row := encodedRowAnswer()
	ent := entry.New(entry.Options{StaleAfter: time.Hour, Owners: ownerrpc.Client{
		Call: func(ctx context.Context, address, method string, args, reply any) error {
			exec, ok := args.(*ownerrpc.ExecArgs)
			if !ok {
				return f.call(ctx, address, method, args, reply)
			}
			r := reply.(*ownerrpc.ExecReply)
			r.ID, r.TxStatus, r.Messages = exec.ID, 'I', append([]byte(nil), row...)
			if exec.Write {
				r.Position = logpos.Position{Term: 1, LSN: 1}
			}
			return nil
		},
	}})
	ent.SetState(f.state(1), parsePolicy(""))
	ent.RecordConfirmation(time.Now())
	srv := caller.New(caller.Options{Address: "127.0.0.1:0", Handler: ent.Handler()})
	if err := srv.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = srv.Close()
		ent.Close()
	})
	return srv.Addr().String()
}

// encodedRowAnswer returns the encoded answer to a Query that selects one row.
func encodedRowAnswer() []byte {
	out, _ := rowDescription().Encode(nil)
	out, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("value")}}).Encode(out)
	out, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(out)
	return caller.AppendReady(out, 'I')
}

func benchClient(tb testing.TB, address string) *rawClient {
	sock, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = sock.Close() })
	c := &rawClient{sock: sock}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": groupName}}
	if err := c.roundTrip(encodeMessages(startup)); err != nil {
		tb.Fatal(err)
	}
	return c
}

// BenchmarkStatement measures one statement over a socket through caller and
// entry. The reported allocations include those of the fake owner's answer, but
// the client has none.
func BenchmarkStatement(b *testing.B) {
	const read, write = "select v from kv where k = 'a'", "insert into kv values ('a', 'b')"
	cases := map[string][]byte{
		"read/simple":  encodeMessages(&pgproto3.Query{String: read}),
		"write/simple": encodeMessages(&pgproto3.Query{String: write}),
		"read/prepared": encodeMessages(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}},
			&pgproto3.Execute{}, &pgproto3.Sync{}),
	}
	for name, message := range cases {
		b.Run(name, func(b *testing.B) {
			c := benchClient(b, benchServer(b))
			prepare := encodeMessages(&pgproto3.Parse{Name: "s", Query: "select v from kv where k = $1"}, &pgproto3.Sync{})
			if err := c.roundTrip(prepare); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := c.roundTrip(message); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			address := benchServer(b)
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				c := benchClient(b, address)
				_ = c.roundTrip(encodeMessages(&pgproto3.Parse{Name: "s", Query: "select v from kv where k = $1"}, &pgproto3.Sync{}))
				for pb.Next() {
					if err := c.roundTrip(message); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// TestIdleSessionMemory guards against idle sessions that hold much memory. It
// logs the bytes per session, after one read each. Client and server share the
// process, so the figure includes the client's socket.
func TestIdleSessionMemory(t *testing.T) {
	const sessions, limit = 5000, 10 << 10
	address := benchServer(t)
	message := encodeMessages(&pgproto3.Query{String: "select v from kv where k = 'a'"})
	_ = benchClient(t, address).roundTrip(message)
	usedBytes := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := usedBytes()
	clients := make([]net.Conn, sessions)
	var wg sync.WaitGroup
	for part := range 10 {
		wg.Go(func() {
			for i := part; i < sessions; i += 10 {
				c := benchClient(t, address)
				if err := c.roundTrip(message); err != nil {
					t.Error(err)
					return
				}
				clients[i] = c.sock // without the client's buffer
			}
		})
	}
	wg.Wait()
	held := (int64(usedBytes()) - int64(before)) / sessions
	t.Logf("%d idle sessions: %d bytes held for each, client socket included", sessions, held)
	if held > limit {
		t.Errorf("%d bytes held for each idle session, the limit is %d", held, limit)
	}
	runtime.KeepAlive(clients)
}
