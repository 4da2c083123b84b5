package entry

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// hedge is a read that is sent to a second member when the first is silent.
// The first answer without an error wins. The second attempt is paid from the
// retry budget of its member.
type hedge struct {
	session  *session
	request  *request
	pos      logpos.Position
	replicas bool
	results  chan result // buffered for all attempts
	pending  []attempt
}

// do returns the first success, or the last failure.
func (h *hedge) do(ctx context.Context, gv *groupView, t *target, tried map[*target]bool) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.launch(ctx, gv, t)
	timer := time.NewTimer(h.request.eff.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case res := <-h.results:
			h.settled(res)
			h.session.noteRead(h.request, res)
			if res.err == nil {
				for _, a := range h.pending {
					if a.target == t {
						// Overtaken by a later attempt: a silent member would
						// otherwise cost every read the hedge delay.
						t.member.failed(time.Now())
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
			h.second(ctx, gv, t, tried)
		}
	}
}

// second starts the second attempt, if there is another member and budget.
func (h *hedge) second(ctx context.Context, gv *groupView, first *target, tried map[*target]bool) {
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
	go h.run(ctx, a, h.request.args(h.session, t, a.id, h.pos, gv.readTerm(t)))
}

func (h *hedge) run(ctx context.Context, a attempt, args *ownerrpc.ExecArgs) {
	res := result{target: a.target, id: a.id}
	res.reply, res.sent, res.err = h.session.call(ctx, h.request, a.target, args)
	h.results <- res
}

func (h *hedge) settled(res result) {
	for i, a := range h.pending {
		if a.id == res.id {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}
