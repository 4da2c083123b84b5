package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/staleness"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// flightTimeout bounds one position request.
	flightTimeout = time.Second
	// flightGap is the least time between the starts of two position requests
	// of a group that run at the same time. Sessions that ask in between share
	// the next one.
	flightGap = 2 * time.Millisecond
)

// position returns a confirmed position of the primary from a request that w
// accepts. It never joins a request that started too early: that request may
// have read the position before a write that the session has to see.
func (e *Entry) position(ctx context.Context, g *group, w wanted) (logpos.Position, error) {
	g.mu.Lock()
	if s, ok := g.samples.Newest(); ok && w.accepts(s.Seq, s.At) {
		g.mu.Unlock()
		return s.Pos, nil
	}
	f := g.running
	if f == nil || !w.accepts(f.seq, f.started) {
		f = e.nextFlight(g)
	}
	g.mu.Unlock()
	select {
	case <-f.done:
		return f.pos, f.err
	case <-ctx.Done():
		return logpos.Position{}, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "waiting for the confirmed position")
	}
}

// nextFlight returns a request that has not started yet, or starts one.
// Caller holds g.mu.
func (e *Entry) nextFlight(g *group) *flight {
	if g.pending != nil {
		return g.pending
	}
	f := &flight{done: make(chan struct{})}
	wait := flightGap - time.Since(g.lastFlight)
	if g.running == nil || wait <= 0 {
		e.startFlight(g, f)
		return f
	}
	g.pending = f
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pending = nil
		e.startFlight(g, f)
	})
	return f
}

// startFlight starts the request. Caller holds g.mu.
func (e *Entry) startFlight(g *group, f *flight) {
	f.seq, f.started = e.nextSeq(), time.Now()
	g.running, g.lastFlight = f, f.started
	go e.runFlight(g, f)
}

func (e *Entry) runFlight(g *group, f *flight) {
	f.pos, f.err = e.askPosition(g)
	g.mu.Lock()
	if g.running == f {
		g.running = nil
	}
	if f.err == nil {
		g.samples.Add(staleness.Sample{Seq: f.seq, At: f.started, Pos: f.pos})
	}
	g.mu.Unlock()
	close(f.done)
}

func (e *Entry) askPosition(g *group) (logpos.Position, error) {
	gv := e.groupView(g.name)
	if gv == nil || gv.primary == nil {
		return logpos.Position{}, errkind.New(errkind.NoPrimary, "group %q has no primary at present", g.name)
	}
	ctx, cancel := context.WithTimeout(e.ctx, flightTimeout)
	defer cancel()
	reply, err := e.opts.Owners.Position(ctx, gv.primary.address, &ownerrpc.PositionArgs{Group: g.name, Term: gv.term})
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.NoPrimary, err, "asking for the confirmed position of group %q", g.name)
	}
	if reply.Kind != errkind.OK {
		return logpos.Position{}, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply.Position, nil
}
