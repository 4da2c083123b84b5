package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// texts are contents that a codec may cut, trim or replace.
var texts = []string{
	"a\nb", "a\rb", "a\r\nb", "\n", "\r\n\r\n", "a\x00b", "\x00", "\xff\xfe\x80", "\xc3", " a ", "\ta\t", " ", "a\u2028b", "\ufeffa", "-", "\xc0", "nil",
}

// TestTextUnchanged guards against a statement, argument, session value or row that is
// cut, trimmed or replaced on its way through a connector.
func TestTextUnchanged(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	_, sender := in.roles()
	c := in.open(sender)
	in.backend.rows = append([]string{""}, append(texts, "")...)
	ctx := context.Background()
	for _, text := range texts {
		a := c.Execute(ctx, statement.Request{Kind: statement.Read, ID: "q" + text, Text: text})
		is.Equal(kindOf(a), errkind.OK)
		is.Equal(a.Rows, in.backend.rows)
		is.Equal(a.Receipt, "r-"+text)
		is.Equal(kindOf(c.Execute(ctx, statement.Request{Kind: statement.Set, Name: "n" + text, Value: text})), errkind.OK)
		is.Equal(kindOf(c.Execute(ctx, statement.Request{Kind: statement.Prepare, Name: "p", Value: "shape" + text})), errkind.OK)
		is.Equal(kindOf(c.Execute(ctx, statement.Request{Kind: statement.Execute, ID: "x", Name: "p", Value: text})), errkind.OK)
		is.Equal(kindOf(c.Execute(ctx, statement.Request{Kind: statement.Deallocate, Name: "p"})), errkind.OK)
		settings := map[string]string{"n" + text: text}
		is.Equal(in.backend.count(fmt.Sprintf("/ execute shape%s %s %v", text, text, settings)), 1)
		c = in.open(sender)
	}
	in.backend.rows = nil
	is.Equal(len(c.do(statement.Read, "no row").Rows), 0)
}

// TestLateAnswer guards against a late answer to a call that was given up that is taken
// for the answer to the next call on the stream.
func TestLateAnswer(t *testing.T) {
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
		r := bufio.NewReader(conn)
		for calls := 0; calls < 2; {
			f, err := receiveFrame(r)
			if err != nil {
				return
			}
			if f[len(f)-1] == 'c' {
				calls++
			}
		}
		_, _ = conn.Write(message('a', with(answerFields(), 5, "late")))
		_, _ = conn.Write(message('a', with(answerFields(), 0, 2)))
		_, _ = receiveFrame(r)
	}()
	client := relay.NewClient(relay.ClientOptions{Host: "e1"})
	defer client.Close()
	order := func() []string { return []string{ln.Addr().String()} }
	first := client.Connect(directoryrpc.Server{ID: "s", Born: 7}, "", order)
	r := gateway.RelayedStatement{Request: statement.Request{Kind: statement.Read, ID: "q1", Text: "t"}}
	_, err = first.DoRelayed(time.Now().Add(100*time.Millisecond), r)
	is.Equal(errkind.Of(err), errkind.ServerLost)
	is.NoErr(first.Close())
	second := client.Connect(directoryrpc.Server{ID: "s", Born: 7}, "", order)
	a, err := second.DoRelayed(time.Now().Add(2*time.Second), r)
	is.NoErr(err)
	is.Equal(a.Receipt, "receipt")
}
