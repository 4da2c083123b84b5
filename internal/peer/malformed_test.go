package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// str encodes a string of up to 31 bytes.
func str(s string) string { return string([]byte{0xa0 | byte(len(s))}) + s }

// object encodes a map of up to 15 entries from keys and encoded values.
func object(pairs ...string) string {
	out := string([]byte{0x80 | byte(len(pairs)/2)})
	for i := 0; i < len(pairs); i += 2 {
		out += str(pairs[i]) + pairs[i+1]
	}
	return out
}

// request encodes a call of Echo.Echo with encoded arguments.
func request(seq, args string) string {
	return object("ServiceMethod", str("Echo.Echo"), "Seq", seq) + args
}

// send sends bytes to a server, which must close the connection because of them, and
// returns what it answered.
func send(t *testing.T, bytes string) (*echoService, string) {
	t.Helper()
	is := is.New(t)
	e, srv := new(echoService), peer.NewServer(peer.ServerOptions{})
	is.NoErr(srv.Register("Echo", e))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(ln) }()
	defer func() { is.NoErr(srv.Shutdown(context.Background())) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(conn.Close()) }()
	_, err = conn.Write([]byte(bytes))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(800 * time.Millisecond))) // below the idle timeout
	answer, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open; %d calls, answered %q", e.calls.Load(), answer)
	}
	return e, string(answer)
}

// TestRequestInsideMalformedRequest guards against the rest of a malformed request that
// is taken for a request of its own.
func TestRequestInsideMalformedRequest(t *testing.T) {
	inner := request("\x02", object("Data", "\xc4\x01x"))
	for name, outer := range map[string]string{
		"wrong type":   request("\x01", "\x82"+str("Wait")+str("")) + inner,
		"number":       request("\x01", object("Data", "\x05")) + inner,
		"not a map":    request("\x01", str("")) + inner,
		"wrong method": object("ServiceMethod", str("Echo.Other"), "Seq", "\x01") + "\x81\xc1" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := send(t, outer)
			is.New(t).Equal(e.calls.Load(), int64(0))
		})
	}
}

// TestMalformedResponse guards against a response without a sequence number that is taken
// for the answer to call 0, and against one without a body that is taken for an answer.
func TestMalformedResponse(t *testing.T) {
	body := object("Data", "\xc4\x01x")
	header := func(seq string) string {
		return object("ServiceMethod", str("Echo.Echo"), "Seq", seq, "Error", str(""))
	}
	for name, response := range map[string]string{
		"no sequence number":  object("ServiceMethod", str("Echo.Echo"), "Error", str("")) + body,
		"nil sequence number": header("\xc0") + body,
		"empty header":        "\x80" + body,
		"nil header":          "\xc0" + body,
		"header of a list":    "\x93" + str("") + "\x00" + str("") + body,
		"nil body":            header("\x00") + "\xc0" + header("\x01") + "\xc0",
		"list as body":        header("\x00") + "\x90" + header("\x01") + "\x90",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { is.NoErr(ln.Close()) }()
			ended := make(chan struct{})
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				time.Sleep(50 * time.Millisecond) // the heartbeat and the call, which have the numbers 0 and 1, are sent
				_, _ = conn.Write([]byte(response))
				_, _ = io.Copy(io.Discard, conn)
				close(ended)
			}()
			pool := peer.NewPool(peer.PoolOptions{HeartbeatInterval: time.Minute, IdleTimeout: 5 * time.Second})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			err = pool.Call(ctx, ln.Addr().String(), "Echo.Echo", &EchoArgs{}, new(EchoReply))
			is.Equal(errkind.Of(err), errkind.ServerLost)
			select {
			case <-ended: // the pool has closed the connection
			case <-time.After(time.Second):
				is.Fail()
			}
		})
	}
}

// TestMalformedRequestHeader guards against a request whose missing parts are taken for
// zero values.
func TestMalformedRequestHeader(t *testing.T) {
	for name, header := range map[string]string{
		"no sequence number":  object("ServiceMethod", str("Echo.Echo")),
		"nil sequence number": object("ServiceMethod", str("Echo.Echo"), "Seq", "\xc0"),
		"no method":           object("Seq", "\x01"),
		"list":                "\x92" + str("Echo.Echo") + "\x01",
	} {
		t.Run(name, func(t *testing.T) {
			e, answer := send(t, header+object())
			is := is.New(t)
			is.Equal(e.calls.Load(), int64(0))
			is.Equal(answer, "")
		})
	}
	for name, body := range map[string]string{"nil": "\xc0", "list": "\x92\x00\xc4\x00"} {
		t.Run("body "+name, func(t *testing.T) {
			e, _ := send(t, object("ServiceMethod", str("Echo.Echo"), "Seq", "\x01")+body)
			is.New(t).Equal(e.calls.Load(), int64(0))
		})
	}
}

// TestResponseOfOtherCall guards against a response that is taken for that of another
// call: in another order, twice, or after its call was given up.
func TestResponseOfOtherCall(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var received []byte
		// seq waits for the call with the data c and returns its number as it was sent.
		seq := func(c string) string {
			for {
				if at := bytes.Index(received, []byte("\xc4\x01"+c)); at >= 0 {
					n := bytes.LastIndex(received[:at], []byte("\xa3Seq")) + len("\xa3Seq")
					return string(received[n : n+1])
				}
				b := make([]byte, 4096)
				n, err := conn.Read(b)
				if err != nil {
					return "\x00"
				}
				received = append(received, b[:n]...)
			}
		}
		respond := func(c, data string) {
			_, _ = conn.Write([]byte(object("ServiceMethod", str("Echo.Echo"), "Seq", seq(c), "Error", str("")) + object("Data", "\xc4\x01"+data)))
		}
		seq("c") // which is sent after a was given up
		respond("a", "a")
		respond("a", "x")
		respond("c", "c")
		respond("c", "x")
		respond("b", "b")
		_, _ = io.Copy(io.Discard, conn)
	}()
	pool := peer.NewPool(peer.PoolOptions{HeartbeatInterval: time.Minute, IdleTimeout: 5 * time.Second})
	defer pool.Close()
	call := func(data string, timeout time.Duration) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		reply := new(EchoReply)
		err := pool.Call(ctx, ln.Addr().String(), "Echo.Echo", &EchoArgs{Data: []byte(data)}, reply)
		if err != nil {
			return "", err
		}
		return string(reply.Data), nil
	}
	_, err = call("a", 50*time.Millisecond)
	is.Equal(errkind.Of(err), errkind.ServerLost)
	b := make(chan string, 1)
	go func() {
		got, _ := call("b", 2*time.Second)
		b <- got
	}()
	time.Sleep(50 * time.Millisecond)
	got, err := call("c", 2*time.Second)
	is.NoErr(err)
	is.Equal(got, "c")
	is.Equal(<-b, "b")
}
