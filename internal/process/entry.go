// Package process assembles entry, control, gateway and directory processes from
// their parts: it opens the listeners, connects the parts to each other by their
// function fields, and stops them in order.
//
// Control processes coordinate entry processes, and directory processes
// coordinate gateways. In a gateway or directory process, "control" stands for
// the directory processes.
//
// # Planned stop
//
// An entry process first reports not ready and closes its sessions as they
// become idle. Its owner side then finishes the requests that it has accepted,
// and control moves its leases to other hosts. Only then are the other
// listeners closed. A control process transfers leadership before it stops.
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

// stopLinger is how long a stopping process still answers other hosts after it
// has given up its leases: requests that were routed by the previous state are
// refused as not run, and outcomes can be queried.
const stopLinger = 500 * time.Millisecond

// EntryOptions configures an entry process.
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
	host           controlrpc.Host
	callers        *caller.Server
	control        *controlrpc.Client
	entry          *entry.Entry
	owner          *owner.Owner
	controlSession *controlSession
}

// StartEntry opens the listeners and starts the process. For port 0 in the
// settings the system chooses a port; CallerAddress, PeerAddress and
// OperatorAddress return the resulting addresses.
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
		Logger:         p.partLogger("owner"),
		Registry:       p.registry,
		MaxAnswerBytes: opts.Settings.Entry.MaxAnswerBytes,
		Memory:         p.memory,
		Limits:         owner.Limits{OutcomeBytes: outcomeBytes(opts.Settings.Host.MemoryMB)},
	})
	p.entry = entry.New(entry.Options{
		Host:     p.host,
		Owners:   ownerrpc.Client{Call: p.pool.Call},
		Logger:   p.partLogger("entry"),
		Registry: p.registry,

		Memory: p.memory, SessionLimits: sessionLimits(opts.Settings.Entry),
	})
	p.controlSession = newControlSession(p)
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
	limits := callerLimits(p.cfg.Entry)
	p.callers = caller.New(caller.Options{
		Address:        p.cfg.Listen.Callers,
		Handler:        p.entry.Handler(),
		Logger:         p.partLogger("caller"),
		MaxConnections: limits.MaxConnections,
		MaxCycleBytes:  p.cfg.Entry.MaxCycleBytes,
		MaxQueuedBytes: p.cfg.Entry.MaxQueuedBytes,
		MaxPerAddress:  limits.MaxPerAddress,
		StartupTimeout: limits.StartupTimeout,
		MessageTimeout: limits.MessageTimeout,
		WriteTimeout:   limits.WriteTimeout,
		Memory:         p.memory,
		Registry:       p.registry,
	})
	if err := p.callers.Start(); err != nil {
		return err
	}
	p.serve(p.handlers())
	p.tasks.start(p.owner.Run)
	p.tasks.start(p.controlSession.loopHeartbeat)
	p.tasks.start(p.controlSession.loopWatch)
	p.tasks.start(p.controlSession.loopSuspects)
	p.log.Info().Str("host", p.host.ID).Stringer("callers", p.callers.Addr()).
		Str("peers", p.host.Address).Str("operators", p.host.OperatorAddress).Msg("entry process started")
	return nil
}

func (p *Entry) handlers() operator.Handlers {
	return operator.Handlers{
		Announce: p.control.Announce,
		Apply:    checkedApply(p.control.Apply),
		Get:      p.control.Get,
		Drain:    p.control.Drain,
		Failover: p.control.Failover,
		Health:   p.health,
		Dump:     func() any { return p.Dump() },
		Ready:    p.ready,
		Registry: p.registry,
	}
}

// ready reports whether the load balancer should send new callers to this host.
// A host that an operator has drained keeps the callers that it has.
func (p *Entry) ready() bool {
	return p.entry.Ready() && !p.controlSession.state.Load().Draining[p.host.ID]
}

// health answers a health query; see package health.
func (p *Entry) health(ctx context.Context, kind, selector string) (any, error) {
	c := health.Collector{
		Get:    p.control.Get,
		Status: ownerrpc.Client{Call: p.pool.Call}.Status,
		Local:  func() controlrpc.State { return *p.controlSession.state.Load() },
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
	state := p.controlSession.state.Load()
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

// Stop performs a planned stop. It returns an error if ctx ended before
// everything in progress was finished. The entry refuses new sessions while the
// caller side closes the idle ones; the owner side keeps serving meanwhile,
// because open sessions use it.
func (p *Entry) Stop(ctx context.Context) error {
	var group errs.Group
	drained := make(chan error, 1)
	go p.runDrain(ctx, drained)
	group.Add(p.callers.Shutdown(ctx), <-drained)
	group.Add(p.owner.Drain(ctx))
	p.controlSession.drain(ctx)
	pause(ctx, stopLinger)
	group.Add(p.shutdown(ctx))
	p.abort()
	p.log.Info().AnErr("unfinished", group.Err()).Msg("entry process stopped")
	return Error.Wrap(group.Err())
}

func (p *Entry) runDrain(ctx context.Context, drained chan<- error) { drained <- p.entry.Drain(ctx) }

// Abort stops the process at once, like a crash.
func (p *Entry) Abort() {
	_ = p.callers.Close()
	_ = p.shutdown(canceledContext())
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
