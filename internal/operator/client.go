package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/zeebo/errs"
)

// Error is the class of those errors of this package that have no errkind.Kind.
var Error = errs.Class("operator")

// maxAnswerBytes bounds an answer that the client reads. The largest is the
// state of 10,000 groups: about 30,000 servers and leases of 500 bytes.
const maxAnswerBytes = 64 << 20

// Client calls the operator interface of one process. If a call fails but its
// change may have been accepted, the error has kind errkind.OutcomeUnknown;
// resending the change with the same change id is safe. The error has kind
// errkind.ConnectFailed if no connection could be made, and if the answer to a
// call that changes nothing is lost.
type Client struct {
	Address string // ip:port
}

// Apply asks for a new configuration.
func (c Client) Apply(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
	reply, err := post[controlrpc.ApplyReply](ctx, c, "apply", args)
	if err == nil && reply.Kind == errkind.OK && reply.Version == 0 {
		// Every accepted configuration has a version: this is the answer of something else.
		err = errkind.New(errkind.OutcomeUnknown, "the answer of %s has no version", c.Address)
	}
	return reply, err
}

// Drain takes a host or backend server out of service, or back in.
func (c Client) Drain(ctx context.Context, args *controlrpc.DrainArgs) (*controlrpc.DrainReply, error) {
	return post[controlrpc.DrainReply](ctx, c, "drain", args)
}

// Failover asks for a new primary of a group.
func (c Client) Failover(ctx context.Context, args *controlrpc.FailoverArgs) (*controlrpc.FailoverReply, error) {
	return post[controlrpc.FailoverReply](ctx, c, "failover", args)
}

// Announce announces a backend server.
func (c Client) Announce(ctx context.Context, server *controlrpc.Server) (*AnnounceAnswer, error) {
	return post[AnnounceAnswer](ctx, c, "announce", server)
}

// State returns the replicated state and what each host has in force.
func (c Client) State(ctx context.Context) (*controlrpc.GetReply, error) {
	reply := new(controlrpc.GetReply)
	return reply, c.get(ctx, "state", nil, reply)
}

// Health queries the health of everything of a kind that the selector matches.
// The empty kind stands for all kinds.
func (c Client) Health(ctx context.Context, kind, selector string, reply any) error {
	return c.get(ctx, "health", url.Values{"kind": {kind}, "selector": {selector}}, reply)
}

// Dump returns the state of the process.
func (c Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	err := c.get(ctx, "dump", nil, &raw)
	return raw, err
}

func (c Client) url(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.Address, Path: "/v1/" + path, RawQuery: query.Encode()}
	return u.String()
}

func (c Client) get(ctx context.Context, path string, query url.Values, reply any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path, query), nil)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "invalid address %q", c.Address)
	}
	return do(r, errkind.ConnectFailed, reply)
}

func post[R, A any](ctx context.Context, c Client, path string, args *A) (*R, error) {
	body, err := encode(args)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "cannot encode the arguments of %s", path)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path, nil), bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "invalid address %q", c.Address)
	}
	reply := new(R)
	return reply, do(r, errkind.OutcomeUnknown, reply)
}

// encode encodes arguments. Bytes that aren't UTF-8 are an error: they would be sent as
// U+FFFD, and might name something else.
func encode[A any](args *A) ([]byte, error) {
	body, err := json.Marshal(args)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	decoded := new(A)
	if err := json.Unmarshal(body, decoded); err != nil {
		return nil, Error.Wrap(err)
	}
	// Such bytes are escaped the first time, and characters the second time.
	if again, err := json.Marshal(decoded); err != nil || !bytes.Equal(again, body) {
		return nil, Error.New("a text is not UTF-8")
	}
	return body, nil
}

// notSent reports whether err means that no connection was made, so that the
// request was certainly not sent.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// statusError returns the error for an answer with another status than 200. An internal
// error of the process, or an answer that no process gives, such as a redirect, means that
// a change may have been accepted.
func statusError(r *http.Request, resp *http.Response, data []byte, lostKind errkind.Kind) error {
	var answer controlrpc.Answer
	if json.Unmarshal(data, &answer) != nil || answer.Kind == errkind.OK {
		answer = controlrpc.Answer{Kind: errkind.Internal, Detail: r.URL.Path + " was answered with " + resp.Status}
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		answer = controlrpc.Answer{Kind: errkind.Unsupported, Detail: r.URL.Host + " does not offer " + r.URL.Path}
	case answer.Kind == errkind.Internal && (resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode < http.StatusBadRequest) && lostKind == errkind.OutcomeUnknown:
		answer.Kind = errkind.OutcomeUnknown
	}
	return errkind.New(answer.Kind, "%s", answer.Detail)
}

// httpClient opens a connection for each request: an answer has no id, and one that a
// process sends twice would be taken for the answer to the next request. Redirects are not
// followed: a change would become a read, whose answer is none to the change.
var httpClient = newHTTPClient()

func newHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DisableKeepAlives = true
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// do sends the request and decodes the answer. lostKind is the kind of the error
// if no complete answer arrives.
func do(r *http.Request, lostKind errkind.Kind, reply any) error {
	resp, err := httpClient.Do(r)
	if err != nil {
		if notSent(err) {
			lostKind = errkind.ConnectFailed
		}
		return errkind.Wrap(lostKind, err, "request to %s", r.URL.Host)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = Error.New("the answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return errkind.Wrap(lostKind, err, "cannot read the answer of %s", r.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(r, resp, data, lostKind)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errkind.Wrap(lostKind, err, "cannot parse the answer of %s", r.URL.Host)
	}
	return nil
}
