package capacity_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/jackc/pgx/v5/pgproto3"
)

func encodeQuery(sql string) []byte {
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return out
}

// encodedAnswer returns the encoded answer of a statement with one row of about
// 100 bytes.
func encodedAnswer() []byte {
	var out []byte
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}},
		&pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		var err error
		if out, err = m.Encode(out); err != nil {
			panic(err)
		}
	}
	return out
}

// startEntry returns an entry with the state of the fleet. The state does not
// become stale for an hour.
func startEntry(b *testing.B, f capacity.Fleet, owners *capacity.Owners) *entry.Entry {
	b.Helper()
	m, _ := loadMachine(b, f)
	state := m.View().State
	cfg, err := policy.Parse("policy.toml", state.ConfigText)
	if err != nil {
		b.Fatal(err)
	}
	e := entry.New(entry.Options{Host: f.Host(0), Owners: owners.Client(), StaleAfter: time.Hour})
	e.SetState(state, cfg)
	e.RecordConfirmation(time.Now())
	return e
}

func openSession(b *testing.B, e *entry.Entry, parameters map[string]string) any {
	b.Helper()
	opened, err := e.Handler().Open(context.Background(), caller.Startup{Parameters: parameters})
	if err != nil {
		b.Fatal(err)
	}
	return opened.Session
}

// BenchmarkStatement measures the processor time of the entry for one statement,
// without an owner and the network.
func BenchmarkStatement(b *testing.B) {
	for _, statement := range []struct{ name, sql string }{
		{"read", "SELECT v FROM orders WHERE k = 12345"},
		{"write", "UPDATE orders SET v = 'abcdefghij' WHERE k = 12345"},
	} {
		b.Run(statement.name, func(b *testing.B) {
			f := capacity.NewFleet(1000)
			owners := &capacity.Owners{Answer: encodedAnswer()}
			e := startEntry(b, f, owners)
			defer e.Close()
			handler := e.Handler()
			session := openSession(b, e, map[string]string{"database": f.GroupName(3)})
			cycle := caller.Cycle{Kind: caller.KindQuery, Messages: encodeQuery(statement.sql)}
			b.ReportAllocs()
			cpuBefore, n := capacity.ProcessorTime(), 0
			for b.Loop() {
				handler.Run(context.Background(), session, cycle)
				n++
			}
			b.ReportMetric(us(capacity.ProcessorTime()-cpuBefore)/float64(n), "cpu-us/op")
			if owners.ExecCalls.Load() < int64(n) {
				b.Fatal("statements did not reach an owner")
			}
		})
	}
}

// BenchmarkPolls measures the calls that an entry makes while it runs no
// statements, in a fleet of the design size: status polls of the owners in use,
// and staleness samples of the groups whose reads accept staleness.
func BenchmarkPolls(b *testing.B) {
	f := capacity.NewFleet(capacity.DesignGroups)
	for b.Loop() {
		ownersInUse := newSeries("owners in use", "groups in use", "owners")
		polls := newSeries("status polls", "groups in use", "1/s")
		samples := newSeries("staleness samples", "groups in use", "1/s")
		cpu := newSeries("processor time of polls and samples without transport", "groups in use", "ms/s")
		for _, groupsInUse := range []int{100, 300, 1000, 3000, 10_000} {
			owners := &capacity.Owners{Answer: encodedAnswer()}
			e := startEntry(b, f, owners)
			handler := e.Handler()
			sessions := make([]any, groupsInUse)
			for i := range sessions {
				sessions[i] = openSession(b, e, map[string]string{
					"database": f.GroupName(i * (f.Groups / groupsInUse)), "arbutusring.max_staleness": "2s",
				})
			}
			readCycle := caller.Cycle{Kind: caller.KindQuery, Messages: encodeQuery("SELECT 1")}
			for _, s := range sessions {
				handler.Run(context.Background(), s, readCycle)
			}
			const interval = time.Second
			pollsBefore, samplesBefore, cpuBefore := owners.StatusCalls.Load(), owners.PositionCalls.Load(), capacity.ProcessorTime()
			time.Sleep(interval)
			cpu.Add(float64(groupsInUse), ms(capacity.ProcessorTime()-cpuBefore))
			polls.Add(float64(groupsInUse), float64(owners.StatusCalls.Load()-pollsBefore))
			samples.Add(float64(groupsInUse), float64(owners.PositionCalls.Load()-samplesBefore))
			ownersInUse.Add(float64(groupsInUse), float64(owners.PolledOwners()))
			for _, s := range sessions {
				handler.Close(s)
			}
			e.Close()
		}
		printSeries(ownersInUse, polls, samples, cpu)
	}
}

// BenchmarkMessageSizes reports the encoded sizes of requests and replies between
// hosts, without the header that net/rpc puts before each of them.
func BenchmarkMessageSizes(b *testing.B) {
	id := ownerrpc.RequestID{Entry: "host-01234/c9x1k2m3n4p5", Session: 5200, Number: 100_000}
	pos := logpos.Position{Term: 12, LSN: 1 << 40}
	f := capacity.NewFleet(capacity.DesignGroups)
	ownerLoad := ownerrpc.Load{
		Server: f.ServerID(1, 1), Applied: pos, Service: time.Millisecond, Slots: 3,
		Queued: map[string]int{"urgent": 0, "normal": 3, "bulk": 20},
	}
	for b.Loop() {
		b.ReportMetric(float64(len(mustEncode(b, &ownerrpc.ExecArgs{
			ID: id, Group: f.GroupName(1), Server: f.ServerID(1, 1), Rank: "normal", Budget: 5 * time.Second,
			Repeatable: true, RequiredPosition: pos, Messages: encodeQuery("SELECT v FROM orders WHERE k = 12345"),
		}))), "exec-args-B")
		b.ReportMetric(float64(len(mustEncode(b, &ownerrpc.ExecReply{
			ID: id, Messages: encodedAnswer(), TxStatus: 'I', Load: ownerLoad,
		}))), "exec-reply-B")
		b.ReportMetric(float64(len(mustEncode(b, &ownerrpc.PositionArgs{Group: f.GroupName(1), Term: 12}))), "position-args-B")
		b.ReportMetric(float64(len(mustEncode(b, &ownerrpc.PositionReply{Position: pos}))), "position-reply-B")
		b.ReportMetric(float64(len(mustEncode(b, &ownerrpc.StatusArgs{Entry: id.Entry}))), "status-args-B")
		statusReplySize := func(n int) float64 {
			reply := ownerrpc.StatusReply{Host: "host-01234"}
			for k := range n {
				reply.Servers = append(reply.Servers, ownerrpc.ServerStatus{
					Server: f.ServerID(k, 1), Group: f.GroupName(k), Epoch: 1 << 30, Term: 12, LeaseLeft: time.Second,
					Reachable: true, LastAnswerAge: 50 * time.Millisecond, Applied: pos, Load: ownerLoad, Connections: 25,
					Successes: 1 << 30, Failures: 1000, Refused: 1000,
				})
			}
			return float64(len(mustEncode(b, &reply)))
		}
		b.ReportMetric(statusReplySize(0), "status-reply-B")
		b.ReportMetric(statusReplySize(1)-statusReplySize(0), "status-server-B")
		b.ReportMetric(float64(len(mustEncode(b, &controlrpc.AnnounceArgs{Server: f.Server(1, 1)}))), "announce-args-B")
	}
}

// BenchmarkIdleCallers measures the memory that idle caller connections use in
// the entry. The callers are plain sockets, which use no heap of this process.
func BenchmarkIdleCallers(b *testing.B) {
	for b.Loop() {
		memory := newSeries("memory", "connections", "bytes")
		f := capacity.NewFleet(1000)
		e := startEntry(b, f, &capacity.Owners{Answer: encodedAnswer()})
		srv := caller.New(caller.Options{Address: "127.0.0.1:0", Handler: e.Handler()})
		if err := srv.Start(); err != nil {
			b.Fatal(err)
		}
		port := srv.Addr().(*net.TCPAddr).Port
		var fds []int
		connectUpTo := func(n int) {
			for len(fds) < n {
				fds = append(fds, connectCaller(b, port, f.GroupName(len(fds)%f.Groups)))
			}
			if srv.Connections() != n {
				b.Fatal("connections: ", srv.Connections())
			}
			time.Sleep(time.Second) // until idle workers have ended and pooled buffers are freed
		}
		connectUpTo(100) // excludes memory that the first connections allocate once
		memoryBefore := capacity.MemoryInUse()
		for _, n := range []int{300, 1000, 3000, 5200} {
			connectUpTo(n)
			memory.Add(float64(n-100), capacity.MemoryInUse()-memoryBefore)
		}
		for _, fd := range fds {
			_ = syscall.Close(fd)
		}
		if err := srv.Close(); err != nil {
			b.Log(err)
		}
		e.Close()
		printSeries(memory)
	}
}

// connectCaller opens a caller connection, runs one statement and returns the
// socket.
func connectCaller(b *testing.B, port int, group string) int {
	b.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		b.Fatal(err)
	}
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		b.Fatal(err)
	}
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "u", "database": group, "application_name": "orders"},
	}).Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	roundTrip(b, fd, startup)
	roundTrip(b, fd, encodeQuery("SELECT v FROM orders WHERE k = 12345"))
	return fd
}

// roundTrip sends a request and reads until ReadyForQuery ends the answer.
func roundTrip(b *testing.B, fd int, request []byte) {
	b.Helper()
	if _, err := syscall.Write(fd, request); err != nil {
		b.Fatal(err)
	}
	var buf [4096]byte
	for got := 0; ; {
		n, err := syscall.Read(fd, buf[got:])
		if err != nil || n == 0 {
			b.Fatal("connection ended", err)
		}
		got += n
		if got >= 6 && buf[got-6] == 'Z' && buf[got-1] == 'I' {
			return
		}
	}
}
