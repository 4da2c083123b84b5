package process

import (
	"context"
	"net"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/relay"
	"github.com/rcrowley/go-metrics"
)

// relays holds both sides of the relaying of statements between gateways. Its methods
// do nothing if it is nil, in a process without a peer listener.
type relays struct {
	opts     GatewayOptions
	registry metrics.Registry
	client   *relay.Client
	service  *relay.Service
}

// newRelays returns the sending side and sets it in the options of the gateway.
func newRelays(opts GatewayOptions, registry metrics.Registry, g *gateway.Options) *relays {
	r := &relays{opts: opts, registry: registry}
	r.client = relay.NewClient(relay.ClientOptions{Host: opts.Settings.Host.ID, Dial: opts.Dial, Events: opts.Events, Registry: registry})
	g.Host = opts.Settings.Host.ID
	g.Relay = func(s directoryrpc.Server, customer string, order func() []string) gateway.RelayedConn {
		return r.client.Connect(s, customer, order)
	}
	return r
}

// serve sets up the side of the connector and returns the function that serves the
// peer listener.
func (r *relays) serve(g *gateway.Gateway) func(ln net.Listener) error {
	r.service = relay.NewService(relay.ServiceOptions{Gateway: g, Events: r.opts.Events, Registry: r.registry})
	return r.service.Serve
}

// abortTransactions ends the transactions of other hosts that run no statement.
func (r *relays) abortTransactions() {
	if r != nil {
		r.service.AbortTransactions()
	}
}

// busy reports whether statements or transactions of other hosts are in progress.
func (r *relays) busy() bool {
	if r == nil {
		return false
	}
	statements, transactions := r.service.Busy()
	return statements+transactions > 0
}

// shutdown answers the statements of other hosts that are in progress and ends all
// streams.
func (r *relays) shutdown(ctx context.Context) {
	if r != nil {
		r.service.Shutdown(ctx)
		r.client.Close()
	}
}

// close ends all streams.
func (r *relays) close() {
	if r != nil {
		r.service.Close()
		r.client.Close()
	}
}

// RelayDump is the state of the relaying of statements.
type RelayDump struct {
	Connectors   int `json:"connectors"` // that this host has a stream to
	Statements   int `json:"statements"` // of other hosts, in progress
	Transactions int `json:"transactions"`
}

func (r *relays) dump() *RelayDump {
	if r == nil {
		return nil
	}
	d := &RelayDump{Connectors: r.client.Streams()}
	d.Statements, d.Transactions = r.service.Busy()
	return d
}
