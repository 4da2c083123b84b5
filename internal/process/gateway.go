package process

import (
	"context"
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
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rcrowley/go-metrics"
)

const (
	// syncWait is how long control holds a request without news. With it, at
	// least 1.7 s of a lease of 2.2 s are left when control is lost.
	syncWait = 500 * time.Millisecond
	// syncLimit bounds a request with its repetitions at other control hosts.
	syncLimit = 1500 * time.Millisecond
	// syncPause keeps failing requests from spinning.
	syncPause = 50 * time.Millisecond
	// failingWait takes the place of syncWait while a primary fails, so that
	// control learns soon how that goes on.
	failingWait = 100 * time.Millisecond
)

// GatewayOptions configure a gateway process.
type GatewayOptions struct {
	Settings settings.Settings
	Adapter  Adapter
	Events   *eventlog.Log
	Dial     DialFunc         // to control hosts; nil for TCP
	Registry metrics.Registry // nil for a private one
}

// Gateway is a running gateway process.
type Gateway struct {
	*base
	opts    GatewayOptions
	host    directoryrpc.Host
	control *directoryrpc.Client
	gateway *gateway.Gateway
	callers *lineserver.Server
	syncing tasks // renew the lease; they end before the other goroutines

	mu      sync.Mutex
	state   directoryrpc.State // in force here, with its document
	seeds   []string           // control addresses of the settings
	learned []string           // control addresses that control named
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
		host: directoryrpc.Host{ID: cfg.Host.ID, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36)},
	}
	p.control = directoryrpc.NewClient(p.seeds, p.pool.Call)
	p.gateway = gateway.New(gateway.Options{
		Connect:  opts.Adapter.Connect,
		Place:    gateway.Place{DataCentre: cfg.Host.DataCentre, Regions: cfg.Host.Regions},
		Events:   opts.Events,
		Registry: p.registry,
	})
	p.callers = lineserver.New(lineserver.Options{
		Address: cfg.Listen.Callers, Handler: opts.Adapter.Callers(p.gateway), Logger: p.part("callers"), MaxLine: opts.Adapter.MaxLine,
	})
	if err := p.callers.Start(); err != nil {
		p.close()
		p.gateway.Close()
		return nil, err
	}
	p.serve(operator.Handlers{
		Dump: func() any { return p.Dump() }, Ready: p.gateway.Ready, Routes: opts.Adapter.EntryRoutes(p.gateway.Ready),
	})
	p.syncing.start(p.loopSync)
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
}

// Dump returns the state of the process.
func (p *Gateway) Dump() GatewayDump {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	return GatewayDump{Host: p.host, State: state, Sessions: p.gateway.Sessions(), Callers: p.callers.Connections(), Gateway: p.gateway.Dump()}
}

// Reload applies changed settings: the addresses of the control hosts.
func (p *Gateway) Reload(cfg settings.Settings) {
	p.mu.Lock()
	p.seeds = cfg.Control.PeerAddresses()
	addresses := merge(p.learned, p.seeds)
	p.mu.Unlock()
	p.control.SetAddresses(addresses)
	p.opts.Events.Event("reloaded").Strs("control", addresses).Msg("settings were read again")
}

// merge returns the addresses of both lists, each once.
func merge(first, second []string) []string {
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

// loopSync renews the lease and takes over each new state until ctx ends.
func (p *Gateway) loopSync(ctx context.Context) {
	connected := false
	for ctx.Err() == nil {
		err := p.sync(ctx)
		if ok := err == nil; ok != connected && ctx.Err() == nil {
			connected = ok
			kind := "control_regained"
			if !ok {
				kind = "control_lost"
			}
			p.opts.Events.Event(kind).Err(err).Msg("connection to control")
		}
		if err != nil {
			pause(ctx, syncPause)
		}
	}
}

// sync sends one request. What it takes away from this host is released before
// the next request confirms the state. The lease counts from before the request.
func (p *Gateway) sync(ctx context.Context) error {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, syncLimit)
	defer cancel()
	args := &directoryrpc.SyncArgs{
		Host: p.host, Version: state.Version, ConfigVersion: state.ConfigVersion, Reports: p.gateway.Reports(), Wait: syncWait,
	}
	if slices.ContainsFunc(args.Reports, func(r directoryrpc.Report) bool { return r.Failing > 0 }) {
		// A request that reports a failure is not broken off by the next one:
		// the host would never get its lease renewed.
		args.Wait = failingWait
	} else {
		stop := make(chan struct{})
		defer close(stop)
		p.syncing.wg.Go(func() { p.runAlarm(stop, cancel) })
	}
	sent := clock.Now()
	reply, err := p.control.Sync(ctx, args)
	if err != nil {
		if context.Cause(ctx) == context.Canceled {
			return nil // a primary fails: the next request reports it
		}
		return err
	}
	if reply.Kind != errkind.OK {
		return errkind.New(reply.Kind, "%s", reply.Detail)
	}
	if reply.Changed {
		if err := p.take(state, reply.State); err != nil {
			return err
		}
	}
	p.gateway.Renew(sent.Add(reply.TTL), reply.Hosts)
	p.learn(reply.Control)
	p.gateway.Release()
	return nil
}

// runAlarm ends a request that waits for news when a primary begins to fail.
func (p *Gateway) runAlarm(stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-p.gateway.Alarm():
		cancel()
	case <-stop:
	}
}

// take puts a state into force. A configuration that this release can't read
// leaves everything unchanged: the lease then runs out, which is better than
// guessing.
func (p *Gateway) take(old, state directoryrpc.State) error {
	if state.Version <= old.Version {
		return nil
	}
	if state.ConfigVersion == old.ConfigVersion {
		state.Document = old.Document
	}
	document, err := directoryrpc.Decompress(state.Document)
	if err != nil {
		return err
	}
	if len(document) > 0 {
		cfg, err := p.opts.Adapter.ParseConfig(document)
		if err != nil {
			return err
		}
		p.gateway.SetState(state, cfg)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	return nil
}

// learn remembers the control hosts, which may differ from the settings.
func (p *Gateway) learn(control []string) {
	if len(control) == 0 {
		return
	}
	p.mu.Lock()
	p.learned = control
	addresses := merge(control, p.seeds)
	p.mu.Unlock()
	p.control.SetAddresses(addresses)
}

// shedPause is the pause between two looks at the lease of a host that is cut
// off. The load balancer takes 2 s to send new callers elsewhere.
const shedPause = 500 * time.Millisecond

// loopShed closes idle caller connections while this host is cut off from
// control: their callers find a host that can serve them.
func (p *Gateway) loopShed(ctx context.Context) {
	for ctx.Err() == nil {
		if p.gateway.CutOff() && p.callers.Connections() > 0 {
			p.opts.Events.Event("callers_shed").Int("left", p.callers.Quiesce()).Msg("cut off from control; idle callers are sent elsewhere")
		}
		pause(ctx, shedPause)
	}
}

const (
	// stopNotice is how long a stopping process goes on as before, so that the
	// load balancer learns that it is not ready: it asks every second and needs
	// two misses.
	stopNotice = 2200 * time.Millisecond
	// stopTransactions is the part of the planned stop that open transactions
	// have to end.
	stopTransactions = 2
	// stopPoll is how often idle connections are looked for.
	stopPoll = 20 * time.Millisecond
)

// Stop is the planned stop. Callers are served until the load balancer has
// taken the host out; then their connections are closed as they become idle.
func (p *Gateway) Stop(ctx context.Context) error {
	begun := time.Now()
	p.opts.Events.Event("stopping").Int("callers", p.callers.Connections()).Msg("planned stop")
	p.gateway.Drain()
	limit := stopNotice
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/stopTransactions)
	}
	pause(ctx, limit)
	for ctx.Err() == nil {
		if deadline, ok := ctx.Deadline(); ok && time.Since(begun) > deadline.Sub(begun)/stopTransactions {
			p.gateway.AbortTransactions()
		}
		if p.callers.Quiesce() == 0 {
			break
		}
		pause(ctx, stopPoll)
	}
	p.callers.Close()
	p.leave()
	err := p.shutdown(ctx)
	p.close()
	p.gateway.Close()
	p.opts.Events.Event("stopped").Err(ctx.Err()).Dur("after_ms", time.Since(begun)).Msg("gateway process stopped")
	return Error.Wrap(err)
}

// leaveLimit bounds the request that gives the lease up. It runs out by itself.
const leaveLimit = 300 * time.Millisecond

// leave gives the lease up, so that no change of a primary waits for it.
func (p *Gateway) leave() {
	p.syncing.stop()
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if _, err := p.control.Sync(ctx, &directoryrpc.SyncArgs{Host: p.host, Leaving: true}); err != nil {
		p.opts.Events.Event("leave_failed").Err(err).Msg("the lease was not given up")
	}
}
