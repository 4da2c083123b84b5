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

// TestRefusedText guards against text that the protocol of the server can't carry and
// that costs a connection of the connector, counts against the server, or is sent again.
func TestRefusedText(t *testing.T) {
	const text = "a\r\nb"
	for name, r := range map[string]statement.Request{
		"text":      {Kind: statement.Write, ID: "x", Text: text},
		"id":        {Kind: statement.Write, ID: text, Text: "t"},
		"arguments": {Kind: statement.Execute, ID: "x", Name: "p", Value: text},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := install(t, 6, 4)
			in.backend.refused = "\r\n"
			connectors, sender := in.roles()
			c := in.open(sender)
			c.Execute(t.Context(), statement.Request{Kind: statement.Prepare, Name: "p", Value: "shape"})
			is.Equal(kindOf(c.do(statement.Write, "w1")), errkind.OK)
			for range 5 {
				is.Equal(kindOf(c.Execute(t.Context(), r)), errkind.BadRequest)
			}
			is.Equal(kindOf(c.do(statement.Write, "w2")), errkind.OK)
			is.Equal(in.backend.refusals, 5) // each was tried once
			is.Equal(in.backend.opened, 1)
			is.Equal(connectors[0].g.Dump().Members[0].FailingFor, time.Duration(0))
			c.do(statement.Begin, "begin")
			is.Equal(kindOf(c.do(statement.Write, "w3")), errkind.OK)
			is.Equal(kindOf(c.Execute(t.Context(), r)).Info().Outcome, errkind.NotRun)
			is.Equal(kindOf(c.do(statement.Commit, "commit")), errkind.TransactionLost)
			is.Equal(in.backend.count("commit"), 0)
			eventually(is, func() bool { return in.backend.connections("") <= 1 })
		})
	}
}

// TestRefusedSessionState guards against a session value of a peer that can't be sent and
// counts against the server, or is taken for one that the connection has.
func TestRefusedSessionState(t *testing.T) {
	is := is.New(t)
	in := install(t, 3, 2)
	in.backend.refused = "\r\n"
	connectors, _ := in.roles()
	raw := rawPeer(is, connectors[0].address)
	defer func() { is.NoErr(raw.Close()) }()
	call := func(id int, value string) list {
		return with(with(with(with(callFields(), 0, id), 1, id), 7, true), 8, object{"zone", value})
	}
	_, err := raw.Write(append(message('h', list{1, "peer", 0}), message('c', call(1, "a\r\nb"))...))
	is.NoErr(err)
	kind, err := relay.ReadAnswer(raw)
	is.NoErr(err)
	is.Equal(kind, errkind.BadRequest)
	is.Equal(connectors[0].g.Dump().Members[0].FailingFor, time.Duration(0))
	_, err = raw.Write(message('c', call(2, "utc")))
	is.NoErr(err)
	kind, err = relay.ReadAnswer(raw)
	is.NoErr(err)
	is.Equal(kind, errkind.OK)
	is.Equal(in.backend.count("read text map[zone:utc]"), 1)
}

// TestCallNumbersWrap guards against two calls with one id after the ids of a stream have
// all been used, so that one gets the answer of the other.
func TestCallNumbersWrap(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	received := make(chan struct{}, 2)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		var ids []int
		for len(ids) < 2 {
			f, err := receiveFrame(r)
			if err != nil {
				return
			}
			if f[len(f)-1] == 'c' {
				ids = append(ids, int(f[3])) // behind the header of an array of 19 elements
				received <- struct{}{}
			}
		}
		for i, receipt := range []string{"first", "second"} {
			_, _ = conn.Write(message('a', with(with(answerFields(), 0, ids[i]), 5, receipt)))
		}
		_, _ = receiveFrame(r)
	}()
	client := relay.NewClient(relay.ClientOptions{Host: "e1"})
	defer client.Close()
	run := func() <-chan string {
		receipt := make(chan string, 1)
		conn := client.Connect(directoryrpc.Server{ID: "s", Born: 7}, "", func() []string { return []string{ln.Addr().String()} })
		r := gateway.RelayedStatement{Request: statement.Request{Kind: statement.Read, ID: "q1", Text: "t"}}
		go func() {
			a, _ := conn.DoRelayed(time.Now().Add(time.Second), r)
			receipt <- a.Receipt
		}()
		<-received
		return receipt
	}
	first := run()
	client.SetLastCall(0)
	second := run()
	is.Equal(<-first, "first")
	is.Equal(<-second, "second")
}
