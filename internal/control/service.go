package control

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// Time limits of the service.
const (
	// proposeTimeout is how long a request waits for the log. It is shorter than
	// the client's timeout for Apply, Get and Drain, so that the client receives
	// the kind of error.
	proposeTimeout = 2 * time.Second
	// maxWatchWait limits a long poll, because net/rpc does not report that the
	// caller has disconnected.
	maxWatchWait = 30 * time.Second
)

// Service implements the net/rpc methods that controlrpc.Client calls. It must
// be registered as "Control". It answers only while this host is the leader
// with a valid read lease; otherwise the answer is errkind.NotLeader, which
// means that the request had no effect. The methods return no Go error.
type Service struct {
	c *Control
}

// Heartbeat renews the session of a host and grants its leases.
func (s *Service) Heartbeat(args *controlrpc.HeartbeatArgs, reply *controlrpc.HeartbeatReply) error {
	l, answer := s.leader()
	if reply.Answer = answer; l == nil {
		return nil
	}
	h := args.Host
	if h.ID == "" || h.Incarnation == "" || h.Address == "" {
		reply.Answer = badRequest("host %q: id, incarnation and address must not be empty", h.ID)
		return nil
	}
	// The session is renewed before the state is read, see Sessions.Renew.
	l.sessions.Renew(args)
	v := s.c.machine.View()
	old, ok := v.Hosts[h.ID]
	if !ok || (!sameHost(old, h) && !l.sessions.Superseded(holder{h.ID, h.Incarnation}, old.Incarnation)) {
		l.registrar.register(h, v.hostRevisions[h.ID])
	}
	for _, id := range args.Suspects {
		l.failover.Suspect(holder{h.ID, h.Incarnation}, id)
	}
	s.c.opts.metrics.heartbeats.Inc(1)
	reply.TTL = s.c.opts.TTL
	reply.Leases = v.HeldLeases(h.ID, h.Incarnation)
	reply.StateVersion, reply.ConfigVersion = v.Version, v.ConfigVersion
	s.recheckLease(&reply.Answer, func() { *reply = controlrpc.HeartbeatReply{} })
	return nil
}

// Watch returns the state once its version is greater than args.Since, or
// no state after args.Wait.
func (s *Service) Watch(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	timer := time.NewTimer(min(max(args.Wait, 0), maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		l, answer := s.leader()
		if reply.Answer = answer; l == nil {
			return nil
		}
		changed := s.c.machine.Changed()
		if v := s.c.machine.View(); v.Version > args.Since {
			reply.Changed, waiting = true, false
			if args.Delta && args.Since > 0 {
				reply.Changes = s.c.machine.ChangesSince(args.Since)
			}
			if reply.Changes == nil {
				reply.State = v.State
			}
		}
		if !waiting {
			s.recheckLease(&reply.Answer, func() { *reply = controlrpc.WatchReply{} })
			return nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
		case <-timer.C:
			waiting = false
		}
	}
}

// Announce stores the announcement of a backend server.
func (s *Service) Announce(args *controlrpc.AnnounceArgs, reply *controlrpc.AnnounceReply) error {
	l, answer := s.leader()
	if reply.Answer = answer; l == nil {
		return nil
	}
	v := s.c.machine.View()
	if old, ok := v.Servers[args.Server.ID]; ok && sameServer(old, withoutHints(args.Server)) {
		l.recordAnnouncement(args.Server.ID)
		s.recheckLease(&reply.Answer, func() {})
		return nil
	}
	reply.Answer, _ = s.change(Command{Announce: &AnnounceServer{
		Server: withoutHints(args.Server), Revision: v.serverRevisions[args.Server.ID],
	}})
	if reply.Kind == errkind.OK {
		l.recordAnnouncement(args.Server.ID)
	}
	return nil
}

// Apply replaces the configuration.
func (s *Service) Apply(args *controlrpc.ApplyArgs, reply *controlrpc.ApplyReply) error {
	if args.ChangeID == "" || args.Operator == "" {
		reply.Answer = badRequest("change id and operator must not be empty")
		return nil
	}
	if _, err := policy.Parse(configFile, args.Text); err != nil {
		reply.Answer = badRequest("%v", err)
		return nil
	}
	var r Result
	reply.Answer, r = s.change(Command{Configure: &Configure{Args: *args}})
	reply.Version, reply.WonBy, reply.WonChange = r.Version, r.WonBy, r.WonChange
	return nil
}

// Get returns the latest committed state.
func (s *Service) Get(_ *controlrpc.GetArgs, reply *controlrpc.GetReply) error {
	l, answer := s.leader()
	if reply.Answer = answer; l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if l.log.ReadBarrier(ctx) != nil {
		reply.Answer = s.notLeader()
		return nil
	}
	v := s.c.machine.View()
	reply.State = v.State
	reply.Heartbeats = l.sessions.Report(v.Hosts)
	return nil
}

// Drain takes a host or a backend server out of service, or back in.
func (s *Service) Drain(args *controlrpc.DrainArgs, reply *controlrpc.DrainReply) error {
	if args.ChangeID == "" || args.ID == "" {
		reply.Answer = badRequest("id and change id must not be empty")
		return nil
	}
	reply.Answer, _ = s.change(Command{Drain: &SetDraining{Args: *args}})
	return nil
}

// Failover requests a new primary of a group. It returns at once; the request
// is lost if the leader changes before the attempt has begun.
func (s *Service) Failover(args *controlrpc.FailoverArgs, reply *controlrpc.FailoverReply) error {
	l, answer := s.leader()
	if reply.Answer = answer; l == nil {
		return nil
	}
	g, ok := s.c.machine.View().Groups[args.Group]
	switch {
	case !ok:
		reply.Answer = controlrpc.Answer{Kind: errkind.UnknownGroup, Detail: "there is no such group"}
	case g.Phase == controlrpc.PhaseWaiting:
		reply.Answer = controlrpc.Answer{Kind: errkind.NoMember, Detail: "not all declared members of the group are known yet"}
	default:
		l.failover.Request(args.Group, CauseRequest)
	}
	return nil
}

// change executes one command through the log.
func (s *Service) change(c Command) (controlrpc.Answer, Result) {
	l, answer := s.leader()
	if l == nil {
		return answer, Result{}
	}
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	results, err := l.log.propose(ctx, c)
	if err != nil {
		a := s.notLeader()
		a.Kind, a.Detail = errkind.Of(err), err.Error()
		if !slices.Contains([]errkind.Kind{errkind.NotLeader, errkind.OutcomeUnknown}, a.Kind) {
			a.Kind = errkind.OutcomeUnknown
		}
		return a, Result{}
	}
	return controlrpc.Answer{Kind: results[0].Kind, Detail: results[0].Detail}, results[0]
}

// recheckLease checks the read lease again after the answer has been read from
// the state. If the answer may be out of date, it calls discard and replaces the
// answer by errkind.NotLeader.
func (s *Service) recheckLease(a *controlrpc.Answer, discard func()) {
	if l, notLeader := s.leader(); l == nil {
		discard()
		*a = notLeader
	}
}

// leader returns the leadership while this host may answer as the leader,
// otherwise nil and the answer to return.
func (s *Service) leader() (*leadership, controlrpc.Answer) {
	if l := s.c.currentLeadership(); l != nil && l.log.IsLeader() && l.log.LeaseValid() {
		return l, controlrpc.Answer{}
	}
	return nil, s.notLeader()
}

func (s *Service) notLeader() controlrpc.Answer {
	a := controlrpc.Answer{Kind: errkind.NotLeader, Detail: "this control host is not the leader with a valid read lease"}
	if address, ok := s.c.leaderAddress(); ok {
		a.Leader = address
	}
	return a
}

func badRequest(format string, args ...any) controlrpc.Answer {
	return controlrpc.Answer{Kind: errkind.BadRequest, Detail: errkind.New(errkind.BadRequest, format, args...).Detail}
}
