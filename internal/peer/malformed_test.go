package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/peer"
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
			_, err = conn.Write([]byte(outer))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(800 * time.Millisecond))) // below the idle timeout
			_, err = io.Copy(io.Discard, conn)
			is.Equal(e.calls.Load(), int64(0))
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server has closed the connection
		})
	}
}
