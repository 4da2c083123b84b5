package lineserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/lineserver"
	"github.com/matryer/is"
)

// echoSession answers each line in upper case. The line "wait" waits until the
// caller has disconnected, "busy" makes the session not idle until the next
// line, "panic" panics, and "bye" ends it.
type echoSession struct {
	mu     sync.Mutex
	busy   bool
	closed chan struct{}
	onIdle func() // called when the server asks whether the session is idle; may be nil
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
		Line: func(ctx context.Context, session any, l lineserver.Line) ([]byte, bool) {
			e, line := session.(*echoSession), l.Text
			e.mu.Lock()
			e.busy = string(line) == "busy"
			e.mu.Unlock()
			switch string(line) {
			case "wait":
				<-ctx.Done()
			case "panic":
				panic("test")
			}
			return []byte(strings.ToUpper(string(line)) + "\n"), string(line) != "bye"
		},
		Refuse: func(r limit.Reason) []byte { return []byte("REFUSED " + r.String() + "\n") },
		Idle: func(session any) bool {
			e := session.(*echoSession)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.onIdle != nil {
				e.onIdle()
			}
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

// TestLineSplitting guards against lines that are lost, run out of order, end at a CR or
// LF alone, or are split wrongly when the network segments the stream differently.
func TestLineSplitting(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t)
	c, r := dial(t, s)
	for _, part := range []string{"on", "e\r\ntw", "o\nthree\r", "\n", "f\rour\r", "\r\n", strings.Repeat("x\r\n", 50)} {
		_, err := c.Write([]byte(part))
		is.NoErr(err)
	}
	for _, want := range append([]string{"ONE", "TWO\nTHREE", "F\rOUR\r"}, strings.Fields(strings.Repeat("X ", 50))...) {
		got := make([]byte, len(want)+1)
		_, err := io.ReadFull(r, got)
		is.NoErr(err)
		is.Equal(string(got), want+"\n")
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
	is.Equal(got, "REFUSED too_large\n")
	_, err = r.ReadString('\n')
	is.True(err != nil) // closed
}

// TestCallerDisconnect guards against lines that keep running after their caller
// has disconnected, and against sessions that are never closed.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	s, opened := startServer(t)
	c, _ := dial(t, s)
	_, err := c.Write([]byte("wait\r\n"))
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
		line := "one\r\n"
		if c == busy {
			line = "busy\r\n"
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
	_, err = busy.Write([]byte("bye\r\n"))
	is.NoErr(err)
	got, err := busyReader.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "BYE\n")
}

// TestQuiesceAnswersArrivedLine guards against a planned stop that closes a
// connection whose next line has arrived and was not read yet.
func TestQuiesceAnswersArrivedLine(t *testing.T) {
	is := is.New(t)
	s, opened := startServer(t)
	c, r := dial(t, s)
	e := <-opened
	e.mu.Lock()
	e.onIdle = func() {
		e.onIdle = nil
		_, err := c.Write([]byte("late\r\n"))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // the line is in the socket of the server
	}
	e.mu.Unlock()
	s.Quiesce()
	got, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "LATE\n")
}

// TestPanicEndsOneConnection guards against a panic of one session that ends the
// process, or leaves the connection or the session open.
func TestPanicEndsOneConnection(t *testing.T) {
	is := is.New(t)
	s, opened := startServer(t)
	c, r := dial(t, s)
	e := <-opened
	_, err := c.Write([]byte("panic\r\nnext\r\n"))
	is.NoErr(err)
	_, err = r.ReadString('\n')
	is.True(err != nil) // closed without an answer
	is.NoErr(c.Close())
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the session is not closed")
	}
	other, otherReader := dial(t, s)
	_, err = other.Write([]byte("one\r\n"))
	is.NoErr(err)
	got, err := otherReader.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "ONE\n")
}

// TestCancelLines guards against a planned stop that leaves a waiting line without
// an answer.
func TestCancelLines(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t)
	c, r := dial(t, s)
	_, err := c.Write([]byte("wait\r\n"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	s.CancelLines()
	got, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "WAIT\n")
}
