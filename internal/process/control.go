package process

import (
	"context"
	"slices"
	"strings"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// ControlOptions configure a control process.
type ControlOptions struct {
	Settings settings.Settings
	Logger   zerolog.Logger
	Dial     DialFunc // to other hosts; nil for TCP
}

// Control is a running control process.
type Control struct {
	opts     ControlOptions
	registry metrics.Registry
	pool     *peer.Pool
	peers    *peer.Server
	http     *operator.Server
	control  *control.Control
	node     *consensus.Node
	sender   *sender
	lns      listeners
	tasks    tasks
}

// StartControl opens the data folder and the listeners and starts the process.
func StartControl(opts ControlOptions) (*Control, error) {
	lns, err := listen(opts.Settings.Listen)
	if err != nil {
		return nil, err
	}
	p := &Control{opts: opts, lns: lns, registry: metrics.NewRegistry(), pool: peer.NewPool(peer.PoolOptions{Dial: opts.Dial})}
	if err := p.start(); err != nil {
		p.abort()
		return nil, err
	}
	return p, nil
}

func (p *Control) start() error {
	owners := ownerrpc.Client{Call: p.pool.Call}
	p.control = control.New(control.Options{
		Members: members(),
		Revoke:  owners.Revoke,
		Logger:  p.opts.Logger.With().Str("part", "control").Logger(),
	})
	p.sender = newSender(p.pool.Call)
	node, err := consensus.Start(consensus.Options{
		ID:        p.opts.Settings.Host.ID,
		Address:   p.lns.peers.Addr().String(),
		Dir:       p.opts.Settings.Control.DataFolder,
		Bootstrap: bootstrapMembers(p.opts.Settings.Control),
		Join:      !p.opts.Settings.Control.Bootstrap,
		Send:      p.sender.send,
		Apply:     p.control.Apply,
		Snapshot:  p.control.Snapshot,
		Restore:   p.control.Restore,
		OnLeader:  p.control.OnLeader,
		Logger:    p.opts.Logger.With().Str("part", "consensus").Logger(),
	})
	if err != nil {
		return err
	}
	p.node = node
	p.control.Start(controlLog(node))
	return p.serve()
}

func (p *Control) serve() error {
	p.peers = peer.NewServer(peer.ServerOptions{})
	if err := p.peers.Register("Control", p.control.Service()); err != nil {
		return err
	}
	if err := p.peers.Register("Consensus", &consensusService{step: p.node.Step}); err != nil {
		return err
	}
	client := &controlrpc.Client{Addresses: p.addresses(), Call: p.pool.Call}
	p.http = operator.NewServer(operator.Handlers{
		Announce: client.Announce,
		Apply:    client.Apply,
		Get:      client.Get,
		Drain:    client.Drain,
		Failover: client.Failover,
		Dump:     func() any { return p.Dump() },
		Ready:    func() bool { _, known := p.node.Leader(); return known },
		Registry: p.registry,
	}, p.opts.Logger)
	p.tasks.start(p.runPeers)
	p.tasks.start(p.runOperators)
	p.tasks.start(p.loopMembership)
	p.opts.Logger.Info().Str("host", p.opts.Settings.Host.ID).Str("peers", p.PeerAddress()).
		Str("operators", p.OperatorAddress()).Msg("control process started")
	return nil
}

func (p *Control) runPeers(context.Context) {
	if err := p.peers.Serve(p.lns.peers); err != nil {
		p.opts.Logger.Error().Err(err).Msg("peer listener failed")
	}
}

func (p *Control) runOperators(context.Context) {
	if err := p.http.Serve(p.lns.operators); err != nil {
		p.opts.Logger.Error().Err(err).Msg("operator listener failed")
	}
}

// addresses returns the peer addresses of the control hosts, this one first.
func (p *Control) addresses() []string {
	all := []string{p.PeerAddress()}
	for _, a := range p.opts.Settings.Control.Addresses {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

// PeerAddress returns the address for the project's own processes.
func (p *Control) PeerAddress() string { return p.lns.peers.Addr().String() }

// OperatorAddress returns the address of the operator interface.
func (p *Control) OperatorAddress() string { return p.lns.operators.Addr().String() }

// Done is closed when the replicated log has stopped, for example because a
// write to the data folder failed.
func (p *Control) Done() <-chan struct{} { return p.node.Done() }

// ControlDump is the state of a control process.
type ControlDump struct {
	Log     consensus.Status `json:"log"`
	Control any              `json:"control"`
}

// Dump returns the state of the process.
func (p *Control) Dump() ControlDump {
	return ControlDump{Log: p.node.Status(), Control: p.control.Dump()}
}

// Stop is the planned stop. Its error tells what could not be finished before
// ctx ended.
func (p *Control) Stop(ctx context.Context) error {
	var group errs.Group
	group.Add(p.control.Stop(ctx))
	group.Add(p.http.Shutdown(ctx))
	group.Add(p.peers.Shutdown(ctx))
	group.Add(p.node.Stop(ctx))
	p.abort()
	p.opts.Logger.Info().AnErr("unfinished", group.Err()).Msg("control process stopped")
	return Error.Wrap(group.Err())
}

// Abort ends the process at once, as a crash does.
func (p *Control) Abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.peers.Shutdown(ctx)
	_ = p.http.Shutdown(ctx)
	_ = p.control.Stop(ctx)
	_ = p.node.Stop(context.Background())
	p.abort()
}

func (p *Control) abort() {
	p.lns.close()
	p.tasks.stop()
	p.pool.Close()
	if p.sender != nil {
		p.sender.close()
	}
}

func bootstrapMembers(cfg settings.Control) []consensus.Member {
	var all []consensus.Member
	for id, address := range cfg.Members {
		all = append(all, consensus.Member{ID: id, Address: address})
	}
	slices.SortFunc(all, func(a, b consensus.Member) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func controlLog(node *consensus.Node) control.Log {
	return control.Log{
		Propose:     node.Propose,
		IsLeader:    node.IsLeader,
		LeaseValid:  node.LeaseValid,
		ReadBarrier: node.ReadBarrier,
		Leader: func() (string, bool) {
			m, ok := node.Leader()
			return m.Address, ok
		},
		TransferLeadership: func(ctx context.Context) error { return handOver(ctx, node) },
	}
}

// handOver transfers leadership, unless this host is the only voter. When no
// other voter answers, waiting for the whole time of the planned stop would
// not help.
func handOver(ctx context.Context, node *consensus.Node) error {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for _, m := range node.Members() {
		if !m.Learner && m.ID != node.Self().ID {
			return node.TransferLeadership(ctx)
		}
	}
	return nil
}

// members connects control to backend servers: one short connection for each
// call, because control calls a server only when its primary changes.
func members() control.Members {
	return control.Members{
		Status: func(ctx context.Context, address string) (control.MemberStatus, error) {
			return withMember(ctx, address, (*backend.Conn).Status)
		},
		Fence: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return withMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Fence(ctx, term)
			})
		},
		Promote: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return withMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Promote(ctx, term)
			})
		},
		Follow: func(ctx context.Context, address, primary string, term uint64) (control.MemberStatus, error) {
			return withMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Follow(ctx, primary, term)
			})
		},
	}
}

func withMember(ctx context.Context, address string, call func(*backend.Conn, context.Context) (backend.Status, error)) (control.MemberStatus, error) {
	conn, err := backend.Connect(ctx, backend.ConnOptions{Address: address, Database: "postgres", User: backendUser})
	if err != nil {
		return control.MemberStatus{}, err
	}
	defer func() { _ = conn.Close() }()
	st, err := call(conn, ctx)
	return control.MemberStatus(st), err
}
