package control

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// Limits of the service.
const (
	// proposeLimit is how long a request waits for the log. It is shorter than
	// the timeout of the client, so that the client learns the kind of error.
	proposeLimit = 2 * time.Second
	// longestWatch bounds a long poll, because net/rpc does not tell that the
	// caller has gone.
	longestWatch = 30 * time.Second
)

// Service has the net/rpc methods that controlrpc.Client calls, to be
// registered as "Control". It answers only while this host is the leader with
// a valid read lease; otherwise the answer is errkind.NotLeader, which means
// that nothing was done. The methods return no Go error.
type Service struct {
	c *Control
}

// Heartbeat renews the session of a host and grants its leases.
func (s *Service) Heartbeat(args *controlrpc.HeartbeatArgs, reply *controlrpc.HeartbeatReply) error {
	lead, answer := s.leader()
	if reply.Answer = answer; lead == nil {
		return nil
	}
	h := args.Host
	if h.ID == "" || h.Incarnation == "" || h.Address == "" {
		reply.Answer = badRequest("host %q: id, incarnation and address must not be empty", h.ID)
		return nil
	}
	// The order matters, see Sessions.Renew.
	lead.sessions.Renew(args)
	v := s.c.machine.View()
	was, ok := v.Hosts[h.ID]
	if !ok || (!sameHost(was, h) && !lead.sessions.Superseded(holder{h.ID, h.Incarnation}, was.Incarnation)) {
		lead.registrar.register(h, v.hosts[h.ID])
	}
	for _, id := range args.Suspects {
		lead.failover.Suspect(holder{h.ID, h.Incarnation}, id)
	}
	s.c.opts.meters.heartbeats.Inc(1)
	reply.TTL = s.c.opts.TTL
	reply.Leases = v.Held(h.ID, h.Incarnation)
	reply.StateVersion, reply.ConfigVersion = v.Version, v.ConfigVersion
	s.confirm(&reply.Answer, func() { *reply = controlrpc.HeartbeatReply{} })
	return nil
}

// Watch returns the state once its version is greater than args.Since.
func (s *Service) Watch(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	timer := time.NewTimer(min(max(args.Wait, 0), longestWatch))
	defer timer.Stop()
	for waiting := true; ; {
		lead, answer := s.leader()
		if reply.Answer = answer; lead == nil {
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
			s.confirm(&reply.Answer, func() { *reply = controlrpc.WatchReply{} })
			return nil
		}
		select {
		case <-changed:
		case <-lead.ctx.Done():
		case <-timer.C:
			waiting = false
		}
	}
}

// Announce stores what a backend server says about itself.
func (s *Service) Announce(args *controlrpc.AnnounceArgs, reply *controlrpc.AnnounceReply) error {
	lead, answer := s.leader()
	if reply.Answer = answer; lead == nil {
		return nil
	}
	v := s.c.machine.View()
	if was, ok := v.Servers[args.Server.ID]; ok && sameServer(was, stored(args.Server)) {
		lead.heard(args.Server.ID)
		s.confirm(&reply.Answer, func() {})
		return nil
	}
	reply.Answer, _ = s.change(Command{Announce: &AnnounceServer{
		Server: stored(args.Server), Revision: v.servers[args.Server.ID],
	}})
	if reply.Kind == errkind.OK {
		lead.heard(args.Server.ID)
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

// Get returns the state as of now.
func (s *Service) Get(_ *controlrpc.GetArgs, reply *controlrpc.GetReply) error {
	lead, answer := s.leader()
	if reply.Answer = answer; lead == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(lead.ctx, proposeLimit)
	defer cancel()
	if lead.log.ReadBarrier(ctx) != nil {
		reply.Answer = s.answerNotLeader()
		return nil
	}
	v := s.c.machine.View()
	reply.State = v.State
	reply.Seen = lead.sessions.Report(v.Hosts)
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

// Failover asks for a new primary of a group. It returns at once; a request
// is lost when the leader changes before the attempt has begun.
func (s *Service) Failover(args *controlrpc.FailoverArgs, reply *controlrpc.FailoverReply) error {
	lead, answer := s.leader()
	if reply.Answer = answer; lead == nil {
		return nil
	}
	g, ok := s.c.machine.View().Groups[args.Group]
	switch {
	case !ok:
		reply.Answer = controlrpc.Answer{Kind: errkind.UnknownGroup, Detail: "there is no such group"}
	case g.Phase == controlrpc.PhaseWaiting:
		reply.Answer = controlrpc.Answer{Kind: errkind.NoMember, Detail: "not all declared members are known yet"}
	default:
		lead.failover.Request(args.Group, CauseRequest)
	}
	return nil
}

// change carries out one command.
func (s *Service) change(c Command) (controlrpc.Answer, Result) {
	lead, answer := s.leader()
	if lead == nil {
		return answer, Result{}
	}
	ctx, cancel := context.WithTimeout(lead.ctx, proposeLimit)
	defer cancel()
	results, err := lead.log.propose(ctx, c)
	if err != nil {
		a := s.answerNotLeader()
		a.Kind, a.Detail = errkind.Of(err), err.Error()
		if !slices.Contains([]errkind.Kind{errkind.NotLeader, errkind.OutcomeUnknown}, a.Kind) {
			a.Kind = errkind.OutcomeUnknown
		}
		return a, Result{}
	}
	return controlrpc.Answer{Kind: results[0].Kind, Detail: results[0].Detail}, results[0]
}

// confirm checks the read lease once more after the answer has been read from
// the state, and calls discard if the answer may be out of date.
func (s *Service) confirm(a *controlrpc.Answer, discard func()) {
	if lead, last := s.leader(); lead == nil {
		discard()
		*a = last
	}
}

// leader returns the leadership while this host may answer as the leader, and
// otherwise nil and the answer to give.
func (s *Service) leader() (*leadership, controlrpc.Answer) {
	if lead := s.c.lead(); lead != nil && lead.log.IsLeader() && lead.log.LeaseValid() {
		return lead, controlrpc.Answer{}
	}
	return nil, s.answerNotLeader()
}

func (s *Service) answerNotLeader() controlrpc.Answer {
	a := controlrpc.Answer{Kind: errkind.NotLeader, Detail: "this control host is not the leader with a valid read lease"}
	if address, ok := s.c.leaderAddress(); ok {
		a.Leader = address
	}
	return a
}

func badRequest(format string, args ...any) controlrpc.Answer {
	return controlrpc.Answer{Kind: errkind.BadRequest, Detail: errkind.New(errkind.BadRequest, format, args...).Detail}
}
