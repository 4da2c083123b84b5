package operator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// serve starts a server and returns its address.
func serve(t *testing.T, h operator.Handlers) string {
	t.Helper()
	ln := listen(t)
	srv := operator.NewServer(h, zerolog.Nop())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	t.Cleanup(func() {
		if err := errors.Join(srv.Shutdown(context.Background()), <-done); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// failingHandlers returns handlers that fail every call with an error of kind.
func failingHandlers(kind errkind.Kind) operator.Handlers {
	err := errkind.New(kind, "refused")
	return operator.Handlers{
		Announce: func(context.Context, *controlrpc.AnnounceArgs) (*controlrpc.AnnounceReply, error) { return nil, err },
		Apply:    func(context.Context, *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) { return nil, err },
		Get:      func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) { return nil, err },
		Health:   func(context.Context, string, string) (any, error) { return nil, err },
	}
}

// workingHandlers returns handlers for every call; ready is the readiness.
func workingHandlers(ready bool) operator.Handlers {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("entry.cycles", registry).Inc(3)
	return operator.Handlers{
		Announce: func(context.Context, *controlrpc.AnnounceArgs) (*controlrpc.AnnounceReply, error) {
			return new(controlrpc.AnnounceReply), nil
		},
		Apply: func(_ context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
			if args.BaseVersion != 0 {
				return &controlrpc.ApplyReply{Answer: controlrpc.Answer{Kind: errkind.Conflict}, Version: 2, WonBy: "aoife"}, nil
			}
			return &controlrpc.ApplyReply{Version: 1}, nil
		},
		Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
			return &controlrpc.GetReply{State: controlrpc.State{ConfigVersion: 7}}, nil
		},
		Drain: func(_ context.Context, args *controlrpc.DrainArgs) (*controlrpc.DrainReply, error) {
			return &controlrpc.DrainReply{Answer: controlrpc.Answer{Detail: args.ID}}, nil
		},
		Failover: func(context.Context, *controlrpc.FailoverArgs) (*controlrpc.FailoverReply, error) {
			return new(controlrpc.FailoverReply), nil
		},
		Health: func(_ context.Context, kind, selector string) (any, error) { return []string{kind, selector}, nil },
		Dump:   func() any { return map[string]int{"connections": 2} },
		Ready:  func() bool { return ready }, Registry: registry,
	}
}

// TestHTTP guards the status and body that operators, load balancers and backend
// servers rely on, and the rejection of malformed requests.
func TestHTTP(t *testing.T) {
	const maxBodyBytes = 8 << 20
	for _, row := range []struct {
		name, method, path, body string
		handlers                 operator.Handlers
		status                   int
		contains                 string
	}{
		{"ready", "GET", "ready", "", workingHandlers(true), 200, `{"ready":true}`},
		{"not ready", "GET", "ready", "", workingHandlers(false), 503, `{"ready":false}`},
		{"nothing offered", "GET", "ready", "", operator.Handlers{}, 503, `{"ready":false}`},
		{"apply", "POST", "apply", `{"change_id":"a"}`, workingHandlers(true), 200, `"version":1`},
		{"conflict is a decision", "POST", "apply", `{"base_version":1}`, workingHandlers(true), 200, `"kind":"conflict","version":2,"won_by":"aoife"`},
		{"drain", "POST", "drain", `{"id":"entry-1"}`, workingHandlers(true), 200, `"detail":"entry-1"`},
		{"failover", "POST", "failover", `{"group":"orders"}`, workingHandlers(true), 200, `{}`},
		{"announce", "POST", "announce", `{"id":"s1","departing":true}`, workingHandlers(true), 200, `{}`},
		{"state", "GET", "state", "", workingHandlers(true), 200, `"config_version":7`},
		{"health", "GET", "health?kind=host&selector=a%3Db", "", workingHandlers(true), 200, `["host","a=b"]`},
		{"dump", "GET", "dump", "", workingHandlers(true), 200, `{"connections":2}`},
		{"metrics", "GET", "metrics", "", workingHandlers(true), 200, `{"entry.cycles":{"count":3}}`},
		{"empty body", "POST", "apply", "", workingHandlers(true), 400, `"kind":"bad_request"`},
		{"malformed body", "POST", "apply", `{"change_id":`, workingHandlers(true), 400, `"kind":"bad_request"`},
		{"wrong type", "POST", "apply", `{"base_version":"one"}`, workingHandlers(true), 400, `"kind":"bad_request"`},
		{"unknown key", "POST", "apply", `{"change":"a"}`, workingHandlers(true), 400, `unknown field`},
		{"unknown key of a server", "POST", "announce", `{"idd":"s1"}`, workingHandlers(true), 400, `unknown field`},
		{"two values", "POST", "drain", `{"id":"a"} {"id":"b"}`, workingHandlers(true), 400, `more than one JSON value`},
		{"oversized body", "POST", "apply", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, workingHandlers(true), 400, `too large`},
		{"body at the limit", "POST", "apply", `{"text":"` + strings.Repeat("x", maxBodyBytes-11) + `"}`, workingHandlers(true), 200, `"version":1`},
		{"wrong method", "GET", "apply", "", workingHandlers(true), 405, ""},
		{"no such path", "GET", "nothing", "", workingHandlers(true), 404, ""},
		{"not offered", "POST", "apply", `{}`, operator.Handlers{}, 404, ""},
		{"announce not offered", "POST", "announce", `{}`, operator.Handlers{}, 404, ""},
		{"health not offered", "GET", "health", "", operator.Handlers{}, 404, ""},
		{"dump not offered", "GET", "dump", "", operator.Handlers{}, 404, ""},
		{"metrics not offered", "GET", "metrics", "", operator.Handlers{}, 404, ""},
		{"state not offered", "GET", "state", "", operator.Handlers{}, 404, ""},
		{"bad request of control", "POST", "apply", `{}`, failingHandlers(errkind.BadRequest), 400, `"kind":"bad_request"`},
		{"no leader", "POST", "apply", `{}`, failingHandlers(errkind.NotLeader), 503, `"kind":"not_leader"`},
		{"change in doubt", "POST", "apply", `{}`, failingHandlers(errkind.OutcomeUnknown), 503, `"kind":"outcome_unknown"`},
		{"announcement in doubt", "POST", "announce", `{}`, failingHandlers(errkind.OutcomeUnknown), 503, `"kind":"outcome_unknown"`},
		{"a read is never in doubt", "GET", "state", "", failingHandlers(errkind.OutcomeUnknown), 503, `"kind":"not_leader"`},
		{"malformed question", "GET", "health", "", failingHandlers(errkind.BadRequest), 400, `"kind":"bad_request"`},
		{"health fails", "GET", "health", "", failingHandlers(errkind.Internal), 503, `"kind":"internal"`},
	} {
		t.Run(row.name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), row.method, "http://"+serve(t, row.handlers)+"/v1/"+row.path, strings.NewReader(row.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != row.status || !strings.Contains(string(body), row.contains) {
				t.Errorf("status %d, body %s, error %v; want %d and %s", resp.StatusCode, body, err, row.status, row.contains)
			}
		})
	}
}

// TestClient guards against a client and a server that disagree on paths,
// arguments, answers or kinds of errors.
func TestClient(t *testing.T) {
	is := is.New(t)
	c := operator.Client{Address: serve(t, workingHandlers(true))}
	ctx := t.Context()
	applied, err := c.Apply(ctx, &controlrpc.ApplyArgs{BaseVersion: 1})
	is.NoErr(err) // a conflict is an answer
	is.Equal(applied.Kind, errkind.Conflict)
	drained, err := c.Drain(ctx, &controlrpc.DrainArgs{ID: "s1"})
	is.NoErr(err)
	is.Equal(drained.Detail, "s1")
	_, err = c.Failover(ctx, &controlrpc.FailoverArgs{Group: "orders"})
	is.NoErr(err)
	_, err = c.Announce(ctx, &controlrpc.Server{ID: "s1"})
	is.NoErr(err)
	state, err := c.State(ctx)
	is.NoErr(err)
	is.Equal(state.State.ConfigVersion, uint64(7))
	var health []string
	is.NoErr(c.Health(ctx, "host", "a in (b,c)", &health))
	is.Equal(health, []string{"host", "a in (b,c)"})
	dump, err := c.Dump(ctx)
	is.NoErr(err)
	is.True(json.Valid(dump))
	_, err = operator.Client{Address: serve(t, failingHandlers(errkind.BadRequest))}.State(ctx)
	is.Equal(errkind.Of(err), errkind.BadRequest) // the kind passes through
	_, err = operator.Client{Address: "not an address"}.State(ctx)
	is.Equal(errkind.Of(err), errkind.BadRequest)
}

// TestLostAnswers guards against a lost answer that is reported as a refusal
// although the change may have been accepted. Only a change that was sent can be
// in doubt; reads and requests that were not sent are not.
func TestLostAnswers(t *testing.T) {
	const okHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for _, row := range []struct {
		name         string
		answer       func(conn net.Conn) // writes the answer after the request was read; the connection is closed afterwards
		change, read errkind.Kind
	}{
		{"closed without an answer", func(net.Conn) {}, errkind.OutcomeUnknown, errkind.ConnectFailed},
		{"cut off", func(c net.Conn) { _, _ = io.WriteString(c, okHeader+"Content-Length: 99\r\n\r\n{\"version\":") }, errkind.OutcomeUnknown, errkind.ConnectFailed},
		{"not JSON", func(c net.Conn) { _, _ = io.WriteString(c, okHeader+"Content-Length: 2\r\n\r\n{]") }, errkind.OutcomeUnknown, errkind.ConnectFailed},
		{"silent", func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, errkind.OutcomeUnknown, errkind.ConnectFailed},
		{"endless", func(c net.Conn) {
			_, _ = io.WriteString(c, okHeader+"\r\n")
			for block := make([]byte, 1<<20); ; {
				if _, err := c.Write(block); err != nil {
					return
				}
			}
		}, errkind.OutcomeUnknown, errkind.ConnectFailed},
		{"error without a kind", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\n{}")
		}, errkind.OutcomeUnknown, errkind.Internal},
		{"refused without a kind", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n")
		}, errkind.Internal, errkind.Internal},
		{"not offered", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}, errkind.Unsupported, errkind.Unsupported},
		{"no listener", nil, errkind.ConnectFailed, errkind.ConnectFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			ln := listen(t)
			done := make(chan struct{})
			if row.answer == nil {
				is.NoErr(ln.Close())
				close(done)
			} else {
				go func() { defer close(done); answerAll(ln, row.answer) }()
			}
			timeout := 10 * time.Second
			if row.name == "silent" {
				timeout = 100 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			_, err := operator.Client{Address: ln.Addr().String()}.Apply(ctx, new(controlrpc.ApplyArgs))
			cancel()
			is.Equal(errkind.Of(err), row.change)
			ctx, cancel = context.WithTimeout(t.Context(), timeout)
			_, err = operator.Client{Address: ln.Addr().String()}.State(ctx)
			cancel()
			is.Equal(errkind.Of(err), row.read)
			_ = ln.Close()
			<-done
		})
	}
}

// answerAll reads one request from each connection and calls answer.
func answerAll(ln net.Listener, answer func(conn net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			answer(conn)
		}
		_ = conn.Close()
	}
}
