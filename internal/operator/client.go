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

// Error is the class of every error of this package without a kind.
var Error = errs.Class("operator")

// maxAnswer bounds an answer that the client reads, in bytes. The largest is
// the state of 10,000 groups: about 30,000 servers and leases of 500 bytes.
const maxAnswer = 64 << 20

// Client calls the operator interface of one process. An error of a call that
// changes something has kind errkind.OutcomeUnknown if the change may have
// been accepted; resending it with the same change id is safe. It has kind
// errkind.ConnectFailed if there was no connection, and for every lost answer
// of a call that changes nothing.
type Client struct {
	Address string // ip:port
}

// Apply asks for a new configuration.
func (c Client) Apply(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
	return post[controlrpc.ApplyReply](ctx, c, "apply", args)
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

// Health asks about everything of a kind that the selector matches; the empty
// kind stands for all kinds.
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
		return errkind.Wrap(errkind.BadRequest, err, "address %q", c.Address)
	}
	return do(r, errkind.ConnectFailed, reply)
}

func post[R any](ctx context.Context, c Client, path string, args any) (*R, error) {
	body, err := json.Marshal(args)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "arguments of %s", path)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path, nil), bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "address %q", c.Address)
	}
	reply := new(R)
	return reply, do(r, errkind.OutcomeUnknown, reply)
}

// notSent reports whether no connection was made, so that the request was
// certainly not sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusal turns an answer with an error status into an error. After a failure
// of the process itself, a change may have been accepted.
func refusal(r *http.Request, resp *http.Response, data []byte, lost errkind.Kind) error {
	var a controlrpc.Answer
	if json.Unmarshal(data, &a) != nil || a.Kind == errkind.OK {
		a = controlrpc.Answer{Kind: errkind.Internal, Detail: r.URL.Path + " was answered with " + resp.Status}
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		a = controlrpc.Answer{Kind: errkind.Unsupported, Detail: r.URL.Host + " does not offer " + r.URL.Path}
	case a.Kind == errkind.Internal && resp.StatusCode >= http.StatusInternalServerError && lost == errkind.OutcomeUnknown:
		a.Kind = errkind.OutcomeUnknown
	}
	return errkind.New(a.Kind, "%s", a.Detail)
}

// do sends the request and decodes the answer; lost is the kind of the error
// when no whole answer comes.
func do(r *http.Request, lost errkind.Kind, reply any) error {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		if notSent(err) {
			lost = errkind.ConnectFailed
		}
		return errkind.Wrap(lost, err, "request to %s", r.URL.Host)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = Error.New("the answer is longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return errkind.Wrap(lost, err, "answer of %s", r.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(r, resp, data, lost)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errkind.Wrap(lost, err, "answer of %s", r.URL.Host)
	}
	return nil
}
