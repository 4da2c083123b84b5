package operator_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// serveBytes calls answer for each request, with its first line and the number of the
// request on its connection, and writes what it returns. It reads without net/http.
func serveBytes(t *testing.T, answer func(line string, n int) string) string {
	ln := listen(t)
	var conns sync.WaitGroup
	var open sync.Map // of net.Conn
	t.Cleanup(func() {
		_ = ln.Close()
		open.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		conns.Wait()
	})
	conns.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Store(c, nil)
			conns.Go(func() {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					line, err := r.ReadString('\n')
					length := 0
					for next := line; err == nil && next != "\r\n"; {
						next, err = r.ReadString('\n')
						_, _ = fmt.Sscanf(next, "Content-Length: %d", &length) // other lines don't match
					}
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, r, int64(length)) // an error shows at the next read
					_, _ = io.WriteString(c, answer(line, n))
				}
			})
		}
	})
	return ln.Addr().String()
}

func answerOf(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestRepeatedAnswer guards against an answer that a process sends twice, the second time
// late, and that is taken for the answer to the next request: a change that was refused
// would count as accepted.
func TestRepeatedAnswer(t *testing.T) {
	is := is.New(t)
	const applied, refused = `{"version":3}`, `{"kind":"not_leader","detail":"no leader"}`
	address := serveBytes(t, func(line string, n int) string {
		switch {
		case n > 0:
			return answerOf("200 OK", applied) // the first answer of this connection again
		case strings.HasPrefix(line, "POST /v1/apply "):
			return answerOf("200 OK", applied)
		}
		return answerOf("503 Service Unavailable", refused)
	})
	c := operator.Client{Address: address}
	reply, err := c.Apply(t.Context(), &controlrpc.ApplyArgs{ChangeID: "a"})
	is.NoErr(err)
	is.Equal(reply.Version, uint64(3))
	for range 3 {
		_, err = c.Drain(t.Context(), &controlrpc.DrainArgs{ID: "s1"})
		is.Equal(errkind.Of(err), errkind.NotLeader)
		_, err = c.Failover(t.Context(), &controlrpc.FailoverArgs{Group: "g"})
		is.Equal(errkind.Of(err), errkind.NotLeader)
	}
}

// TestAnswersOfOthers guards against an answer that isn't that of the process, and counts
// as an accepted change.
func TestAnswersOfOthers(t *testing.T) {
	for _, tc := range []struct{ name, answer string }{
		{"redirect that makes it a read", "HTTP/1.1 302 Found\r\nLocation: /v1/state\r\nContent-Length: 0\r\n\r\n"},
		{"redirect that repeats it", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/state\r\nContent-Length: 0\r\n\r\n"},
		{"no version", answerOf("200 OK", `{}`)},
		{"null", answerOf("200 OK", `null`)},
		{"two documents", answerOf("200 OK", `{"version":3}{"version":4}`)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			address := serveBytes(t, func(line string, _ int) string {
				if strings.HasPrefix(line, "POST /v1/apply ") {
					return tc.answer
				}
				return answerOf("200 OK", `{"version":3}`)
			})
			_, err := operator.Client{Address: address}.Apply(t.Context(), &controlrpc.ApplyArgs{ChangeID: "a"})
			is.Equal(errkind.Of(err), errkind.OutcomeUnknown)
		})
	}
}

// TestTextIsSentUnchanged guards against a change of something else than was named: JSON
// has no form for bytes that aren't UTF-8.
func TestTextIsSentUnchanged(t *testing.T) {
	is := is.New(t)
	sent := make(chan string, 10)
	address := serveBytes(t, func(line string, _ int) string {
		sent <- line
		return answerOf("200 OK", `{"version":3}`)
	})
	c := operator.Client{Address: address}
	for _, text := range []string{"s\xff", "\xed\xa0\x80", "s\xc3"} {
		_, err := c.Drain(t.Context(), &controlrpc.DrainArgs{ID: text})
		is.Equal(errkind.Of(err), errkind.BadRequest)
		_, err = c.Apply(t.Context(), &controlrpc.ApplyArgs{Text: text})
		is.Equal(errkind.Of(err), errkind.BadRequest)
	}
	is.Equal(len(sent), 0)
	for _, text := range []string{"s\ufffd", `s\ufffd`, "<é\u2028&>\x00"} {
		_, err := c.Drain(t.Context(), &controlrpc.DrainArgs{ID: text})
		is.NoErr(err)
	}
	is.Equal(len(sent), 3)
}
