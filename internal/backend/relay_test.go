package backend_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

const maxAnswerBytes = 1 << 20

// startStandin runs a stand-in backend server that is the primary of term 1,
// until the end of the test.
func startStandin(t *testing.T, opts standin.Options) *standin.Server {
	t.Helper()
	is := is.New(t)
	srv, err := standin.New(opts)
	is.NoErr(err)
	is.NoErr(srv.Start())
	t.Cleanup(srv.Abort)
	is.NoErr(srv.Promote(1))
	return srv
}

func connect(t testing.TB, address string) *backend.Conn {
	t.Helper()
	c, err := backend.Connect(t.Context(), backend.ConnOptions{Address: address, Database: "orders", User: "test", DialTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// message returns a raw protocol message.
func message(typ byte, body string) []byte {
	m := binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4))
	return append(m, body...)
}

func query(sql string) []byte { return message('Q', sql+"\x00") }

// extended returns a cycle of the extended protocol with one statement.
func extended(t testing.TB, sql string, params ...string) []byte {
	t.Helper()
	values := make([][]byte, len(params))
	for i, p := range params {
		values[i] = []byte(p)
	}
	var buf []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql}, &pgproto3.Bind{Parameters: values}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		var err error
		if buf, err = m.Encode(buf); err != nil {
			t.Fatal(err)
		}
	}
	return buf
}

// TestRelayAnswers guards against answers that are truncated, extended or
// attributed to the wrong cycle, and against a wrong transaction status. The
// cycles run one after the other on one connection.
func TestRelayAnswers(t *testing.T) {
	is := is.New(t)
	srv := startStandin(t, standin.Options{})
	c := connect(t, srv.Address())
	for _, tc := range []struct {
		name  string
		cycle []byte
		types string // types of the messages of the answer
		tx    byte   // transaction status
		state string // SQLSTATE
	}{
		{"write", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), "CZ", 'I', ""},
		{"read", query("SELECT v FROM kv WHERE k = 'a'"), "TDCZ", 'I', ""},
		{"several statements", query("SELECT 1; SELECT v FROM kv WHERE k = 'b'"), "TDCTCZ", 'I', ""},
		{"empty", query(""), "IZ", 'I', ""},
		{"syntax error", query("SELEC 1"), "EZ", 'I', "42601"},
		{"error after a statement", query("SELECT 1; INSERT INTO kv (k, v) VALUES ('a', '2'); SELECT 1"), "TDCEZ", 'I', "23505"},
		{"extended", extended(t, "SELECT v FROM kv WHERE k = $1", "a"), "12DCZ", 'I', ""},
		{"extended error", extended(t, "INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "3"), "12EZ", 'I', "23505"},
		{"error in the middle of a pipeline", failingPipeline(t), "12C12EZ", 'I', "23505"},
		{"pipeline was rolled back", query("SELECT k FROM kv WHERE k = 'p'"), "TCZ", 'I', ""},
		{"begin", query("BEGIN"), "CZ", 'T', ""},
		{"in transaction", query("UPDATE kv SET v = v || 'x' WHERE k = 'a'"), "CZ", 'T', ""},
		{"failed transaction", query("SELECT nothing FROM kv"), "EZ", 'E', "42703"},
		{"refused in failed transaction", query("SELECT 1"), "EZ", 'E', "25P02"},
		{"commit of failed transaction", query("COMMIT"), "CZ", 'I', ""},
	} {
		answer, err := c.Relay(t.Context(), tc.cycle, maxAnswerBytes)
		if err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		before, _, _ := strings.Cut(tc.types, "E")
		if answer.Completed != strings.Contains(before, "C") {
			t.Errorf("%s: completed is %v", tc.name, answer.Completed)
		}
		if got := messageTypes(answer.Messages); got != tc.types || answer.TxStatus != tc.tx || answer.SQLState != tc.state {
			t.Errorf("%s: answer %s %c %q, want %s %c %q", tc.name, got, answer.TxStatus, answer.SQLState, tc.types, tc.tx, tc.state)
		}
	}
	is.True(!c.Closed())
}

// failingPipeline returns a cycle of two statements, of which the second fails.
func failingPipeline(t *testing.T) []byte {
	first := extended(t, "INSERT INTO kv (k, v) VALUES ($1, $2)", "p", "1")
	return append(first[:len(first)-5:len(first)-5], extended(t, "INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")...)
}

// messageTypes returns the types of the messages in raw.
func messageTypes(raw []byte) string {
	var b strings.Builder
	for len(raw) >= 5 {
		b.WriteByte(raw[0])
		raw = raw[min(len(raw), 1+int(binary.BigEndian.Uint32(raw[1:]))):]
	}
	return b.String()
}

// TestRelayFaults guards against a wrong outcome after a server fault: a cycle
// that may have been executed must not be reported as not sent.
func TestRelayFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault standin.Fault
		value string
		cycle []byte
		limit int
		kind  errkind.Kind
		ran   bool // the row exists afterwards
	}{
		{"closed without an answer", standin.FaultDropAnswer, "1", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), maxAnswerBytes, errkind.ServerLost, true},
		{"closed midway", standin.FaultCutAnswer, "7", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), maxAnswerBytes, errkind.ServerLost, true},
		{"silent midway", standin.FaultStallAnswer, "7", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), maxAnswerBytes, errkind.ServerLost, true},
		{"silent from the start", standin.FaultSilent, "on", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), maxAnswerBytes, errkind.ServerLost, false},
		{"frozen", standin.FaultFreeze, "600ms", query("INSERT INTO kv (k, v) VALUES ('a', '1')"), maxAnswerBytes, errkind.ServerLost, true},
		{"oversized", standin.FaultServiceTime, "0s", query("INSERT INTO kv (k, v) VALUES ('a', '1') RETURNING k"), 20, errkind.AnswerTooLarge, true},
		{"two queries", standin.FaultServiceTime, "0s", append(query("SELECT 1"), query("SELECT 1")...), maxAnswerBytes, errkind.BadRequest, false},
		{"copy message", standin.FaultServiceTime, "0s", message('f', "x\x00"), maxAnswerBytes, errkind.BadRequest, false},
		{"truncated", standin.FaultServiceTime, "0s", query("SELECT 1")[:9], maxAnswerBytes, errkind.BadRequest, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := startStandin(t, standin.Options{})
			c := connect(t, srv.Address())
			is.NoErr(srv.SetFault(tc.fault, tc.value))
			timeout := 5 * time.Second
			switch tc.fault {
			case standin.FaultStallAnswer, standin.FaultSilent, standin.FaultFreeze:
				timeout = 300 * time.Millisecond // no answer comes
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := c.Relay(ctx, tc.cycle, tc.limit)
			is.Equal(errkind.Of(err), tc.kind)
			is.Equal(c.Closed(), tc.kind != errkind.AnswerTooLarge)
			if tc.kind == errkind.AnswerTooLarge { // the next answer belongs to the next cycle
				answer, err := c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
				is.NoErr(err)
				is.Equal(messageTypes(answer.Messages), "TDCZ")
			} else { // the connection is closed, so nothing is sent
				_, err = c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
				is.Equal(errkind.Of(err), errkind.ConnectFailed)
			}
			_ = srv.SetFault(standin.FaultSilent, "off")
			fresh := connect(t, srv.Address())
			answer, err := fresh.Relay(t.Context(), query("SELECT k FROM kv"), maxAnswerBytes)
			is.NoErr(err)
			found := messageTypes(answer.Messages) == "TDCZ"
			// A frozen server executes the cycle after the end of the freeze.
			for deadline := time.Now().Add(5 * time.Second); !found && tc.ran && time.Now().Before(deadline); {
				answer, err := fresh.Relay(t.Context(), query("SELECT k FROM kv"), maxAnswerBytes)
				is.NoErr(err)
				found = messageTypes(answer.Messages) == "TDCZ"
			}
			is.Equal(found, tc.ran)
		})
	}
}

// serveRawAnswer runs a server that completes the startup and answers the first
// cycle with the bytes raw, and then closes the connection if closeAfter is set.
func serveRawAnswer(t *testing.T, raw []byte, closeAfter bool) string {
	t.Helper()
	return serveRawAnswers(t, raw, nil, closeAfter)
}

// serveRawAnswers is serveRawAnswer with a server that sends the bytes after when
// it has answered the query for a tag. It answers that query only if raw ends with
// ReadyForQuery.
func serveRawAnswers(t *testing.T, raw, after []byte, closeAfter bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		b := pgproto3.NewBackend(nc, nc)
		if _, err := b.ReceiveStartupMessage(); err != nil {
			return
		}
		b.Send(&pgproto3.AuthenticationOk{})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if b.Flush() != nil {
			return
		}
		if _, err := b.Receive(); err != nil {
			return
		}
		_, _ = nc.Write(raw)
		for ready := message('Z', "I"); bytes.HasSuffix(raw, ready); {
			m, err := b.Receive()
			if err != nil {
				return
			}
			if q, ok := m.(*pgproto3.Query); ok {
				_, tag, _ := strings.Cut(q.String, "'")
				_, _ = nc.Write(slices.Concat(tagResult(tag[:16]), ready, after))
				break
			}
		}
		for !closeAfter {
			if _, err := b.Receive(); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String()
}

// TestRelayRejectsWrongAnswers guards against accepting malformed data, messages
// that are not allowed in an answer, or an incomplete answer.
func TestRelayRejectsWrongAnswers(t *testing.T) {
	ready := message('Z', "I")
	fatal := message('E', "SFATAL\x00VFATAL\x00C57P01\x00Mstopping\x00\x00")
	for _, tc := range []struct {
		name string
		raw  []byte
		kind errkind.Kind
	}{
		{"well formed", append(message('C', "SELECT 1\x00"), ready...), errkind.OK},
		{"nothing", nil, errkind.ServerLost},
		{"half a header", []byte{'C', 0, 0}, errkind.ServerLost},
		{"half a body", message('C', "SELECT 1\x00")[:8], errkind.ServerLost},
		{"no ReadyForQuery", message('C', "SELECT 1\x00"), errkind.ServerLost},
		{"copy in", append(message('G', "\x00\x00\x00"), ready...), errkind.ServerLost},
		{"authentication", append(message('R', "\x00\x00\x00\x00"), ready...), errkind.ServerLost},
		{"unknown type", append(message('!', ""), ready...), errkind.ServerLost},
		{"length below 4", []byte{'C', 0, 0, 0, 3, 'Z', 0, 0, 0, 5, 'I'}, errkind.ServerLost},
		{"length beyond the limit", []byte{'D', 0xff, 0xff, 0xff, 0xff, 0}, errkind.ServerLost},
		{"wrong status", message('Z', "X"), errkind.ServerLost},
		{"long ReadyForQuery", message('Z', "II"), errkind.ServerLost},
		{"text", []byte("HTTP/1.1 400 Bad Request\r\n\r\n"), errkind.ServerLost},
		{"shutdown before execution", fatal, errkind.Draining},
		{"shutdown after a statement", append(message('C', "INSERT 0 1\x00"), fatal...), errkind.ServerLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, serveRawAnswer(t, tc.raw, true))
			_, err := c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
			is.Equal(errkind.Of(err), tc.kind)
			is.Equal(c.Closed(), err != nil)
		})
	}
}

// TestRelayRejectsAnswersToOtherRequests guards against accepting messages in an order
// in which no server answers the cycle, and errors that pass for a success.
func TestRelayRejectsAnswersToOtherRequests(t *testing.T) {
	row := message('D', "\x00\x01\x00\x00\x00\x011")
	rows := message('T', "\x00\x01v\x00"+columnType)
	done, ready := message('C', "SELECT 1\x00"), message('Z', "I")
	parsed, bound, described := message('1', ""), message('2', ""), message('t', "\x00\x00")
	notice := message('N', "SNOTICE\x00C00000\x00Mx\x00\x00")
	status := message('S', "TimeZone\x00UTC\x00")
	failed := message('E', "SERROR\x00C22000\x00Mx\x00\x00")
	simple, cycle := query("SELECT 1"), extended(t, "SELECT 1")
	describe := slices.Concat(message('P', "\x00SELECT 1\x00\x00\x00"), message('D', "S\x00"), message('S', ""))
	for _, tc := range []struct {
		name  string
		cycle []byte
		raw   [][]byte
		kind  errkind.Kind
	}{
		{"rows", simple, [][]byte{rows, row, done, ready}, errkind.OK},
		{"two results", simple, [][]byte{rows, row, done, rows, row, done, ready}, errkind.OK},
		{"asynchronous messages", simple, [][]byte{notice, rows, status, row, notice, done, status, ready}, errkind.OK},
		{"error within rows", simple, [][]byte{rows, row, failed, ready}, errkind.OK},
		{"extended", cycle, [][]byte{parsed, bound, row, done, ready}, errkind.OK},
		{"extended error", cycle, [][]byte{parsed, failed, ready}, errkind.OK},
		{"describe", describe, [][]byte{parsed, described, rows, ready}, errkind.OK},
		{"no result", simple, [][]byte{ready}, errkind.ServerLost},
		{"rows without a description", simple, [][]byte{row, done, ready}, errkind.ServerLost},
		{"result without an end", simple, [][]byte{rows, row, ready}, errkind.ServerLost},
		{"result within another", simple, [][]byte{rows, rows, row, done, ready}, errkind.ServerLost},
		{"result after an error", simple, [][]byte{failed, rows, row, done, ready}, errkind.ServerLost},
		{"empty query with a result", simple, [][]byte{message('I', ""), done, ready}, errkind.ServerLost},
		{"extended answer to a Query", simple, [][]byte{parsed, bound, row, done, ready}, errkind.ServerLost},
		{"answer of a Query to an extended cycle", cycle, [][]byte{rows, row, done, ready}, errkind.ServerLost},
		{"too few answers", cycle, [][]byte{parsed, bound, ready}, errkind.ServerLost},
		{"too many answers", cycle, [][]byte{parsed, bound, row, done, done, ready}, errkind.ServerLost},
		{"description that was not requested", cycle, [][]byte{parsed, bound, rows, row, done, ready}, errkind.ServerLost},
		{"description of parameters twice", describe, [][]byte{parsed, described, described, rows, ready}, errkind.ServerLost},
		{"error without a code", simple, [][]byte{message('E', "SERROR\x00Mx\x00\x00"), ready}, errkind.ServerLost},
		{"error without an end", simple, [][]byte{message('E', "SERROR\x00C22000\x00Mx"), ready}, errkind.ServerLost},
		{"command tag without an end", simple, [][]byte{message('C', "SELECT 1"), ready}, errkind.ServerLost},
		{"bytes after a command tag", simple, [][]byte{message('C', "COMMIT\x00\x00"), ready}, errkind.ServerLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, serveRawAnswer(t, slices.Concat(tc.raw...), true))
			_, err := c.Relay(t.Context(), tc.cycle, maxAnswerBytes)
			is.Equal(errkind.Of(err), tc.kind)
			is.Equal(c.Closed(), err != nil)
		})
	}
}

// TestRelayUnusableConnection guards against reporting an unknown outcome
// although the connection was found to be unusable before the cycle was sent,
// and against mistaking messages that arrived earlier for the answer.
func TestRelayUnusableConnection(t *testing.T) {
	is := is.New(t)
	answer := append(message('C', "SELECT 1\x00"), message('Z', "I")...)

	c := connect(t, serveRawAnswer(t, answer, true)) // closes after the first answer
	_, err := c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, err = c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)

	c = connect(t, serveRawAnswer(t, append(answer, answer...), false)) // answers twice at once
	_, err = c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
	is.Equal(errkind.Of(err), errkind.ServerLost)
	is.True(c.Closed())

	c = connect(t, serveRawAnswers(t, answer, answer, false)) // answers again later
	_, err = c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, err = c.Relay(t.Context(), query("SELECT 1"), maxAnswerBytes)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c = connect(t, serveRawAnswer(t, answer, false))
	_, err = c.Relay(ctx, query("SELECT 1"), maxAnswerBytes)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
}

// TestRelayLongCycle guards against a deadlock in which the server blocks on
// sending a long answer while the cycle is still being written.
func TestRelayLongCycle(t *testing.T) {
	is := is.New(t)
	srv := startStandin(t, standin.Options{})
	c := connect(t, srv.Address())
	value := strings.Repeat("x", 100<<10)
	one := extended(t, "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v RETURNING v", "a", value)
	var cycle []byte
	const n = 200
	for range n {
		cycle = append(cycle, one[:len(one)-5]...)
		cycle = append(cycle, message('H', "")...) // Flush: makes the server answer at once
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := c.Relay(ctx, append(cycle, message('S', "")...), 64<<20)
	is.NoErr(err)
	is.Equal(messageTypes(answer.Messages), strings.Repeat("12DC", n)+"Z")
}

// TestRelayCommitPosition guards against a position that is before the commit of
// the cycle, and against acknowledging a commit on a fenced server.
func TestRelayCommitPosition(t *testing.T) {
	is := is.New(t)
	srv := startStandin(t, standin.Options{})
	c := connect(t, srv.Address())
	for i := range 5 {
		answer, pos, err := c.RelayCommit(t.Context(), extended(t, "INSERT INTO kv (k, v) VALUES ($1, 'x')", fmt.Sprint(i)), maxAnswerBytes)
		is.NoErr(err)
		is.Equal(messageTypes(answer.Messages), "12CZ")
		is.Equal(pos, logpos.Position{Term: 1, LSN: uint64(i + 2)})
	}
	_, _, err := c.RelayCommit(t.Context(), query("SELECT k, v FROM kv"), 10)
	is.Equal(errkind.Of(err), errkind.AnswerTooLarge)
	answer, _, err := c.RelayCommit(t.Context(), query("BEGIN; SELECT x FROM kv"), maxAnswerBytes)
	is.NoErr(err)
	is.Equal(answer.TxStatus, byte('E'))
	answer, _, err = c.RelayCommit(t.Context(), query("ROLLBACK"), maxAnswerBytes)
	is.NoErr(err)
	is.Equal(answer.TxStatus, byte('I'))

	_, err = connect(t, srv.Address()).Fence(t.Context(), 2)
	is.NoErr(err)
	answer, pos, err := c.RelayCommit(t.Context(), query("INSERT INTO kv (k, v) VALUES ('z', 'x')"), maxAnswerBytes)
	is.NoErr(err)
	is.Equal(answer.SQLState, "25006")
	is.Equal(pos, logpos.Position{})
	// A statement that was completed may have been committed before the fencing.
	for _, sql := range []string{"SELECT 1", "SELECT 1; INSERT INTO kv (k, v) VALUES ('z', 'x')"} {
		c = connect(t, srv.Address())
		_, _, err = c.RelayCommit(t.Context(), query(sql), maxAnswerBytes)
		is.Equal(errkind.Of(err), errkind.OutcomeUnknown)
		is.True(c.Closed())
	}
}

// TestConnectFails guards against errors of a kind other than ConnectFailed and
// against unlimited waiting during the startup.
func TestConnectFails(t *testing.T) {
	is := is.New(t)
	srv := startStandin(t, standin.Options{Connections: 1})
	opts := backend.ConnOptions{Address: srv.Address(), Database: "orders", User: "test", DialTimeout: 5 * time.Second}
	connect(t, srv.Address()) // occupies the only connection slot
	_, err := backend.Connect(t.Context(), opts)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
	is.True(strings.Contains(err.Error(), "53300"))
	is.NoErr(srv.SetFault(standin.FaultFreeze, "on"))
	opts.DialTimeout = 200 * time.Millisecond
	_, err = backend.Connect(t.Context(), opts)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
	is.NoErr(srv.SetFault(standin.FaultRefuse, "on"))
	_, err = backend.Connect(t.Context(), opts)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
	srv.Abort()
	_, err = backend.Connect(t.Context(), opts)
	is.Equal(errkind.Of(err), errkind.ConnectFailed)
}

// serveAnswers runs a server for benchmarks. It answers each Query with the same
// bytes, or with what a query of the proxy itself asks for, and allocates nothing,
// so that a benchmark counts only the client's allocations.
func serveAnswers(b *testing.B, answer []byte) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	ready := message('Z', "I")
	tag := tagResult("0123456789abcdef")
	tagAt := bytes.Index(tag, []byte("0123456789abcdef"))
	position := append(message('T', "\x00\x02term\x00"+columnType+"lsn\x00"+columnType),
		append(message('D', "\x00\x02\x00\x00\x00\x011\x00\x00\x00\x030/1"), message('C', "SELECT 1\x00")...)...)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		buf, out := make([]byte, 64<<10), make([]byte, 0, 64<<10)
		if _, err := nc.Read(buf); err != nil {
			return
		}
		if _, err := nc.Write(append(message('R', "\x00\x00\x00\x00"), ready...)); err != nil {
			return
		}
		for {
			n, err := nc.Read(buf)
			if err != nil {
				return
			}
			out = out[:0]
			for rest := buf[:n]; len(rest) > 0; {
				size := 1 + int(binary.BigEndian.Uint32(rest[1:]))
				sql := rest[5:size]
				rest = rest[size:]
				tagged, positioned := bytes.HasPrefix(sql, []byte("SELECT '")), bytes.Contains(sql, []byte("arbutusring_current_position"))
				if tagged {
					copy(tag[tagAt:], sql[len("SELECT '"):][:16])
					out = append(out, tag...)
				}
				if positioned {
					out = append(out, position...)
				}
				if !tagged && !positioned {
					out = append(out, answer...)
				}
				out = append(out, ready...)
			}
			if _, err := nc.Write(out); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String()
}

// columnType is the part of a column in a RowDescription after its name, for text.
const columnType = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"

// tagResult returns the result of a query for a tag.
func tagResult(tag string) []byte {
	return append(append(message('T', "\x00\x01arbutusring_tag\x00"+columnType),
		message('D', "\x00\x01\x00\x00\x00\x10"+tag)...), message('C', "SELECT 1\x00")...)
}

// BenchmarkRelay measures the client's time and allocations for one cycle, with
// and without reading the commit position.
func BenchmarkRelay(b *testing.B) {
	cycle := query("SELECT v FROM kv WHERE k = 'a'")
	answer := append(append(message('T', "\x00\x01v\x00"+columnType), message('D', "\x00\x01\x00\x00\x00\x011")...), message('C', "SELECT 1\x00")...)
	b.Run("read", func(b *testing.B) {
		c := connect(b, serveAnswers(b, answer))
		ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
		defer cancel()
		b.ReportAllocs()
		for b.Loop() {
			if _, err := c.Relay(ctx, cycle, maxAnswerBytes); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("commit", func(b *testing.B) {
		c := connect(b, serveAnswers(b, answer))
		ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
		defer cancel()
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := c.RelayCommit(ctx, cycle, maxAnswerBytes); err != nil {
				b.Fatal(err)
			}
		}
	})
}
