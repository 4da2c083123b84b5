package peer_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/matryer/is"
)

// streams returns both ends of a stream on loopback, with heartbeats every 40 ms.
func streams(t *testing.T, is *is.I) (a, b *peer.Stream, conn net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	conn, err = net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	other, err := ln.Accept()
	is.NoErr(err)
	opts := peer.StreamOptions{MaxFrameBytes: 1 << 20, HeartbeatInterval: 40 * time.Millisecond, IdleTimeout: 120 * time.Millisecond}
	a, b = peer.NewStream(conn, opts), peer.NewStream(other, opts)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return a, b, conn
}

// TestStream guards against frames that are lost, changed or mixed.
func TestStream(t *testing.T) {
	is := is.New(t)
	a, b, _ := streams(t, is)
	large := bytes.Repeat([]byte("x"), 1<<20)
	for _, f := range [][]byte{[]byte("one"), large, []byte("two")} {
		_, err := a.Send(f)
		is.NoErr(err)
	}
	for _, f := range [][]byte{[]byte("one"), large, []byte("two")} {
		got, err := b.Receive()
		is.NoErr(err)
		is.True(bytes.Equal(got, f))
	}
	_, err := a.Send(append(large, 'y'))
	is.NoErr(err)
	_, err = b.Receive()
	is.Equal(err, peer.ErrFrameTooLarge)
}

// TestSilentPeer guards against a silent peer that is noticed late by a host that waits
// for it, and against a quiet stream that is taken as failed.
func TestSilentPeer(t *testing.T) {
	is := is.New(t)
	a, b, _ := streams(t, is)
	ended := make(chan error, 2)
	for _, s := range []*peer.Stream{a, b} {
		go func() {
			_, err := s.Receive()
			ended <- err
		}()
	}
	a.Use(1)
	b.Use(1)
	time.Sleep(300 * time.Millisecond) // heartbeats keep it alive
	a.Use(-1)
	b.Use(-1)
	time.Sleep(700 * time.Millisecond)
	is.Equal(len(ended), 0)

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(silent.Close()) }()
	conn, err := net.Dial("tcp", silent.Addr().String())
	is.NoErr(err)
	s := peer.NewStream(conn, peer.StreamOptions{MaxFrameBytes: 10, HeartbeatInterval: 40 * time.Millisecond, IdleTimeout: 120 * time.Millisecond})
	defer s.Close()
	time.AfterFunc(100*time.Millisecond, func() {
		s.Use(1)
		s.Expect()
		s.Use(-1) // given up
	})
	begun := time.Now()
	_, err = s.Receive()
	is.True(err != nil)
	is.True(time.Since(begun) < 500*time.Millisecond) // unused, it would take 600 ms
}

// TestSlowReader guards against a sender that blocks or takes memory without bound
// because its peer does not read, and against a frame that is reported as not written
// although the peer may have it.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	a, _, conn := streams(t, is)
	frame := bytes.Repeat([]byte("x"), 1<<20)
	var last uint64
	var err error
	for range 40 {
		begun := time.Now()
		var end uint64
		if end, err = a.Send(frame); err != nil {
			break
		}
		is.True(time.Since(begun) < 500*time.Millisecond)
		last = end
	}
	is.Equal(err, peer.ErrStreamFull)
	is.NoErr(conn.Close())
	<-a.Ended()
	is.True(a.Written() < last)
	_, err = a.Send(frame)
	is.Equal(err, peer.ErrStreamClosed)
}
