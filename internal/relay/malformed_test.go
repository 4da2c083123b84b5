package relay_test

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
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

// callFields is a read, as call 1 on logical connection 1.
func callFields() list {
	return list{1, 1, list{"s", 7, ""}, 0, 5000, 0, 0, false, nil, 0, "", false, int(statement.Read), "q1", "text", false, "", "", nil}
}

// TestMalformedCall guards against a statement of which a part is missing, has another
// meaning or is ignored, and is run nevertheless.
func TestMalformedCall(t *testing.T) {
	whole := callFields()
	execute := with(with(with(whole, 12, int(statement.Execute)), 14, ""), 17, "arguments")
	prepared := func(conn int, text string) []byte {
		return message('c', with(with(with(with(execute, 0, conn), 1, conn), 9, 1), 10, text))
	}
	hello := message('h', list{1, "bad", 0})
	refused := map[string]bool{"cut after kind": true, "cut after id": true, "no text": true, "no id": true, "execute without a text": true}
	for name, bytes := range map[string][]byte{
		"cut after kind":           message('c', whole[:13]),
		"cut after id":             message('c', whole[:14]),
		"no text":                  message('c', with(whole, 14, nil)),
		"no id":                    message('c', with(whole, 13, "")),
		"position of one":          message('c', with(whole, 18, list{3})),
		"position of three":        message('c', with(whole, 18, list{3, 4, 5})),
		"execute without a text":   message('c', execute),
		"kind out of range":        message('c', with(whole, 12, 200)),
		"kind of two bytes":        message('c', with(whole, 12, 256+int(statement.Read))),
		"id of five bytes":         message('c', with(whole, 0, 1<<32)),
		"sent before the stream":   message('c', with(whole, 3, -1)),
		"sent far in the future":   message('c', with(whole, 3, 1<<62)),
		"map":                      message('c', object{"ID", 1, "Conn", 1, "Target", list{"s", 7, ""}, "Remaining", 5000, "Kind", int(statement.Read), "Caller", "q1", "Text", "text"}),
		"bytes after it":           frame(append(append(pack(whole), 0xc0), 'c')),
		"prepared id with 2 texts": append(prepared(1, "one"), prepared(2, "two")...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := install(t, 3, 2)
			connectors, _ := in.roles()
			raw := rawPeer(is, connectors[0].address)
			defer func() { is.NoErr(raw.Close()) }()
			_, err := raw.Write(append(slices.Clone(hello), bytes...))
			is.NoErr(err)
			is.NoErr(raw.SetReadDeadline(time.Now().Add(time.Second)))
			if refused[name] {
				kind, err := relay.ReadAnswer(raw)
				is.NoErr(err)
				is.Equal(kind, errkind.BadRequest)
				is.Equal(in.backend.count(""), 0)
				return
			}
			_, err = io.Copy(io.Discard, raw)
			is.Equal(in.backend.count("read"), 0)
			is.Equal(in.backend.count("two"), 0)
			is.True(err == nil || !errors.Is(err, os.ErrDeadlineExceeded)) // the connector has ended the stream
		})
	}
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		in := install(t, 3, 2)
		connectors, _ := in.roles()
		raw := rawPeer(is, connectors[0].address)
		defer func() { is.NoErr(raw.Close()) }()
		later := append(slices.Clone(whole), "of a later release")
		_, err := raw.Write(append(slices.Clone(hello), message('c', later)...))
		is.NoErr(err)
		a, err := relay.ReadAnswer(raw)
		is.NoErr(err)
		is.Equal(a, errkind.OK)
		is.Equal(in.backend.count("read text"), 1)
	})
}
