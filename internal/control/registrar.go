package control

import (
	"context"
	"sync"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/rs/zerolog"
)

// registrar registers new and changed hosts in the background, so that the
// heartbeat of a host does not wait for the log. At most one proposal per host
// is in progress; the next heartbeat retries a failed one.
type registrar struct {
	log    *Log
	ctx    context.Context // of the leadership
	logger zerolog.Logger

	mu      sync.Mutex
	pending map[string]bool // hosts with a proposal in progress, by id; guarded by mu
	wg      sync.WaitGroup
}

func newRegistrar(ctx context.Context, opts Options, log *Log) *registrar {
	return &registrar{
		log: log, ctx: ctx, logger: opts.Logger.With().Str("part", "registrar").Logger(),
		pending: make(map[string]bool),
	}
}

func (r *registrar) register(h controlrpc.Host, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[h.ID] || r.ctx.Err() != nil {
		return
	}
	r.pending[h.ID] = true
	r.wg.Go(func() {
		err := r.log.change(r.ctx, Command{Register: &RegisterHost{Host: h, Revision: revision}})
		if err != nil {
			r.logger.Debug().Err(err).Str("host", h.ID).Msg("host was not registered; its next heartbeat retries")
		}
		r.mu.Lock()
		delete(r.pending, h.ID)
		r.mu.Unlock()
	})
}

// wait returns when no proposal is in progress. The context must have ended.
func (r *registrar) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 {
		r.mu.Unlock()
		r.wg.Wait()
		r.mu.Lock()
	}
}
