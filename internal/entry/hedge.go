package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// hedge is a read that is sent to a second member if the first has not answered
// within the hedge delay of the policy. The first answer without an error wins.
// The second attempt takes a token from the retry budget of its member.
type hedge struct {
	session  *session
	request  *request
	pos      logpos.Position    // required position
	replicas bool               // replicas may serve the read
	results  chan attemptResult // buffered for all attempts
	pending  []attempt          // attempts without a result
}

// do sends the read to t, and after the hedge delay to a second member that is
// not in tried. It returns the first success, or the last failure. It cancels
// the attempts that are pending when the first success arrives.
func (h *hedge) do(ctx context.Context, gv *groupView, t *target, tried map[*target]bool) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.launch(ctx, gv, t)
	timer := time.NewTimer(h.request.eff.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case res := <-h.results:
			h.removePending(res)
			h.session.recordReadResult(h.request, res)
			if res.err == nil {
				for _, a := range h.pending {
					if a.target == t {
						// The second attempt was faster. The first member becomes
						// suspect, because an unresponsive one would otherwise
						// delay every read by the hedge delay.
						t.member.recordFailure(time.Now())
					}
					go h.session.entry.runCancel(a)
				}
				return res
			}
			if len(h.pending) == 0 {
				return res
			}
			tried[res.target] = true
		case <-timer.C:
			h.launchSecond(ctx, gv, t, tried)
		}
	}
}

// launchSecond starts the second attempt, if another member can serve the read
// and its retry budget is not empty.
func (h *hedge) launchSecond(ctx context.Context, gv *groupView, first *target, tried map[*target]bool) {
	skip := map[*target]bool{first: true}
	for t := range tried {
		skip[t] = true
	}
	t, err := gv.choose(h.pos, h.request.eff.Rank.Name, h.replicas, skip, time.Now())
	if err != nil || !t.member.spendRetry() {
		return
	}
	h.session.entry.metrics.hedges.Inc(1)
	h.launch(ctx, gv, t)
}

func (h *hedge) launch(ctx context.Context, gv *groupView, t *target) {
	a := attempt{t, h.request.id(h.session, t)}
	h.pending = append(h.pending, a)
	go h.run(ctx, a, h.request.execArgs(h.session, t, a.id, h.pos, gv.readTerm(t)))
}

func (h *hedge) run(ctx context.Context, a attempt, args *ownerrpc.ExecArgs) {
	res := attemptResult{target: a.target, id: a.id}
	if !workpool.Guard(h.session.entry.opts.Logger, func() {
		res.reply, res.delivery, res.err = h.session.call(ctx, h.request, a.target, args)
	}) {
		res.delivery, res.err = NoAnswer, errkind.New(errkind.Internal, "a panic ended attempt %v", a.id)
	}
	h.results <- res
}

// removePending removes the attempt that res belongs to from the pending ones.
func (h *hedge) removePending(res attemptResult) {
	for i, a := range h.pending {
		if a.id == res.id {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}
