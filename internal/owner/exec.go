package owner

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/cespare/xxhash/v2"
)

// defaultCycleBudget is the time limit of a cycle that states none, for a server
// that the host does not own.
const defaultCycleBudget = 5 * time.Second

// exec answers one cycle. If the request is known at the server, it waits for
// the first execution or returns its stored answer; otherwise it executes the
// cycle.
func (o *Owner) exec(args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) {
	o.entries.touch(args.ID.Entry)
	srv := o.server(args.Server)
	deadline := time.Now().Add(cycleBudget(srv, args))
	ctx, cancel := context.WithCancelCause(o.ctx)
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()

	rec, first, err := o.outcomes.begin(recordKey{args.ID, args.Server}, xxhash.Sum64(args.Messages), args.Repeatable, cancel)
	switch {
	case err != nil:
		replyError(reply, err)
	case !first:
		*reply = o.outcomes.wait(ctx, rec)
	default:
		x := &execution{owner: o, server: srv, args: args, reply: reply, record: rec, deadline: deadline}
		if !workpool.Guard(o.opts.Logger, func() { o.execute(ctx, x) }) {
			o.logPanic(args)
			replyError(reply, errkind.New(errkind.OutcomeUnknown, "internal error"))
		}
	}
	if reply.Load.Server == "" && srv != nil {
		reply.Load = srv.load()
	}
	reply.Load.Server = args.Server
	reply.Load.Draining = reply.Load.Draining || reply.Kind == errkind.Draining
	reply.ID = args.ID
	held := o.holdAnswer(reply)
	if first {
		o.outcomes.finish(rec, reply)
	}
	if held > 0 {
		reply.OnSent(func() { o.opts.Memory.Give(held) })
	}
	o.countResult(srv, reply.Kind)
}

func (o *Owner) logPanic(args *ownerrpc.ExecArgs) {
	o.opts.Logger.Error().Str("event", "cycle_panicked").Interface("request", args.ID).Str("server", args.Server).Msg("a panic ended the cycle")
}

const (
	// smallAnswerBytes is the size up to which answers are not counted.
	smallAnswerBytes = 64 << 10
	// answerCopies is how often an answer is held while it waits to be sent to the entry
	// host: as received, encoded, and in the buffer of the connection.
	answerCopies = 3
)

// holdAnswer takes the bytes of an answer from the budget until it is sent, and returns
// their number. An answer without room is dropped like one that is too large.
func (o *Owner) holdAnswer(reply *ownerrpc.ExecReply) int64 {
	n := len(reply.Messages)
	if n <= smallAnswerBytes {
		return 0
	}
	if !o.opts.Memory.Take(answerCopies*int64(n), 0) {
		reply.Messages = nil
		reply.Kind, reply.Detail = errkind.AnswerTooLarge, "the memory for answers is used up"
		return 0
	}
	return answerCopies * int64(n)
}

// execute runs the cycle, unless the host does not own the server or is
// draining.
func (o *Owner) execute(ctx context.Context, x *execution) {
	if x.server == nil {
		replyError(x.reply, errkind.New(errkind.NotOwner, "the host does not own server %s", x.args.Server))
		return
	}
	if err := o.beginCycle(x.args); err != nil {
		replyError(x.reply, err)
		return
	}
	defer o.endCycle()
	x.server.runningCycles.Add(1)
	defer x.server.runningCycles.Add(-1)
	if x.args.Write {
		x.server.runningWrites.Add(1)
		defer x.server.runningWrites.Add(-1)
	}
	x.run(ctx)
}

func (o *Owner) countResult(srv *server, kind errkind.Kind) {
	o.metrics.countResult(kind)
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

// cycleBudget returns the time until the deadline of a cycle.
func cycleBudget(srv *server, args *ownerrpc.ExecArgs) time.Duration {
	if args.Budget != 0 {
		return args.Budget
	}
	if srv == nil {
		return defaultCycleBudget
	}
	v := srv.view.Load()
	return v.effective[v.rank(args.Rank)].Deadline
}

func replyError(reply *ownerrpc.ExecReply, err error) {
	*reply = ownerrpc.ExecReply{Kind: errkind.Of(err), Detail: errorDetail(err)}
}

// errorDetail returns the text of an error without its kind, which the reply
// has in a field of its own.
func errorDetail(err error) string {
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
