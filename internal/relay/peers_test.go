package relay_test

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// rawPeer is a stream to a connector whose bytes the test chooses.
func rawPeer(is *is.I, address string) *net.TCPConn {
	is.Helper()
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	return c.(*net.TCPConn)
}

func frame(body []byte) []byte { return append(binary.AppendUvarint(nil, uint64(len(body))), body...) }

// TestMalformedPeers guards against bytes of one peer that end the process or a stream
// of another host, and against a declared length that takes memory.
func TestMalformedPeers(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, sender := in.roles()
	c := in.open(sender)
	c.do(statement.Begin, "begin")
	is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
	hello := frame(relay.EncodeHello("bad"))
	for name, bytes := range map[string][]byte{
		"length over the limit": binary.AppendUvarint(nil, 1<<40),
		"endless length":        []byte(strings.Repeat("\xff", 12)),
		"no hello":              frame([]byte("\x90c")),
		"other protocol":        []byte("GET / HTTP/1.1\r\n\r\n"),
		"unknown kind":          append(hello, frame([]byte("\x90?"))...),
		"wrong types":           append(hello, frame([]byte("\x95\xa1a\xa1b\xa1c\xa1d\xa1ec"))...),
		"huge array":            append(hello, frame([]byte("\xdd\xff\xff\xff\xffc"))...),
		"huge string":           append(hello, frame([]byte("\x91\xdb\xff\xff\xff\xffc"))...),
		"kind only":             append(hello, frame([]byte("c"))...),
		"call without target":   append(hello, frame(relay.EncodeCall(1, 1, statement.Unknown))...),
		"not a relayed kind":    append(hello, frame(relay.EncodeCall(1, 1, statement.Demote))...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := rawPeer(is, connectors[0].address)
			defer func() { is.NoErr(raw.Close()) }()
			_, err := raw.Write(bytes)
			is.NoErr(err)
			is.NoErr(raw.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.Copy(io.Discard, raw)
			is.True(err == nil || !errors.Is(err, os.ErrDeadlineExceeded)) // the connector has ended the stream
		})
	}
	is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.OK)
}

// TestSlowPeer guards against a peer that does not read its answers and so blocks
// others or takes memory without bound.
func TestSlowPeer(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, sender := in.roles()
	in.backend.rows = []string{strings.Repeat("y", 3<<20)}
	raw := rawPeer(is, connectors[0].address)
	defer func() { is.NoErr(raw.Close()) }()
	is.NoErr(raw.SetReadBuffer(4096))
	_, err := raw.Write(frame(relay.EncodeHello("slow")))
	is.NoErr(err)
	for i := range 10 {
		if _, err := raw.Write(frame(relay.EncodeCall(uint32(i+1), uint32(i+1), statement.Read))); err != nil {
			break // the connector has ended the stream already
		}
	}
	c := in.open(sender)
	for range 20 {
		begun := time.Now()
		is.Equal(kindOf(c.do(statement.Write, "w")), errkind.OK)
		is.True(time.Since(begun) < time.Second)
	}
	eventually(is, func() bool {
		_, err := raw.Write([]byte{0}) // a heartbeat
		return err != nil
	})
}

// TestLateFrame guards against a statement that runs long after its sender has given
// it up, because the connector was suspended or the frame waited in a queue.
func TestLateFrame(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	connectors, _ := in.roles()
	raw := rawPeer(is, connectors[0].address)
	defer func() { is.NoErr(raw.Close()) }()
	_, err := raw.Write(frame(relay.EncodeHello("late")))
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	_, err = raw.Write(frame(relay.EncodeCallSent(1, 1, statement.Write, 0, 200))) // sent with hello, valid for 200 ms
	is.NoErr(err)
	a, err := relay.ReadAnswer(raw)
	is.NoErr(err)
	is.Equal(a, errkind.DeadlineExceeded)
	_, err = raw.Write(frame(relay.EncodeCallSent(2, 2, statement.Write, 0, 2000)))
	is.NoErr(err)
	a, err = relay.ReadAnswer(raw)
	is.NoErr(err)
	is.Equal(a, errkind.OK)
	is.Equal(in.backend.count(" write "), 1)
}

// TestBytes guards against frames and heartbeats that grow: a relayed statement costs
// less than 100 bytes besides its text, and an unused stream a byte in five seconds.
func TestBytes(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	_, sender := in.roles()
	c := in.open(sender)
	is.Equal(kindOf(c.do(statement.Write, "warm")), errkind.OK)
	sent, received := sender.links.bytes()
	for range 20 {
		is.Equal(kindOf(c.do(statement.Write, strings.Repeat("t", 100))), errkind.OK)
	}
	sent2, received2 := sender.links.bytes()
	t.Logf("bytes for a statement of 100 bytes: %d sent, %d received", (sent2-sent)/20, (received2-received)/20)
	is.True((sent2-sent)/20 < 200)
	is.True((received2-received)/20 < 200)
	time.Sleep(time.Second) // the last heartbeat of the stream in use may be under way
	sent2, received2 = sender.links.bytes()
	time.Sleep(4 * time.Second)
	sent3, received3 := sender.links.bytes()
	is.True(sent3-sent2 <= 1 && received3-received2 <= 1)
	time.Sleep(3 * time.Second) // longer than a heartbeat takes, on a busy machine too
	sent3, received3 = sender.links.bytes()
	is.True(sent3-sent2 <= 2 && sent3 > sent2)
	is.True(received3-received2 <= 2 && received3 > received2)
	is.Equal(sender.client.Streams(), 1) // the stream has not been taken as failed
}
