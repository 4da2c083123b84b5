package directory

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxSyncWait bounds a long poll, because net/rpc does not report that the
// caller has disconnected.
const maxSyncWait = 5 * time.Second

// Service implements the net/rpc methods that directoryrpc.Client calls. It
// serves requests only while this host is the leader with a valid read lease;
// otherwise the reply is errkind.NotLeader, which means that nothing was done.
// Errors are returned in the reply, never as a Go error.
type Service struct {
	d *Directory
}

// recoverCall ends a call that panicked with errkind.OutcomeUnknown instead of
// ending the process. It must be deferred.
func (s *Service) recoverCall(answer *controlrpc.Answer) {
	v := recover()
	if v == nil {
		return
	}
	s.d.opts.Events.Event("panic").Interface("panic", v).Bytes("stack", debug.Stack()).Msg("recovered from a panic; the outcome of the call is unknown")
	*answer = controlrpc.Answer{Kind: errkind.OutcomeUnknown, Detail: "internal error"}
}

// requireLeader returns the leadership of this host. If this host is not the
// leader, it returns nil and sets answer to errkind.NotLeader with the address of
// the leader.
func (s *Service) requireLeader(answer *controlrpc.Answer) *leadership {
	l, kind, address := s.d.currentLeadership()
	*answer = controlrpc.Answer{Kind: kind, Leader: address}
	return l
}

// confirmLease reports whether this host is still the leader with a valid read
// lease, and sets answer to an error if not. It is called after the state was
// read, so that the reply is not stale.
func (s *Service) confirmLease(l *leadership, answer *controlrpc.Answer) bool {
	if !s.d.leads(l) {
		*answer = controlrpc.Answer{Kind: errkind.NotLeader, Detail: "the read lease has run out"}
		return false
	}
	return true
}

// Sync renews the lease of an entry host and waits for a newer state. If the host
// is leaving, Sync only ends its lease.
func (s *Service) Sync(args *directoryrpc.SyncArgs, reply *directoryrpc.SyncReply) error {
	defer s.recoverCall(&reply.Answer)
	l := s.requireLeader(&reply.Answer)
	if l == nil {
		return nil
	}
	if args.Host.ID == "" || args.Host.Incarnation == "" {
		reply.Answer = controlrpc.Answer{Kind: errkind.BadRequest, Detail: "host id and incarnation must not be empty"}
		return nil
	}
	l.sessions.recordSync(args)
	if args.Leaving {
		return nil
	}
	l.awaitChange(args.Version, min(max(args.Wait, 0), maxSyncWait))
	if args.Delta && !l.admitWholeState(args.Version) {
		reply.Answer = controlrpc.Answer{Kind: errkind.Overloaded, Detail: "too many hosts need the whole state"}
		return nil
	}
	// The grant is recorded before the read lease of the leader is checked: a
	// grant that is recorded but not sent only delays a switchover.
	l.sessions.recordGrant(args.Host)
	if !s.confirmLease(l, &reply.Answer) {
		return nil
	}
	reply.TTL, reply.HostCount = l.opts.TTL, l.hostCount()
	s.fillState(args, reply)
	l.fillHosts(args, reply)
	reply.Control = s.d.opts.Control()
	reply.AsksReports = true
	reply.Allowances = len(l.opts.Limits(s.d.machine.Config())) > 0
	reply.Suspected, _ = l.sessions.askedGroups()
	return nil
}

// Allowance applies the use of allowances at a host and grants tokens. The ledger counts
// them as granted even if the read lease has run out then and they are not sent.
func (s *Service) Allowance(args *directoryrpc.AllowanceArgs, reply *directoryrpc.AllowanceReply) error {
	defer s.recoverCall(&reply.Answer)
	l := s.requireLeader(&reply.Answer)
	switch {
	case l == nil:
	case args.Host.ID == "" || args.Host.Incarnation == "":
		reply.Answer = controlrpc.Answer{Kind: errkind.BadRequest, Detail: "host id and incarnation must not be empty"}
	case !l.allowances.ready():
		reply.Answer = controlrpc.Answer{Kind: errkind.Overloaded, Detail: "the ledger has not begun"}
	default:
		granted := l.allowances.process(args)
		if s.confirmLease(l, &granted.Answer) {
			*reply = granted
		} else {
			reply.Answer = granted.Answer
		}
	}
	return nil
}

// Announce stores or removes a backend server if the announcement changes
// anything.
func (s *Service) Announce(args *directoryrpc.AnnounceArgs, reply *directoryrpc.AnnounceReply) error {
	defer s.recoverCall(&reply.Answer)
	l := s.requireLeader(&reply.Answer)
	if l == nil {
		return nil
	}
	srv := args.Server
	old, known := s.d.machine.Server(srv.ID)
	departed := s.d.machine.Departed(srv.ID, srv.Born)
	switch {
	case !args.Gone && !l.declares(srv.Group):
		// It would replace the server that has this id.
		reply.Answer = controlrpc.Answer{Kind: errkind.BadRequest, Detail: "the configuration in force does not declare the group"}
		return nil
	case departed, args.Gone && !known && srv.Born == 0, !args.Gone && known && (srv.Same(old) || !srv.Newer(old)):
		s.confirmLease(l, &reply.Answer)
		return nil
	case args.Gone:
		s.proposeAndReply(l, &reply.Answer, Command{Remove: &RemoveServer{ID: srv.ID, Born: srv.Born}})
	case known && srv.Contradicts(old):
		reply.Answer = controlrpc.Answer{Kind: errkind.BadRequest, Detail: "the server announced another group or address since its start"}
	default:
		s.proposeAndReply(l, &reply.Answer, Command{Announce: &PutServer{Server: srv}})
	}
	l.opts.Events.Event("server_announced").Str("server", srv.ID).Str("group", srv.Group).Str("address", srv.Address).
		Str("role", string(srv.Role)).Bool("draining", srv.Draining).Bool("gone", args.Gone).Int64("born", srv.Born).
		Uint64("sequence", srv.Sequence).Bool("known", known).Str("outcome", string(reply.Kind)).Msg("a backend server announced a change")
	return nil
}

// declares reports whether the configuration in force declares a group.
func (l *leadership) declares(group string) bool {
	return l.opts.Declares == nil || l.opts.Declares(l.machine.Config(), group)
}

// Register stores the data centre of a control host.
func (s *Service) Register(args *directoryrpc.RegisterArgs, reply *directoryrpc.RegisterReply) error {
	defer s.recoverCall(&reply.Answer)
	if l := s.requireLeader(&reply.Answer); l != nil {
		s.proposeAndReply(l, &reply.Answer, Command{Control: &PutControl{ID: args.ID, DataCentre: args.DataCentre}})
	}
	return nil
}

// Put puts a configuration into force if its version is the highest.
func (s *Service) Put(args *directoryrpc.PutArgs, reply *directoryrpc.PutReply) error {
	defer s.recoverCall(&reply.Answer)
	l := s.requireLeader(&reply.Answer)
	if l == nil {
		return nil
	}
	if inForce := s.d.machine.ConfigVersion(); args.Version <= inForce {
		if s.confirmLease(l, &reply.Answer) {
			reply.Version = inForce
		}
		return nil
	}
	s.proposeAndReply(l, &reply.Answer, Command{Put: &PutConfig{Version: args.Version, Document: args.Document}})
	reply.Version = s.d.machine.ConfigVersion()
	l.opts.Events.Event("config_put").Uint64("config_version", args.Version).Uint64("in_force", reply.Version).
		Int("bytes", len(args.Document)).Str("outcome", string(reply.Kind)).Msg("a configuration was received")
	return nil
}

// Get returns the newest acknowledged configuration.
func (s *Service) Get(_ *directoryrpc.GetArgs, reply *directoryrpc.GetReply) error {
	defer s.recoverCall(&reply.Answer)
	l := s.requireLeader(&reply.Answer)
	if l == nil {
		return nil
	}
	state := s.d.machine.State()
	if s.confirmLease(l, &reply.Answer) {
		reply.Version, reply.Document = state.ConfigVersion, state.Document
	}
	return nil
}

// proposeAndReply proposes a command and sets answer to the error if it failed.
func (s *Service) proposeAndReply(l *leadership, answer *controlrpc.Answer, c Command) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if err := propose(ctx, l.log, c); err != nil {
		kind := errkind.Of(err)
		if kind == errkind.DeadlineExceeded {
			kind = errkind.NotLeader // it was not proposed; the client tries again
		}
		*answer = controlrpc.Answer{Kind: kind, Detail: err.Error()}
	}
}
