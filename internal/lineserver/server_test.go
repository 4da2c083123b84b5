package lineserver_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/lineserver"
	"github.com/matryer/is"
)

// echoSession answers each line in upper case. The line "wait" waits until the
// caller has disconnected, "busy" makes the session not idle until the next
// line, and "bye" ends it.
type echoSession struct {
	mu     sync.Mutex
	busy   bool
	closed chan struct{}
}

func startServer(t *testing.T) (*lineserver.Server, chan *echoSession) {
	t.Helper()
	opened := make(chan *echoSession, 10)
	s := lineserver.New(lineserver.Options{Address: "127.0.0.1:0", MaxLineBytes: 1000, Handler: lineserver.Handler{
		Open: func(string) any {
			e := &echoSession{closed: make(chan struct{})}
			opened <- e
			return e
		},
		Line: func(ctx context.Context, session any, line []byte) ([]byte, bool) {
			e := session.(*echoSession)
			e.mu.Lock()
			e.busy = string(line) == "busy"
			e.mu.Unlock()
			if string(line) == "wait" {
				<-ctx.Done()
			}
			return []byte(strings.ToUpper(string(line)) + "\n"), string(line) != "bye"
		},
		TooLong: func(any) []byte { return []byte("TOO LONG\n") },
		Idle: func(session any) bool {
			e := session.(*echoSession)
			e.mu.Lock()
			defer e.mu.Unlock()
			return !e.busy
		},
		Close: func(session any) { close(session.(*echoSession).closed) },
	}})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, opened
}

func dial(t *testing.T, s *lineserver.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// TestLineSplitting guards against lines that are lost, run out of order or are
// split wrongly when the network segments the stream differently.
func TestLineSplitting(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t)
	c, r := dial(t, s)
	for _, part := range []string{"on", "e\r\ntw", "o\nthree\r\n", strings.Repeat("x\r\n", 50)} {
		_, err := c.Write([]byte(part))
		is.NoErr(err)
	}
	for _, want := range append([]string{"ONE", "TWO", "THREE"}, strings.Fields(strings.Repeat("X ", 50))...) {
		got, err := r.ReadString('\n')
		is.NoErr(err)
		is.Equal(got, want+"\n")
	}
}

// TestLineTooLong guards against a caller that exhausts the memory with one line.
func TestLineTooLong(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t)
	c, r := dial(t, s)
	_, err := c.Write([]byte(strings.Repeat("x", 5000)))
	is.NoErr(err)
	got, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "TOO LONG\n")
	_, err = r.ReadString('\n')
	is.True(err != nil) // closed
}

// TestCallerDisconnect guards against lines that keep running after their caller
// has disconnected, and against sessions that are never closed.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	s, opened := startServer(t)
	c, _ := dial(t, s)
	_, err := c.Write([]byte("wait\n"))
	is.NoErr(err)
	e := <-opened
	time.Sleep(20 * time.Millisecond)
	is.NoErr(c.Close())
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the session is not closed")
	}
}

// TestQuiesce guards against a planned stop that closes a session in use or keeps
// an idle one.
func TestQuiesce(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t)
	idle, idleReader := dial(t, s)
	busy, busyReader := dial(t, s)
	for c, r := range map[net.Conn]*bufio.Reader{idle: idleReader, busy: busyReader} {
		line := "one\n"
		if c == busy {
			line = "busy\n"
		}
		_, err := c.Write([]byte(line))
		is.NoErr(err)
		_, err = r.ReadString('\n')
		is.NoErr(err)
	}
	for deadline := time.Now().Add(5 * time.Second); s.Quiesce() > 1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Connections(), 1)
	_, err := idleReader.ReadString('\n')
	is.True(err != nil) // closed
	_, err = busy.Write([]byte("bye\n"))
	is.NoErr(err)
	got, err := busyReader.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "BYE\n")
}
