package relay_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// list is a MessagePack array, object a map in the given order.
type (
	list   []any
	object []any
)

// pack encodes a value without the code of the product.
func pack(v any) []byte {
	switch v := v.(type) {
	case nil:
		return []byte{0xc0}
	case bool:
		if v {
			return []byte{0xc3}
		}
		return []byte{0xc2}
	case int:
		return binary.BigEndian.AppendUint64([]byte{0xd3}, uint64(v))
	case string:
		return append(binary.BigEndian.AppendUint32([]byte{0xdb}, uint32(len(v))), v...)
	case list:
		out := binary.BigEndian.AppendUint32([]byte{0xdd}, uint32(len(v)))
		for _, e := range v {
			out = append(out, pack(e)...)
		}
		return out
	case object:
		out := binary.BigEndian.AppendUint32([]byte{0xdf}, uint32(len(v)/2))
		for _, e := range v {
			out = append(out, pack(e)...)
		}
		return out
	}
	panic("not encoded")
}

// message returns the frame of a message.
func message(kind byte, v any) []byte { return frame(append(pack(v), kind)) }

// receiveFrame reads a frame that is not a heartbeat.
func receiveFrame(r *bufio.Reader) ([]byte, error) {
	for {
		n, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, err
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(r, b); err != nil || n > 0 {
			return b, err
		}
	}
}

// answerWith starts a connector that answers the first call with bytes, and returns its
// address and a channel that is closed when the sender has closed the stream.
func answerWith(t *testing.T, bytes []byte) (address string, ended chan struct{}) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	ended = make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for _, kind := range []byte{'h', 'c'} {
			if f, err := receiveFrame(r); err != nil || f[len(f)-1] != kind {
				return
			}
		}
		_, _ = conn.Write(bytes)
		_, _ = io.Copy(io.Discard, r)
		close(ended)
	}()
	return ln.Addr().String(), ended
}

// answerFields is an answer to call 1 with one row.
func answerFields() list {
	return list{1, "", false, "", int('I'), "receipt", list{"row"}, list{3, 4}, "", ""}
}

// with returns a copy of fields in which one is replaced.
func with(fields list, at int, v any) list {
	out := slices.Clone(fields)
	out[at] = v
	return out
}

// TestMalformedAnswer guards against a part of an answer, or nothing, that is taken for a
// whole one.
func TestMalformedAnswer(t *testing.T) {
	whole := answerFields()
	for name, bytes := range map[string][]byte{
		"id only":           message('a', list{1}),
		"cut after state":   message('a', whole[:5]),
		"no state":          message('a', with(whole, 4, nil)),
		"state unknown":     message('a', with(whole, 4, int('X'))),
		"no receipt":        message('a', with(whole, 5, "")),
		"position of one":   message('a', with(whole, 7, list{3})),
		"position of three": message('a', with(whole, 7, list{3, 4, 5})),
		"number as row":     message('a', with(whole, 6, list{"row", 7})),
		"map":               message('a', object{"ID", 1, "State", int('I'), "Receipt", "receipt"}),
		"bytes after it":    frame(append(append(pack(whole), 0xc0), 'a')),
		"two in a frame":    frame(append(append(pack(whole), pack(whole)...), 'a')),
		"length too small":  append([]byte{byte(len(pack(whole)))}, append(pack(whole), 'a')...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, ended := answerWith(t, bytes)
			client := relay.NewClient(relay.ClientOptions{Host: "e1"})
			defer client.Close()
			conn := client.Connect(directoryrpc.Server{ID: "s", Born: 7}, "", func() []string { return []string{address} })
			r := gateway.RelayedStatement{Request: statement.Request{Kind: statement.Read, ID: "q1", Text: "t"}}
			a, err := conn.DoRelayed(time.Now().Add(2*time.Second), r)
			is.Equal(a.Receipt, "")
			is.Equal(errkind.Of(err), errkind.ServerLost) // the outcome is unknown
			is.True(!conn.Usable())
			if name == "no receipt" || name == "cut after state" {
				return // as if the server had sent none
			}
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Error("the stream is still open")
			}
		})
	}
}

// TestAnswerOfOtherCall guards against an answer that is taken for that of another call
// because it is the next to arrive: one of another call, or one that arrives twice.
func TestAnswerOfOtherCall(t *testing.T) {
	is := is.New(t)
	whole := answerFields()
	bytes := message('a', with(with(whole, 0, 2), 5, "other"))
	bytes = append(bytes, message('a', with(with(whole, 0, 0), 5, "none"))...)
	bytes = append(bytes, message('a', whole)...)
	bytes = append(bytes, message('a', with(whole, 5, "again"))...)
	address, _ := answerWith(t, bytes)
	client := relay.NewClient(relay.ClientOptions{Host: "e1"})
	defer client.Close()
	conn := client.Connect(directoryrpc.Server{ID: "s", Born: 7}, "", func() []string { return []string{address} })
	r := gateway.RelayedStatement{Request: statement.Request{Kind: statement.Read, ID: "q1", Text: "t"}}
	a, err := conn.DoRelayed(time.Now().Add(2*time.Second), r)
	is.NoErr(err)
	is.Equal(a.Receipt, "receipt")
	is.Equal(a.Rows, []string{"row"})
	_, err = conn.DoRelayed(time.Now().Add(200*time.Millisecond), r) // call 2, which is not answered any more
	is.Equal(errkind.Of(err), errkind.ServerLost)
}
