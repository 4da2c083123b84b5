package owner

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Service is the net/rpc service of an Owner, registered as "Owner". Its
// methods never return an error; failures are reported in the reply.
type Service struct {
	owner *Owner
}

// Service returns the net/rpc service.
func (o *Owner) Service() *Service { return &Service{owner: o} }

// Exec executes one cycle. If its id is known, it waits for the first
// execution or returns the stored answer.
func (s *Service) Exec(args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) error {
	s.owner.exec(args, reply)
	return nil
}

// Cancel cancels a cycle that has not started.
func (s *Service) Cancel(args *ownerrpc.CancelArgs, reply *ownerrpc.CancelReply) error {
	s.owner.entries.touch(args.ID.Entry)
	reply.Incarnation = s.owner.opts.Incarnation
	reply.Confirmed = s.owner.outcomes.cancel(recordKey{args.ID, args.Server})
	return nil
}

// Outcome returns the stored answer of a cycle.
func (s *Service) Outcome(args *ownerrpc.OutcomeArgs, reply *ownerrpc.OutcomeReply) error {
	s.owner.entries.touch(args.ID.Entry)
	*reply = s.owner.outcomes.outcome(recordKey{args.ID, args.Server})
	reply.Incarnation = s.owner.opts.Incarnation
	return nil
}

// Release rolls back the open transaction of a session.
func (s *Service) Release(args *ownerrpc.ReleaseArgs, _ *ownerrpc.ReleaseReply) error {
	s.owner.entries.touch(args.Entry)
	if srv := s.owner.server(args.Server); srv != nil {
		key := sessionKey{args.Entry, args.Session}
		srv.endTransactions("the session has ended", func(tx *transaction) bool { return tx.key == key })
	}
	return nil
}

// Position returns the confirmed position of the primary of a group.
func (s *Service) Position(args *ownerrpc.PositionArgs, reply *ownerrpc.PositionReply) error {
	ctx, cancel := context.WithTimeout(s.owner.ctx, s.owner.opts.Limits.SuspectAfter)
	defer cancel()
	pos, err := s.owner.confirmedPosition(ctx, args)
	reply.Kind, reply.Detail = errkind.Of(err), errorDetail(err)
	if err == nil {
		reply.Position = pos
	}
	return nil
}

// Status returns the status of every owned server.
func (s *Service) Status(args *ownerrpc.StatusArgs, reply *ownerrpc.StatusReply) error {
	s.owner.entries.touch(args.Entry)
	reply.Host = s.owner.opts.Host
	reply.Servers = s.owner.Statuses()
	return nil
}

// Revoke ends a lease or the primary role of a server.
func (s *Service) Revoke(args *ownerrpc.RevokeArgs, reply *ownerrpc.RevokeReply) error {
	start := time.Now()
	s.owner.revoke(args)
	reply.Confirmed = true
	s.owner.opts.Logger.Info().Str("server", args.Server).Uint64("epoch", args.Epoch).Uint64("term", args.Term).
		Dur("took", time.Since(start)).Msg("lease or primary role revoked")
	return nil
}
