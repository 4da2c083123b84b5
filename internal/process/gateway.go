package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/lineserver"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rcrowley/go-metrics"
)

const (
	// syncWait is how long control holds a sync request without a change. It
	// leaves at least 1.7 s of a lease of 2.2 s when control is lost.
	syncWait = 500 * time.Millisecond
	// syncTimeout bounds a sync request with its retries at other control hosts.
	syncTimeout = 1500 * time.Millisecond
	// syncRetryDelay keeps failing sync requests from spinning.
	syncRetryDelay = 50 * time.Millisecond
	// maxOverloadDelay is the longest delay after control refused to send the whole
	// state because other hosts need it too.
	maxOverloadDelay = 400 * time.Millisecond
	// failingSyncWait replaces syncWait while a primary is failing, so that the
	// next report to control follows soon.
	failingSyncWait = 100 * time.Millisecond
)

// GatewayOptions configures a gateway process.
type GatewayOptions struct {
	Settings settings.Settings
	Adapter  Adapter
	Events   *eventlog.Log
	Dial     DialFunc         // to control hosts; nil for TCP
	Registry metrics.Registry // nil: StartGateway creates a private registry
}

// Gateway is a running gateway process.
type Gateway struct {
	*base
	opts      GatewayOptions
	host      directoryrpc.Host
	control   *directoryrpc.Client
	gateway   *gateway.Gateway
	relay     *relays // nil without a peer listener
	callers   *lineserver.Server
	allowance *allowances
	syncTasks tasks // renew the lease; stopped before the other goroutines

	// Used by loopSync only.
	config      *database.Config // parsed document of state; nil before the first
	connected   bool             // the last request was answered by the leader
	asksReports bool             // as in the last reply
	suspected   []string         // as in the last reply
	hosts       hostList         // that share connections

	mu         sync.Mutex
	state      directoryrpc.State // in force on this host, with its document
	seeds      []string           // control addresses of the settings
	discovered []string           // control addresses received from control
}

// StartGateway opens the listeners and starts the process.
func StartGateway(opts GatewayOptions) (*Gateway, error) {
	b, err := newBase(opts.Settings, opts.Events.Logger(), opts.Dial, opts.Registry)
	if err != nil {
		return nil, err
	}
	cfg := opts.Settings
	p := &Gateway{
		base: b, opts: opts, seeds: cfg.Control.PeerAddresses(),
		hosts: hostList{pending: true},
		host:  directoryrpc.Host{ID: cfg.Host.ID, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)},
	}
	p.control = directoryrpc.NewClient(p.seeds, p.pool.Call)
	p.allowance = newAllowances(p.host, p.control.Allowance, opts.Events, p.registry)
	gatewayOpts := gateway.Options{
		Connect:  opts.Adapter.Connect,
		Admit:    p.allowance.admit,
		Expect:   p.allowance.stock.Expect,
		Place:    gateway.Place{DataCentre: cfg.Host.DataCentre, Regions: cfg.Host.Regions},
		Events:   opts.Events,
		Registry: p.registry,

		Memory: p.memory, SessionLimits: sessionLimits(cfg.Entry), MaxAnswerBytes: cfg.Entry.MaxAnswerBytes,
	}
	if p.lns.peers != nil {
		p.relay = newRelays(opts, p.registry, &gatewayOpts)
	}
	p.gateway = gateway.New(gatewayOpts)
	if p.relay != nil {
		p.relays = p.relay.serve(p.gateway)
	}
	p.callers = lineserver.New(lineserver.Options{
		Address: cfg.Listen.Callers, Handler: opts.Adapter.Callers(p.gateway), Logger: p.partLogger("callers"), MaxLineBytes: opts.Adapter.MaxLineBytes,
		Limits: callerLimits(cfg.Entry), MaxQueuedBytes: cfg.Entry.MaxQueuedBytes, Memory: p.memory, Registry: p.registry,
	})
	if err := p.callers.Start(); err != nil {
		p.close()
		p.relay.close()
		p.gateway.Close()
		return nil, err
	}
	p.serve(operator.Handlers{
		Dump: func() any { return p.Dump() }, Ready: p.gateway.Ready, Routes: opts.Adapter.EntryRoutes(p.gateway.Ready),
	})
	p.syncTasks.start(p.loopSync)
	p.syncTasks.start(p.allowance.loop)
	p.tasks.start(p.loopShed)
	opts.Events.Event("started").Str("incarnation", p.host.Incarnation).Stringer("callers", p.callers.Addr()).
		Strs("control", p.seeds).Msg("gateway process started")
	return p, nil
}

// CallerAddress returns the address that callers connect to.
func (p *Gateway) CallerAddress() string { return p.callers.Addr().String() }

// GatewayDump is the state of a gateway process.
type GatewayDump struct {
	Host     directoryrpc.Host  `json:"host"`
	State    directoryrpc.State `json:"state"`
	Sessions int                `json:"sessions"`
	Callers  int                `json:"caller_connections"`
	Gateway  any                `json:"gateway"`
	Stocks   map[string]int     `json:"stocks,omitempty"` // tokens of allowances by customer
	Relay    *RelayDump         `json:"relay,omitempty"`
}

// Dump returns the state of the process.
func (p *Gateway) Dump() GatewayDump {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	return GatewayDump{
		Host: p.host, State: state, Sessions: p.gateway.Sessions(), Callers: p.callers.Connections(), Gateway: p.gateway.Dump(), Relay: p.relay.dump(),
		Stocks: p.allowance.stock.Held(),
	}
}

// Reload applies the addresses of the control hosts from changed settings. Other
// changes are ignored.
func (p *Gateway) Reload(cfg settings.Settings) {
	p.mu.Lock()
	p.seeds = cfg.Control.PeerAddresses()
	addresses := mergeAddresses(p.discovered, p.seeds)
	p.mu.Unlock()
	p.control.SetAddresses(addresses)
	p.opts.Events.Event("reloaded").Strs("control", addresses).Msg("settings reloaded")
}

// mergeAddresses returns the addresses of both lists without duplicates.
func mergeAddresses(first, second []string) []string {
	seen := make(map[string]bool, len(first)+len(second))
	var out []string
	for _, list := range [][]string{first, second} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	return out
}

// loopSync renews the lease and applies each new state until ctx ends.
func (p *Gateway) loopSync(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.sync(ctx)
		if ok := err == nil; ok != p.connected && ctx.Err() == nil {
			p.connected = ok
			kind := "control_regained"
			if !ok {
				kind = "control_lost"
			}
			p.opts.Events.Event(kind).Err(err).Msg("contact with control was lost or regained")
		}
		switch {
		case errkind.Of(err) == errkind.Overloaded:
			pause(ctx, syncRetryDelay+rand.N(maxOverloadDelay))
		case err != nil:
			pause(ctx, syncRetryDelay)
		}
	}
}

// sync sends one sync request and applies the reply. If the new state replaces a
// primary, it returns only after the work of this host at that primary has ended
// or was aborted, because the next request confirms the state. The lease counts
// from the time before the request is sent.
func (p *Gateway) sync(ctx context.Context) error {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	args := &directoryrpc.SyncArgs{
		Host: p.host, Version: state.Version, ConfigVersion: state.ConfigVersion, Reports: p.reports(), Wait: syncWait, Delta: true,
	}
	p.describeHost(args)
	failing := slices.ContainsFunc(args.Reports, func(r directoryrpc.Report) bool { return r.FailingFor > 0 })
	switch {
	case !p.connected:
		args.Wait = 0 // the next request has the other reports
	case args.AsksHosts && p.hosts.version == 0 && p.hosts.pending:
		args.Wait = failingSyncWait // until the list arrives, servers can't be reached
	case failing:
		// A request that reports a failing primary is not canceled when a
		// primary fails: the lease of this host would never be renewed.
		args.Wait = failingSyncWait
	default:
		stop := make(chan struct{})
		defer close(stop)
		p.syncTasks.wg.Go(func() { p.runCancelOnPrimaryFailure(stop, cancel) })
	}
	sentAt := clock.Now()
	reply, err := p.control.Sync(ctx, args)
	if err != nil {
		if context.Cause(ctx) == context.Canceled {
			return nil // canceled because a primary is failing: the next request reports it
		}
		return err
	}
	if reply.Kind != errkind.OK {
		return errkind.New(reply.Kind, "%s", reply.Detail)
	}
	p.asksReports, p.suspected = reply.AsksReports, reply.Suspected
	if err := p.applyReply(state, reply); err != nil {
		return err
	}
	p.allowance.enforce(reply.Allowances)
	p.applyHosts(args, reply)
	p.gateway.RenewLease(sentAt.Add(reply.TTL), reply.HostCount)
	p.updateControlAddresses(reply.Control)
	p.gateway.Release()
	return nil
}

// reports returns the reports that control needs. While this host looks for the
// leader they are as few as possible, because the request goes to every control host,
// and those of all hosts together would use up the links of control.
func (p *Gateway) reports() []directoryrpc.Report {
	switch {
	case !p.asksReports:
		return p.gateway.Reports()
	case !p.connected:
		return p.gateway.SwitchingReports()
	}
	return p.gateway.NeededReports(p.suspected)
}

// runCancelOnPrimaryFailure cancels a sync request that control holds when a
// primary begins to fail.
func (p *Gateway) runCancelOnPrimaryFailure(stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-p.gateway.PrimaryFailing():
		cancel()
	case <-stop:
	}
}

// applyReply puts the state after a reply into force. old is the state in force
// when the request was sent.
func (p *Gateway) applyReply(old directoryrpc.State, reply *directoryrpc.SyncReply) error {
	state, err := reply.MergeInto(old)
	if err != nil {
		return err
	}
	if reply.Changed { // from control of an earlier release
		state = reply.State
		if state.ConfigVersion == old.ConfigVersion {
			state.Document = old.Document
		}
	}
	return p.applyState(old, state)
}

// applyState puts a state into force. If this release can't parse the
// configuration, nothing changes: the lease then expires, which is safer than
// serving without the new configuration.
func (p *Gateway) applyState(old, state directoryrpc.State) error {
	if state.Version <= old.Version {
		return nil
	}
	if state.ConfigVersion != old.ConfigVersion {
		document, err := directoryrpc.Decompress(state.Document)
		if err != nil {
			return err
		}
		if p.config, err = p.opts.Adapter.ParseConfig(document); err != nil {
			return err
		}
	}
	if p.config != nil {
		if state.ConfigVersion != old.ConfigVersion {
			p.allowance.setConfig(p.config)
		}
		p.gateway.SetState(state, p.config)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	return nil
}

// updateControlAddresses adopts the addresses of the control hosts that control
// reports, which may differ from those of the settings.
func (p *Gateway) updateControlAddresses(control []string) {
	if len(control) == 0 {
		return
	}
	p.mu.Lock()
	p.discovered = control
	addresses := mergeAddresses(control, p.seeds)
	p.mu.Unlock()
	p.control.SetAddresses(addresses)
}

// shedInterval is how often loopShed checks whether the host is cut off from
// control. The load balancer takes 2 s to send new callers to other hosts.
const shedInterval = 500 * time.Millisecond

// loopShed closes idle caller connections while this host is cut off from
// control, so that their callers reconnect to a host that can serve them.
func (p *Gateway) loopShed(ctx context.Context) {
	for ctx.Err() == nil {
		if p.gateway.CutOff() && p.callers.Connections() > 0 {
			p.opts.Events.Event("callers_shed").Int("left", p.callers.Quiesce()).Msg("cut off from control; idle callers are sent elsewhere")
		}
		pause(ctx, shedInterval)
	}
}

const (
	// stopNoticePeriod is how long a stopping process keeps serving while it
	// reports not ready: the load balancer checks every second and takes a host
	// out after two failed checks.
	stopNoticePeriod = 2200 * time.Millisecond
	// transactionStopFraction is the fraction of the stop timeout after which open
	// transactions are aborted. The notice period is at most that long, too.
	transactionStopFraction = 0.5
	// refuseStopFraction is the fraction of the stop timeout after which statements
	// that were not sent to a server are refused. What was sent then has the rest
	// of the timeout to end.
	refuseStopFraction = 0.65
	// stopAnswerReserve is the time before the end of the stop timeout at which
	// statements still at a server are aborted, so that their callers get an answer.
	stopAnswerReserve = 300 * time.Millisecond
	// stopPollInterval is how often a stopping process closes idle connections.
	stopPollInterval = 20 * time.Millisecond
)

// stopStep is a step of a planned stop, which is repeated from a time on.
type stopStep struct {
	from time.Time
	take func()
}

// stopSteps returns the steps of a planned stop between begun and deadline, in
// order. Each of them ends more of the remaining work, so that every statement that
// was accepted is answered.
func (p *Gateway) stopSteps(begun, deadline time.Time) []stopStep {
	fraction := func(f float64) time.Time { return begun.Add(time.Duration(f * float64(deadline.Sub(begun)))) }
	return []stopStep{
		{fraction(transactionStopFraction), p.gateway.AbortTransactions},
		{fraction(transactionStopFraction), p.relay.abortTransactions},
		{fraction(refuseStopFraction), p.callers.CancelLines},
		{deadline.Add(-stopAnswerReserve), p.gateway.AbortStatements},
	}
}

// Stop performs a planned stop. Callers are served until the load balancer
// has taken the host out; then their connections are closed as they become idle.
func (p *Gateway) Stop(ctx context.Context) error {
	begun := time.Now()
	p.opts.Events.Event("stopping").Int("callers", p.callers.Connections()).Msg("planned stop")
	p.gateway.Drain()
	notice := stopNoticePeriod
	var steps []stopStep
	if deadline, ok := ctx.Deadline(); ok {
		steps = p.stopSteps(begun, deadline)
		notice = min(notice, time.Until(steps[0].from))
	}
	pause(ctx, notice)
	for ctx.Err() == nil && (p.callers.Quiesce() > 0 || p.relay.busy()) {
		for _, step := range steps {
			if !time.Now().Before(step.from) {
				step.take()
			}
		}
		pause(ctx, stopPollInterval)
	}
	p.callers.Close()
	p.leave()
	p.relay.shutdown(ctx)
	err := p.shutdown(ctx)
	p.close()
	p.gateway.Close()
	p.opts.Events.Event("stopped").Err(ctx.Err()).Dur("after_ms", time.Since(begun)).Msg("gateway process stopped")
	return Error.Wrap(err)
}

// leaveTimeout bounds the request that gives up the lease. If it fails, the lease
// expires by itself.
const leaveTimeout = 300 * time.Millisecond

// leave gives up the lease with a last report, so that no change of a primary
// waits for its expiry or lacks a position that this host has seen.
func (p *Gateway) leave() {
	p.syncTasks.stop()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.mu.Lock()
	version := p.state.Version
	p.mu.Unlock()
	args := &directoryrpc.SyncArgs{Host: p.host, Version: version, Reports: p.gateway.Reports(), Leaving: true}
	if _, err := p.control.Sync(ctx, args); err != nil {
		p.opts.Events.Event("leave_failed").Err(err).Msg("giving up the lease failed; it will expire")
	}
}
