package process

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
)

const (
	// directoryHeartbeatInterval and directoryElectionTimeout allow for a slow
	// disk that takes 125 ms to sync.
	directoryHeartbeatInterval = 75 * time.Millisecond
	directoryElectionTimeout   = 300 * time.Millisecond
	// callTimeout bounds a call on behalf of a backend server or operator, which
	// retries at another host after a second.
	callTimeout = 900 * time.Millisecond
	// voterReplaceTimeout is how long a control host must not have answered before
	// another one in its data centre replaces it in the membership.
	voterReplaceTimeout = 2 * time.Second
)

// DirectoryOptions configures a directory process.
type DirectoryOptions struct {
	Settings settings.Settings
	Adapter  Adapter
	Events   *eventlog.Log
	Dial     DialFunc         // to other hosts; nil for TCP
	Registry metrics.Registry // nil: StartDirectory creates a private registry
}

// Directory is a running directory process.
type Directory struct {
	*base
	opts      DirectoryOptions
	directory *directory.Directory
	node      *consensus.Node
	sender    *sender
	client    *directoryrpc.Client
	configs   configCache

	mu    sync.Mutex
	seeds []string // control addresses of the settings
}

// StartDirectory opens the data folder and the listeners and starts the
// process.
func StartDirectory(opts DirectoryOptions) (*Directory, error) {
	b, err := newBase(opts.Settings, opts.Events.Logger(), opts.Dial, opts.Registry)
	if err != nil {
		return nil, err
	}
	p := &Directory{base: b, opts: opts, configs: configCache{parse: opts.Adapter.ParseConfig}, seeds: opts.Settings.Control.PeerAddresses()}
	if err := p.start(); err != nil {
		p.abort()
		return nil, err
	}
	return p, nil
}

func (p *Directory) start() error {
	p.directory = directory.New(directory.Options{
		Host:         p.cfg.Host.Name,
		Members:      p.opts.Adapter.Members,
		Promote:      p.opts.Adapter.Promote(p.cfg.Promotion.Address),
		SyncReplicas: p.syncReplicas,
		Limits:       p.limits,
		Allowance: allowance.Params{
			Window: p.cfg.Allowance.Window.Std(), Overage: p.cfg.Allowance.Overage, Tolerance: p.cfg.Allowance.Tolerance,
		},
		Declares: p.declares,
		Control:  p.addresses,
		Events:   p.opts.Events,
		Registry: p.registry,
	})
	p.sender = newSender(p.pool.Start)
	node, err := consensus.Start(consensus.Options{
		ID:                p.cfg.Host.ID,
		Address:           p.lns.peers.Addr().String(),
		Dir:               p.cfg.Control.DataFolder,
		Bootstrap:         bootstrapMembers(p.cfg.Control),
		Join:              !p.isInitialMember(),
		Send:              p.sender.send,
		Apply:             p.directory.Apply,
		Snapshot:          p.directory.Snapshot,
		Restore:           p.directory.Restore,
		OnLeader:          p.directory.OnLeader,
		HeartbeatInterval: directoryHeartbeatInterval,
		ElectionTimeout:   directoryElectionTimeout,
		Logger:            p.partLogger("consensus"),
	})
	if err != nil {
		return err
	}
	p.node = node
	p.directory.Start(controlLog(node))
	if err := p.peers.Register("Directory", p.directory.Service()); err != nil {
		return err
	}
	if err := p.peers.Register("Consensus", &consensusService{step: p.node.Step}); err != nil {
		return err
	}
	p.client = directoryrpc.NewClient(p.addresses(), p.pool.Call)
	p.client.UseLeader(p.leaderAddress)
	p.serve(operator.Handlers{
		Dump:   func() any { return p.Dump() },
		Ready:  func() bool { _, known := p.node.Leader(); return known },
		Routes: p.opts.Adapter.ControlRoutes(ControlPlane{Announce: p.announce, Put: p.put, Get: p.get}),
	})
	p.tasks.start((&membership{node: p.node, log: p.log, dataCentres: p.dataCentres, replaceTimeout: voterReplaceTimeout}).loop)
	p.tasks.start(p.loopRegister)
	p.opts.Events.Event("started").Str("peers", p.PeerAddress()).Bool("bootstrap", p.cfg.Control.Bootstrap).
		Strs("control", p.seeds).Msg("directory process started")
	return nil
}

// isInitialMember reports whether this host is one of the members that bootstrap
// a new installation. Other hosts join them.
func (p *Directory) isInitialMember() bool {
	_, listed := p.cfg.Control.Members[p.cfg.Host.ID]
	return p.cfg.Control.Bootstrap && listed
}

// dataCentres returns the data centre of each registered control host by id.
func (p *Directory) dataCentres() map[string]string { return p.directory.State().Controls }

// registerRetryDelay is the delay between two attempts to register.
const registerRetryDelay = time.Second

// loopRegister registers the data centre of this host with the control leader,
// and repeats this until the replicated log holds it.
func (p *Directory) loopRegister(ctx context.Context) {
	for ctx.Err() == nil && p.dataCentres()[p.cfg.Host.ID] != p.cfg.Host.DataCentre {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := p.leaderClient().Register(callCtx, &directoryrpc.RegisterArgs{ID: p.cfg.Host.ID, DataCentre: p.cfg.Host.DataCentre})
		cancel()
		if err != nil {
			p.opts.Events.Event("register_failed").Err(err).Msg("registering the data centre of this host with control failed; trying again")
		}
		pause(ctx, registerRetryDelay)
	}
}

// addresses returns the peer addresses of the control hosts, this one first.
func (p *Directory) addresses() []string {
	addresses := []string{p.PeerAddress()}
	if p.node != nil {
		for _, m := range p.node.Members() {
			addresses = append(addresses, m.Address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return mergeAddresses(addresses, p.seeds)
}

// leaderAddress returns the address of the leader that the replicated log of this host
// follows, or "" if there is none.
func (p *Directory) leaderAddress() string {
	leader, _ := p.node.Leader()
	return leader.Address
}

// leaderClient returns the client that calls the control leader, after updating
// its addresses to the control hosts that are known now.
func (p *Directory) leaderClient() *directoryrpc.Client {
	p.client.SetAddresses(p.addresses())
	return p.client
}

// syncReplicas returns the number of synchronous replicas that the configuration
// in force sets for group, or 0 if there is no readable configuration.
func (p *Directory) syncReplicas(s directoryrpc.State, group string) int {
	cfg, err := p.configs.get(s)
	if err != nil {
		p.log.Error().Err(err).Uint64("config_version", s.ConfigVersion).Msg("configuration in force can't be parsed; using no synchronous replicas")
		return 0
	}
	return cfg.Groups[group].SyncReplicas
}

// limits returns the limits of customers in the configuration in force. There are none
// if it can't be read: gateways, which can't read it either, then lose their leases.
func (p *Directory) limits(s directoryrpc.State) map[string]allowance.Limit {
	limits, _ := p.configs.limitsOf(s) // syncReplicas logs the error
	return limits
}

// declares reports whether the configuration in force declares group, or there is no
// readable configuration.
func (p *Directory) declares(s directoryrpc.State, group string) bool {
	if s.ConfigVersion == 0 {
		return true
	}
	cfg, err := p.configs.get(s)
	if err != nil {
		p.opts.Events.Event("config_unreadable").Err(err).Uint64("config_version", s.ConfigVersion).
			Msg("configuration in force can't be parsed; servers of every group are accepted")
		return true
	}
	_, declared := cfg.Groups[group]
	return declared
}

// announce returns at once if the replicated state already holds the same
// announcement of a declared group; others are sent to the leader.
func (p *Directory) announce(ctx context.Context, s directoryrpc.Server, gone bool) error {
	if known, ok := p.directory.Server(s.ID); ok && !gone && s.Same(known) && p.declares(p.directory.Config(), s.Group) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := p.leaderClient().Announce(ctx, &directoryrpc.AnnounceArgs{Server: s, Gone: gone})
	if err == nil {
		err = kindError(reply.Kind, reply.Detail)
	}
	p.logFailedCall("announce", sentAt, err)
	return err
}

func (p *Directory) put(ctx context.Context, version uint64, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := p.leaderClient().Put(ctx, &directoryrpc.PutArgs{Version: version, Document: directoryrpc.Compress(document)})
	if err == nil {
		err = kindError(reply.Kind, reply.Detail)
	}
	p.logFailedCall("put", sentAt, err)
	return err
}

func (p *Directory) get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := p.leaderClient().Get(ctx, &directoryrpc.GetArgs{})
	if err == nil {
		err = kindError(reply.Kind, reply.Detail)
	}
	p.logFailedCall("get", sentAt, err)
	if err != nil || reply.Version == 0 {
		return nil, err
	}
	return directoryrpc.Decompress(reply.Document)
}

// logFailedCall logs a call to the leader on behalf of a backend server or operator
// that failed with err, with the leader and the members that this host knows of.
func (p *Directory) logFailedCall(call string, sentAt time.Time, err error) {
	if err == nil {
		return
	}
	p.opts.Events.Event("control_call_failed").Str("call", call).Str("leader", p.leaderAddress()).Strs("asked", p.addresses()).
		Dur("took_ms", time.Since(sentAt)).Err(err).Msg("a call to the control leader failed")
}

// kindError returns the error that a reply carries, or nil for errkind.OK.
func kindError(kind errkind.Kind, detail string) error {
	if kind == errkind.OK {
		return nil
	}
	return errkind.New(kind, "%s", detail)
}

// Reload applies the addresses of the control hosts from changed settings. Other
// changes are ignored.
func (p *Directory) Reload(cfg settings.Settings) {
	p.mu.Lock()
	p.seeds = slices.Clone(cfg.Control.PeerAddresses())
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := p.node.SetSeeds(ctx, bootstrapMembers(cfg.Control))
	p.opts.Events.Event("reloaded").Strs("control", p.addresses()).Err(err).Msg("settings reloaded")
}

// DirectoryDump is the state of a directory process.
type DirectoryDump struct {
	Log   consensus.Status   `json:"log"`
	State directoryrpc.State `json:"state"`
	// Allowances is absent on other hosts than the leader, and without limits.
	Allowances *allowance.LedgerDump `json:"allowances,omitempty"`
}

// Dump returns the state of the process.
func (p *Directory) Dump() DirectoryDump {
	return DirectoryDump{Log: p.node.Status(), State: p.directory.State(), Allowances: p.directory.Allowances()}
}

// Done is closed when the replicated log has stopped, for example because a
// write to the data folder failed.
func (p *Directory) Done() <-chan struct{} { return p.node.Done() }

// Stop performs a planned stop.
func (p *Directory) Stop(ctx context.Context) error {
	p.opts.Events.Event("stopping").Bool("leads", p.node.IsLeader()).Msg("planned stop")
	var group errs.Group
	group.Add(p.directory.Stop(ctx))
	group.Add(p.shutdown(ctx))
	group.Add(p.node.Stop(ctx))
	p.abort()
	p.opts.Events.Event("stopped").Err(group.Err()).Msg("directory process stopped")
	return Error.Wrap(group.Err())
}

func (p *Directory) abort() {
	p.close()
	if p.sender != nil {
		p.sender.close()
	}
}
