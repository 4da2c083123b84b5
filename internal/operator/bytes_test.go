package operator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/matryer/is"
)

// rawRequest is a request in bytes.
type rawRequest struct {
	name, method, path, body string
	want                     string // what the handler got; empty if it is refused
}

// check sends the request over a socket and reads the answer without net/http.
func (tc rawRequest) check(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	h := operator.Handlers{
		Drain: func(_ context.Context, args *controlrpc.DrainArgs) (*controlrpc.DrainReply, error) {
			got <- fmt.Sprint(args.ID, " ", args.ChangeID, " ", args.Undo)
			return new(controlrpc.DrainReply), nil
		},
		Announce: func(_ context.Context, args *controlrpc.AnnounceArgs) (*controlrpc.AnnounceReply, error) {
			got <- fmt.Sprint(args.Server.ID, " ", args.Server.Address, " ", args.Server.Labels)
			return new(controlrpc.AnnounceReply), nil
		},
		Health: func(_ context.Context, kind, selector string) (any, error) {
			got <- kind + " " + selector
			return nil, nil
		},
	}
	c, err := net.Dial("tcp", serve(t, h))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", tc.method, tc.path, len(tc.body), tc.body)
	is.NoErr(err)
	text, err := io.ReadAll(c)
	is.NoErr(err)
	if tc.want == "" {
		is.True(strings.HasPrefix(string(text), "HTTP/1.1 400 ")) // text
		is.True(strings.Contains(string(text), `"kind":"bad_request"`))
		is.Equal(len(got), 0)
		return
	}
	is.True(strings.HasPrefix(string(text), "HTTP/1.1 200 ")) // text
	is.Equal(<-got, tc.want)
}

// TestAmbiguousRequests guards against a request that another reader would read in another
// way.
func TestAmbiguousRequests(t *testing.T) {
	const drain = "/v1/drain"
	for _, tc := range []rawRequest{
		{"plain", "POST", drain, `{"id":"s1","change_id":"c"}`, "s1 c false"},
		{"id twice", "POST", drain, `{"id":"s1","id":"s2"}`, ""},
		{"id in another case", "POST", drain, `{"ID":"s2"}`, ""},
		{"id and another case", "POST", drain, `{"id":"s1","Id":"s2"}`, ""},
		{"not UTF-8", "POST", drain, "{\"id\":\"s\xff\"}", ""},
		{"half of a pair", "POST", drain, `{"id":"s\udfff"}`, ""},
		{"bytes after it", "POST", drain, `{"id":"s1"}]`, ""},
		{"two documents", "POST", drain, `{"id":"s1"}{"id":"s1"}`, ""},
		{"label twice", "POST", "/v1/announce", `{"id":"s1","labels":{"a":"b","a":"c"}}`, ""},
		{"labels", "POST", "/v1/announce", `{"id":"s1","labels":{"ID":"b","id":"c"}}`, "s1  map[ID:b id:c]"},
	} {
		t.Run(tc.name, tc.check)
	}
}

// TestNamesOfServers guards against an announcement whose address, id or group ends the
// field that it is written into later, or forges a line of a command's output.
func TestNamesOfServers(t *testing.T) {
	for _, tc := range []rawRequest{
		{"address", "POST", "/v1/announce", `{"id":"s1","address":"10.0.0.1:5432"}`, "s1 10.0.0.1:5432 map[]"},
		{"address with more", "POST", "/v1/announce", `{"id":"s1","address":"10.0.0.1:5432 user=x"}`, ""},
		{"address with NUL", "POST", "/v1/announce", `{"id":"s1","address":"10.0.0.1:5432\u0000"}`, ""},
		{"address with a quote", "POST", "/v1/announce", `{"id":"s1","address":"10.0.0.1:5432'"}`, ""},
		{"id with a line break", "POST", "/v1/announce", `{"id":"s1\ns2"}`, ""},
		{"group with NUL", "POST", "/v1/announce", `{"id":"s1","group":"a\u0000b"}`, ""},
	} {
		t.Run(tc.name, tc.check)
	}
}

// TestMalformedQuestions guards against a malformed question that is taken for a wider one.
func TestMalformedQuestions(t *testing.T) {
	for _, tc := range []rawRequest{
		{"question", "GET", "/v1/health?selector=a%3Db&kind=host", "", "host a=b"},
		{"no question", "GET", "/v1/health", "", " "},
		{"selector twice", "GET", "/v1/health?selector=a%3Db&selector=c", "", ""},
		{"bad escape in the selector", "GET", "/v1/health?selector=%zz", "", ""},
		{"semicolon", "GET", "/v1/health?kind=host;selector=a", "", ""},
		{"other parameter", "GET", "/v1/health?Selector=a", "", ""},
		{"question not in UTF-8", "GET", "/v1/health?selector=%ff", "", ""},
	} {
		t.Run(tc.name, tc.check)
	}
}
