package owner

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// defaultBudget holds for a cycle that states no budget at a server whose
// policy is not known.
const defaultBudget = 5 * time.Second

// exec answers one cycle: it executes it, or joins or repeats the first
// execution of the same request at the same server.
func (o *Owner) exec(args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) {
	o.entries.touch(args.ID.Entry)
	srv := o.server(args.Server)
	deadline := time.Now().Add(budget(srv, args))
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()

	rec, first, err := o.outcomes.begin(recordKey{args.ID, args.Server}, args.Repeatable, cancel)
	switch {
	case err != nil:
		refuse(reply, err)
	case !first:
		*reply = o.outcomes.wait(ctx, rec)
	default:
		o.execute(ctx, &execution{
			owner: o, server: srv, args: args, reply: reply, record: rec, deadline: deadline,
		})
	}
	if reply.Load.Server == "" && srv != nil {
		reply.Load = srv.load()
	}
	reply.Load.Server = args.Server
	reply.Load.Draining = reply.Load.Draining || reply.Kind == errkind.Draining
	reply.ID = args.ID
	if first {
		o.outcomes.finish(rec, reply)
	}
	o.count(srv, reply.Kind)
}

// execute runs the cycle unless the host is draining.
func (o *Owner) execute(ctx context.Context, x *execution) {
	if x.server == nil {
		refuse(x.reply, errkind.New(errkind.NotOwner, "the host does not own server %s", x.args.Server))
		return
	}
	if err := o.enter(x.args); err != nil {
		refuse(x.reply, err)
		return
	}
	defer o.leave()
	x.server.running.Add(1)
	defer x.server.running.Add(-1)
	if x.args.Write {
		x.server.writing.Add(1)
		defer x.server.writing.Add(-1)
	}
	x.run(ctx)
}

func (o *Owner) count(srv *server, kind errkind.Kind) {
	o.meters.count(kind)
	switch {
	case srv == nil:
	case kind == errkind.OK:
		srv.successes.Add(1)
	case kind.Info().Outcome == errkind.NotRun:
		srv.refused.Add(1)
	default:
		srv.failures.Add(1)
	}
}

// budget returns the time that a cycle has.
func budget(srv *server, args *ownerrpc.ExecArgs) time.Duration {
	if args.Budget != 0 {
		return args.Budget
	}
	if srv == nil {
		return defaultBudget
	}
	v := srv.view.Load()
	return v.effective[v.rank(args.Rank)].Deadline
}

func refuse(reply *ownerrpc.ExecReply, err error) {
	*reply = ownerrpc.ExecReply{Kind: errkind.Of(err), Detail: detail(err)}
}

// detail returns the text of an error without the kind, which the reply
// states separately.
func detail(err error) string {
	if err == nil {
		return ""
	}
	var e *errkind.Error
	if errors.As(err, &e) {
		if e.Cause != nil {
			return e.Detail + ": " + e.Cause.Error()
		}
		return e.Detail
	}
	return err.Error()
}
