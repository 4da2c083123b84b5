package process

import (
	"context"
	"net"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// base holds what every kind of process has: listeners for peers (the project's
// own processes) and for operators, connections to other hosts, and goroutines.
type base struct {
	cfg      settings.Settings
	log      zerolog.Logger
	registry metrics.Registry
	memory   *limit.Budget // shared by all that callers make the process hold
	pool     *peer.Pool
	peers    *peer.Server
	relays   func(ln net.Listener) error // serves the peer listener instead of peers; nil except in gateways
	http     *operator.Server            // nil until the process has started
	lns      listeners
	tasks    tasks
}

// newBase opens the listeners. If registry is nil, it creates a private one.
func newBase(cfg settings.Settings, log zerolog.Logger, dial DialFunc, registry metrics.Registry) (*base, error) {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	lns, err := listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	return &base{
		cfg: cfg, log: log, lns: lns,
		registry: registry,
		memory:   limit.NewBudget(limit.BudgetOptions{MemoryMB: cfg.Host.MemoryMB, Registry: registry}),
		pool:     peer.NewPool(peer.PoolOptions{Dial: dial}),
		peers: peer.NewServer(peer.ServerOptions{
			Logger: log, Registry: registry,
			MaxConnections: peerConnections(cfg.Listen),
			// A budget of its own: callers must not keep the hosts from talking to each
			// other.
			Memory: limit.NewBudget(limit.BudgetOptions{MemoryMB: cfg.Host.MemoryMB / 2}),
		}),
	}, nil
}

// partLogger returns the logger of one part of the process.
func (b *base) partLogger(name string) zerolog.Logger { return b.log.With().Str("part", name).Logger() }

// serve starts the operator server, and the peer server if the process has a
// peer listener.
func (b *base) serve(h operator.Handlers) {
	h.Registry, h.Memory, h.MaxConnections = b.registry, b.memory, operatorConnections(b.cfg.Listen)
	b.http = operator.NewServer(h, b.log)
	if b.lns.peers != nil {
		b.tasks.start(b.runPeers)
	}
	b.tasks.start(b.runOperators)
}

func (b *base) runPeers(context.Context) {
	serve := b.peers.Serve
	if b.relays != nil {
		serve = b.relays
	}
	if err := serve(b.lns.peers); err != nil {
		b.log.Error().Err(err).Msg("peer listener failed")
	}
}

func (b *base) runOperators(context.Context) {
	if err := b.http.Serve(b.lns.operators); err != nil {
		b.log.Error().Err(err).Msg("operator listener failed")
	}
}

// shutdown stops both servers after they have answered the requests in progress.
func (b *base) shutdown(ctx context.Context) error {
	var group errs.Group
	if b.http != nil {
		group.Add(b.http.Shutdown(ctx))
	}
	group.Add(b.peers.Shutdown(ctx))
	return group.Err()
}

// close closes the listeners and the connections to other hosts at once, and
// stops the goroutines.
func (b *base) close() {
	b.lns.close()
	b.tasks.stop()
	b.pool.Close()
}

// PeerAddress returns the address that other processes of the project connect to.
func (b *base) PeerAddress() string { return b.lns.peers.Addr().String() }

// OperatorAddress returns the address of the operator interface.
func (b *base) OperatorAddress() string { return b.lns.operators.Addr().String() }

// canceledContext returns a canceled context, for stopping without waiting.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
