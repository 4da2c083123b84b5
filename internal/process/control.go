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
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// ControlOptions configures a control process.
type ControlOptions struct {
	Settings settings.Settings
	Logger   zerolog.Logger
	Dial     DialFunc // to other hosts; nil for TCP
}

// Control is a running control process.
type Control struct {
	*base
	control *control.Control
	node    *consensus.Node
	sender  *sender
}

// StartControl opens the data folder and the listeners and starts the process.
func StartControl(opts ControlOptions) (*Control, error) {
	b, err := newBase(opts.Settings, opts.Logger, opts.Dial, nil)
	if err != nil {
		return nil, err
	}
	p := &Control{base: b}
	if err := p.start(); err != nil {
		p.abort()
		return nil, err
	}
	return p, nil
}

func (p *Control) start() error {
	owners := ownerrpc.Client{Call: p.pool.Call}
	p.control = control.New(control.Options{
		Registry: p.registry,
		Members:  memberCalls(),
		Revoke:   owners.Revoke,
		Logger:   p.partLogger("control"),
	})
	p.sender = newSender(p.pool.Start)
	node, err := consensus.Start(consensus.Options{
		ID:        p.cfg.Host.ID,
		Address:   p.lns.peers.Addr().String(),
		Dir:       p.cfg.Control.DataFolder,
		Bootstrap: bootstrapMembers(p.cfg.Control),
		Join:      !p.cfg.Control.Bootstrap,
		Send:      p.sender.send,
		Apply:     p.control.Apply,
		Snapshot:  p.control.Snapshot,
		Restore:   p.control.Restore,
		OnLeader:  p.control.OnLeader,
		Logger:    p.partLogger("consensus"),
	})
	if err != nil {
		return err
	}
	p.node = node
	p.control.Start(controlLog(node))
	return p.startServices()
}

func (p *Control) startServices() error {
	if err := p.peers.Register("Control", p.control.Service()); err != nil {
		return err
	}
	if err := p.peers.Register("Consensus", &consensusService{step: p.node.Step}); err != nil {
		return err
	}
	client := &controlrpc.Client{Addresses: p.addresses(), Call: p.pool.Call}
	p.serve(operator.Handlers{
		Announce: client.Announce,
		Apply:    checkedApply(client.Apply),
		Get:      client.Get,
		Drain:    client.Drain,
		Failover: client.Failover,
		Dump:     func() any { return p.Dump() },
		Ready:    func() bool { _, known := p.node.Leader(); return known },
	})
	p.tasks.start((&membership{node: p.node, log: p.log}).loop)
	p.log.Info().Str("host", p.cfg.Host.ID).Str("peers", p.PeerAddress()).
		Str("operators", p.OperatorAddress()).Msg("control process started")
	return nil
}

// addresses returns the peer addresses of the control hosts, this one first.
func (p *Control) addresses() []string {
	addresses := []string{p.PeerAddress()}
	for _, a := range p.cfg.Control.Addresses {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

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

// Stop performs a planned stop. The error says what was not finished before
// ctx ended.
func (p *Control) Stop(ctx context.Context) error {
	var group errs.Group
	group.Add(p.control.Stop(ctx))
	group.Add(p.shutdown(ctx))
	group.Add(p.node.Stop(ctx))
	p.abort()
	p.log.Info().AnErr("unfinished", group.Err()).Msg("control process stopped")
	return Error.Wrap(group.Err())
}

// Abort stops the process at once, like a crash.
func (p *Control) Abort() {
	_ = p.shutdown(canceledContext())
	_ = p.control.Stop(canceledContext())
	_ = p.node.Stop(context.Background())
	p.abort()
}

func (p *Control) abort() {
	p.close()
	if p.sender != nil {
		p.sender.close()
	}
}

func bootstrapMembers(cfg settings.Control) []consensus.Member {
	var members []consensus.Member
	for id, address := range cfg.PeerMembers() {
		members = append(members, consensus.Member{ID: id, Address: address})
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
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
		TransferLeadership: func(ctx context.Context) error { return transferLeadership(ctx, node) },
	}
}

// transferLeadership transfers leadership, unless this host is the only voter.
// It gives up after handoverTimeout: when no other voter answers, waiting for
// the whole stop timeout would not help.
func transferLeadership(ctx context.Context, node *consensus.Node) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, m := range node.Members() {
		if !m.Learner && m.ID != node.Self().ID {
			return node.TransferLeadership(ctx)
		}
	}
	return nil
}

// memberCalls returns the calls of control to backend servers. Each call opens a
// connection of its own, one of the two per server that owners leave unused.
// Control calls a server when its primary changes, and every few seconds to
// repeat which primary it follows.
func memberCalls() control.Members {
	return control.Members{
		Status: func(ctx context.Context, address string) (control.MemberStatus, error) {
			return callMember(ctx, address, (*backend.Conn).Status)
		},
		Fence: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return callMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Fence(ctx, term)
			})
		},
		Promote: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return callMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Promote(ctx, term)
			})
		},
		Follow: func(ctx context.Context, address, primary string, term uint64) (control.MemberStatus, error) {
			return callMember(ctx, address, func(c *backend.Conn, ctx context.Context) (backend.Status, error) {
				return c.Follow(ctx, primary, term)
			})
		},
	}
}

// callMember connects to a backend server for one call.
func callMember(ctx context.Context, address string, call func(*backend.Conn, context.Context) (backend.Status, error)) (control.MemberStatus, error) {
	conn, err := backend.Connect(ctx, backend.ConnOptions{Address: address, Database: "postgres", User: backendUser})
	if err != nil {
		return control.MemberStatus{}, err
	}
	defer func() { _ = conn.Close() }()
	st, err := call(conn, ctx)
	return control.MemberStatus(st), err
}
