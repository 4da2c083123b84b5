// Package process puts the parts of an entry process and of a control process
// together: it opens the listeners, connects the parts with each other by
// their function fields, and stops them in order.
//
// # Planned stop
//
// An entry process first reports not ready and ends its sessions as they
// become idle. Its owner side then finishes what it has taken, and control
// moves its leases. Only then are the other listeners closed. A
// control process hands over leadership before it stops.
//
// # Usage
//
//	p, err := process.StartEntry(process.EntryOptions{Settings: cfg, Logger: log})
//	<-ctx.Done()
//	err = p.Stop(stopCtx)
package process

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/health"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("process")

// backendUser is the PostgreSQL user of connections to backend servers.
const backendUser = "arbutusring"

// stopLinger is the time for which a stopping process still answers other
// hosts after it has given up its leases: requests that were sent on the state
// before are refused as not run, and outcomes can be asked for.
const stopLinger = 500 * time.Millisecond

// EntryOptions configure an entry process.
type EntryOptions struct {
	Settings settings.Settings
	Logger   zerolog.Logger
	Dial     DialFunc // to other hosts; nil for TCP
}

// DialFunc opens a connection to another host of the installation.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Entry is a running entry process: its caller side and its owner side.
type Entry struct {
	*base
	host     controlrpc.Host
	callers  *caller.Server
	control  *controlrpc.Client
	entry    *entry.Entry
	owner    *owner.Owner
	follower *follower
}

// StartEntry opens the listeners and starts the process. Port 0 in the
// settings lets the system choose; Addresses tells the result.
func StartEntry(opts EntryOptions) (*Entry, error) {
	b, err := newBase(opts.Settings, opts.Logger, opts.Dial, nil)
	if err != nil {
		return nil, err
	}
	p := &Entry{base: b, host: newHost(opts.Settings.Host, b.lns)}
	p.control = &controlrpc.Client{Addresses: opts.Settings.Control.Addresses, Call: p.pool.Call}
	p.owner = owner.New(owner.Options{
		Host:           p.host.ID,
		Incarnation:    p.host.Incarnation,
		Connect:        connectBackend,
		Logger:         p.part("owner"),
		Registry:       p.registry,
		MaxAnswerBytes: opts.Settings.Entry.MaxAnswerBytes,
	})
	p.entry = entry.New(entry.Options{
		Host:     p.host,
		Owners:   ownerrpc.Client{Call: p.pool.Call},
		Logger:   p.part("entry"),
		Registry: p.registry,
	})
	p.follower = newFollower(p)
	if err := p.start(); err != nil {
		p.abort()
		return nil, err
	}
	return p, nil
}

func (p *Entry) start() error {
	if err := p.peers.Register("Owner", p.owner.Service()); err != nil {
		return err
	}
	p.callers = caller.New(caller.Options{
		Address:        p.cfg.Listen.Callers,
		Handler:        p.entry.Handler(),
		Logger:         p.part("caller"),
		MaxConnections: p.cfg.Entry.MaxConnections,
		MaxCycleBytes:  p.cfg.Entry.MaxCycleBytes,
	})
	if err := p.callers.Start(); err != nil {
		return err
	}
	p.serve(p.handlers())
	p.tasks.start(p.owner.Run)
	p.tasks.start(p.follower.loopHeartbeat)
	p.tasks.start(p.follower.loopWatch)
	p.tasks.start(p.follower.loopSuspects)
	p.log.Info().Str("host", p.host.ID).Stringer("callers", p.callers.Addr()).
		Str("peers", p.host.Address).Str("operators", p.host.OperatorAddress).Msg("entry process started")
	return nil
}

func (p *Entry) handlers() operator.Handlers {
	return operator.Handlers{
		Announce: p.control.Announce,
		Apply:    p.control.Apply,
		Get:      p.control.Get,
		Drain:    p.control.Drain,
		Failover: p.control.Failover,
		Health:   p.health,
		Dump:     func() any { return p.Dump() },
		Ready:    p.ready,
		Registry: p.registry,
	}
}

// ready reports whether the load balancer should send callers here. A host
// that an operator has drained keeps the callers that it has.
func (p *Entry) ready() bool {
	return p.entry.Ready() && !p.follower.state.Load().Draining[p.host.ID]
}

// health answers a question about health; see package health.
func (p *Entry) health(ctx context.Context, kind, selector string) (any, error) {
	c := health.Collector{
		Get:    p.control.Get,
		Status: ownerrpc.Client{Call: p.pool.Call}.Status,
		Local:  func() controlrpc.State { return *p.follower.state.Load() },
	}
	return c.Ask(ctx, health.Question{Kind: health.Kind(kind), Selector: selector})
}

// CallerAddress returns the address that callers connect to.
func (p *Entry) CallerAddress() string { return p.callers.Addr().String() }

// EntryDump is the state of an entry process.
type EntryDump struct {
	Host          controlrpc.Host        `json:"host"`
	StateVersion  uint64                 `json:"state_version"`
	ConfigVersion uint64                 `json:"config_version"`
	Connections   int                    `json:"connections"`
	Leases        []controlrpc.HeldLease `json:"leases"`
	Entry         any                    `json:"entry"`
	Owner         any                    `json:"owner"`
}

// Dump returns the state of the process.
func (p *Entry) Dump() EntryDump {
	state := p.follower.state.Load()
	return EntryDump{
		Host:          p.host,
		StateVersion:  state.Version,
		ConfigVersion: state.ConfigVersion,
		Connections:   p.callers.Connections(),
		Leases:        p.owner.Leases(),
		Entry:         p.entry.Dump(),
		Owner:         p.owner.Dump(),
	}
}

// Stop is the planned stop. Its error tells that ctx ended before everything
// in progress was finished. The entry refuses new sessions while the caller
// side ends the idle ones; the owner side goes on meanwhile, because they use
// it.
func (p *Entry) Stop(ctx context.Context) error {
	var group errs.Group
	drained := make(chan error, 1)
	go p.runDrain(ctx, drained)
	group.Add(p.callers.Shutdown(ctx), <-drained)
	group.Add(p.owner.Drain(ctx))
	p.follower.drain(ctx)
	pause(ctx, stopLinger)
	group.Add(p.shutdown(ctx))
	p.abort()
	p.log.Info().AnErr("unfinished", group.Err()).Msg("entry process stopped")
	return Error.Wrap(group.Err())
}

func (p *Entry) runDrain(ctx context.Context, drained chan<- error) { drained <- p.entry.Drain(ctx) }

// Abort ends the process at once, as a crash does.
func (p *Entry) Abort() {
	_ = p.callers.Close()
	_ = p.shutdown(ended())
	p.abort()
}

func (p *Entry) abort() {
	p.close()
	p.entry.Close()
}

func newHost(cfg settings.Host, lns listeners) controlrpc.Host {
	return controlrpc.Host{
		ID:              cfg.ID,
		Incarnation:     strconv.FormatInt(time.Now().UnixNano(), 36),
		Address:         lns.peers.Addr().String(),
		OperatorAddress: lns.operators.Addr().String(),
		DataCentre:      cfg.DataCentre,
		Region:          cfg.Region,
		Labels:          cfg.Labels,
	}
}

func connectBackend(ctx context.Context, address, database string) (owner.Conn, error) {
	conn, err := backend.Connect(ctx, backend.ConnOptions{Address: address, Database: database, User: backendUser})
	if err != nil {
		return nil, err
	}
	return conn, nil
}
