package owner_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/owner"
)

// rawServer is a backend server that reads and writes its own bytes on TCP
// connections. It can repeat the answers to an earlier statement late.
type rawServer struct {
	ln net.Listener

	mu            sync.Mutex
	lsn           uint64
	executed      []string // statements of callers
	recorded      [][]byte // answers since the last recorded statement of a caller
	recordOf      string   // statement whose answers are recorded
	repeatAt      string   // statement before whose answer the recorded ones are sent again
	repeat        int      // how many of the recorded answers are sent again
	inTransaction []string // queries, also of the proxy, from a BEGIN on
	async         []byte   // sent after each request, at once and again in a segment of its own
	repeatNext    bool     // the recorded answers are sent again before the next answer
}

func newRawServer(t testing.TB) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{ln: ln, lsn: 10}
	t.Cleanup(func() { _ = ln.Close() })
	go s.loop()
	return s
}

func (s *rawServer) loop() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(nc)
	}
}

func (s *rawServer) connect(ctx context.Context, _, _ string) (owner.Conn, error) {
	return backend.Connect(ctx, backend.ConnOptions{Address: s.ln.Addr().String(), Database: "orders", User: "test", DialTimeout: 5 * time.Second})
}

// startRawOwner runs an owner whose only server is a rawServer.
func startRawOwner(t testing.TB) (*harness, *rawServer) {
	s := newRawServer(t)
	r := newHarness(t, owner.Options{Connect: s.connect})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return r, s
}

// repeatLate makes the server send the first n answers that it gave for the
// statement earlier again, immediately before the answer to the statement at.
// The answers for a statement are its own and those to what the proxy sends in
// the same write.
func (s *rawServer) repeatLate(earlier string, n int, at string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOf, s.repeat, s.repeatAt, s.recorded = earlier, n, at, nil
}

func (s *rawServer) runCount(sql string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.executed {
		if e == sql {
			n++
		}
	}
	return n
}

func readRaw(r io.Reader, typed bool) (byte, []byte, error) {
	var typ [1]byte
	if typed {
		if _, err := io.ReadFull(r, typ[:]); err != nil {
			return 0, nil, err
		}
	}
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(length[:])-4)
	_, err := io.ReadFull(r, body)
	return typ[0], body, err
}

func (s *rawServer) serve(nc net.Conn) {
	defer nc.Close()
	if _, _, err := readRaw(nc, false); err != nil {
		return
	}
	if _, err := nc.Write(append(message('R', "\x00\x00\x00\x00"), message('Z', "I")...)); err != nil {
		return
	}
	status := byte('I')
	recording := false
	for {
		typ, body, err := readRaw(nc, true)
		if err != nil {
			return
		}
		var out []byte
		switch typ {
		case 'Q':
			out = s.answer(string(body[:len(body)-1]), &status, &recording)
		case 'D':
			out = message('E', "SERROR\x00VERROR\x00C26000\x00Mprepared statement \""+string(body[1:len(body)-1])+"\" does not exist\x00\x00")
			s.record(recording, out)
		case 'S':
			out = message('Z', string(status))
			s.record(recording, out)
		default:
			return
		}
		var async []byte
		if strings.Contains(string(body), "arbutusring_") {
			s.mu.Lock()
			async = s.async
			s.mu.Unlock()
		}
		if _, err := nc.Write(append(out, async...)); err != nil {
			return
		}
		if len(async) > 0 {
			time.Sleep(2 * time.Millisecond)
			_, _ = nc.Write(async) // the connection may be closed
		}
	}
}

func (s *rawServer) record(recording bool, out []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if recording {
		s.recorded = append(s.recorded, out)
	}
}

// answer returns the answer to one Query, with the repeated answers before it.
func (s *rawServer) answer(text string, status *byte, recording *bool) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, late []byte
	if *status != 'I' || text == "BEGIN" {
		s.inTransaction = append(s.inTransaction, text)
	}
	if s.repeatNext {
		s.repeatNext = false
		late = append(late, s.recorded[0]...)
	}
	ofProxy := strings.Contains(text, "arbutusring_")
	if !ofProxy {
		s.executed = append(s.executed, text)
		if text == s.repeatAt {
			for _, a := range s.recorded[:min(s.repeat, len(s.recorded))] {
				late = append(late, a...)
			}
			s.repeatAt = ""
		}
		*recording = text == s.recordOf
	}
	for _, sql := range strings.Split(text, "; ") {
		part, ok := s.execute(sql, status)
		out = append(out, part...)
		if !ok {
			break
		}
	}
	out = append(out, message('Z', string(*status))...)
	if *recording {
		s.recorded = append(s.recorded, out)
	}
	return append(late, out...)
}

func (s *rawServer) execute(sql string, status *byte) (out []byte, ok bool) {
	word, rest, _ := strings.Cut(sql, " ")
	if *status == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return rawError("25P02", "current transaction is aborted"), false
	}
	complete := func(tag string) []byte { return message('C', tag+"\x00") }
	position := fmt.Sprintf("0/%X", s.lsn)
	switch {
	case word == "BEGIN" && rest != "":
		return rawError("42601", "one"), false
	case word == "BEGIN":
		*status = 'T'
		return complete(word), true
	case word == "COMMIT" && *status == 'E', word == "ROLLBACK":
		*status = 'I'
		return complete("ROLLBACK"), true
	case word == "COMMIT":
		*status = 'I'
		s.lsn++
		return complete(word), true
	case word == "FAIL":
		if *status == 'T' {
			*status = 'E'
		}
		return rawError("22000", rest), false
	case word == "INSERT":
		if *status == 'I' {
			s.lsn++
		}
		return complete("INSERT 0 1"), true
	case strings.Contains(sql, "arbutusring_current_position"):
		return rawRow([]string{"term", "lsn"}, "1", position), true
	case strings.Contains(sql, "arbutusring_replication"):
		return rawRow([]string{"a", "b", "c", "d", "e"}, "s2", "1", position, "1", position), true
	case strings.Contains(sql, "arbutusring_status"):
		return rawRow([]string{"a", "b", "c", "d", "e", "f", "g"}, "s1", "1", "f", "1", position, "1", position), true
	}
	_, literal, _ := strings.Cut(sql, "'")
	literal, alias, _ := strings.Cut(literal, "'")
	name := "?column?"
	if _, as, ok := strings.Cut(alias, " AS "); ok {
		name = as
	}
	return rawRow([]string{name}, literal), true
}

func rawError(code, text string) []byte {
	return message('E', "SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

// rawRow returns RowDescription, DataRow and CommandComplete for one row of text.
func rawRow(names []string, values ...string) []byte {
	description := string(binary.BigEndian.AppendUint16(nil, uint16(len(names))))
	row := description
	for i, v := range values {
		description += names[i] + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"
		row += string(binary.BigEndian.AppendUint32(nil, uint32(len(v)))) + v
	}
	return append(append(message('T', description), message('D', row)...), message('C', "SELECT 1\x00")...)
}
