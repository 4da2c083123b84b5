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
	// positionRequestTimeout limits one Owner.Position call.
	positionRequestTimeout = time.Second
	// minPositionRequestGap is the least time between the starts of two
	// concurrent position requests of a group. Sessions that need a position
	// in between share the next request.
	minPositionRequestGap = 2 * time.Millisecond
)

// confirmedPosition returns a position confirmed by the primary, from a request
// that satisfies fresh. It never joins a request that started too early: that
// request may have read the position before a write that the session must see.
func (e *Entry) confirmedPosition(ctx context.Context, g *group, fresh freshnessRequirement) (logpos.Position, error) {
	g.mu.Lock()
	if s, ok := g.samples.Newest(); ok && fresh.satisfiedBy(s.Seq, s.At) {
		g.mu.Unlock()
		return s.Pos, nil
	}
	req := g.runningRequest
	if req == nil || !fresh.satisfiedBy(req.seq, req.started) {
		req = e.nextPositionRequest(g)
	}
	g.mu.Unlock()
	select {
	case <-req.done:
		return req.pos, req.err
	case <-ctx.Done():
		return logpos.Position{}, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "waiting for the primary to confirm its position")
	}
}

// nextPositionRequest returns the request that is scheduled but has not started,
// or else a new one, which starts at once or after minPositionRequestGap. The
// caller holds g.mu.
func (e *Entry) nextPositionRequest(g *group) *positionRequest {
	if g.pendingRequest != nil {
		return g.pendingRequest
	}
	req := &positionRequest{done: make(chan struct{})}
	wait := minPositionRequestGap - time.Since(g.lastRequestStart)
	if g.runningRequest == nil || wait <= 0 {
		e.startPositionRequest(g, req)
		return req
	}
	g.pendingRequest = req
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pendingRequest = nil
		e.startPositionRequest(g, req)
	})
	return req
}

// startPositionRequest starts req. The caller holds g.mu.
func (e *Entry) startPositionRequest(g *group, req *positionRequest) {
	req.seq, req.started = e.nextSeq(), time.Now()
	g.runningRequest, g.lastRequestStart = req, req.started
	go e.runPositionRequest(g, req)
}

func (e *Entry) runPositionRequest(g *group, req *positionRequest) {
	req.pos, req.err = e.fetchPosition(g)
	g.mu.Lock()
	if g.runningRequest == req {
		g.runningRequest = nil
	}
	if req.err == nil {
		g.samples.Add(staleness.Sample{Seq: req.seq, At: req.started, Pos: req.pos})
	}
	g.mu.Unlock()
	close(req.done)
}

func (e *Entry) fetchPosition(g *group) (logpos.Position, error) {
	gv := e.groupView(g.name)
	if gv == nil || gv.primary == nil {
		return logpos.Position{}, errkind.New(errkind.NoPrimary, "group %q has no primary at present", g.name)
	}
	ctx, cancel := context.WithTimeout(e.ctx, positionRequestTimeout)
	defer cancel()
	reply, err := e.opts.Owners.Position(ctx, gv.primary.address, &ownerrpc.PositionArgs{Group: g.name, Term: gv.term})
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.NoPrimary, err, "requesting the confirmed position of group %q", g.name)
	}
	if reply.Kind != errkind.OK {
		return logpos.Position{}, errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return reply.Position, nil
}
